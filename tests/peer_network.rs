//! Tests the network between daemons: joining, requests, bad versions and unauthenticated peers.

mod cluster;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cluster::{Node, catalog, until};
use pomelolink::peer::{self, Counter, Reply, Request};
use pomelolink::rollout::{BadVersion, Key};
use pomelolink::{membership, wire};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against nodes that know only a seed and do not discover each other.
#[tokio::test]
async fn nodes_join_through_a_seed() {
    let nodes = Node::start_many(5).await;
    // The exchange of member lists over TCP may complete before the first datagram arrives.
    let joined = |node: &Node| {
        node.alive() == 5 && node.network.counters().get(Counter::DatagramsReceived) > 0
    };
    until(TIMEOUT, || nodes.iter().all(joined)).await;
    for node in &nodes {
        for cause in wire::Error::ALL {
            assert_eq!(node.network.counters().dropped(cause), 0, "{cause}");
        }
    }
}

/// Guards against a planned stop that its peers do not see as `Leaving`.
#[tokio::test]
async fn leaving_is_announced() {
    let nodes = Node::start_many(3).await;
    until(TIMEOUT, || nodes.iter().all(|node| node.alive() == 3)).await;
    nodes[2].network.announce_leaving().await;
    let leaving = |node: &Node| {
        let members = node.network.members();
        members
            .iter()
            .any(|member| *member.node == *"node-2" && member.status == membership::Status::Leaving)
    };
    until(TIMEOUT, || nodes.iter().all(leaving)).await;
}

/// Guards against a catalog that arrives incomplete, or is sent to a node that already has it.
#[tokio::test]
async fn config_is_pulled_from_a_peer() {
    let nodes = Node::start_many(2).await;
    nodes[1].state.apply(catalog(7));
    let address = nodes[1].network.address();
    let pull = |known| nodes[0].network.request(address, Request::PullConfig { known }, TIMEOUT);
    assert_eq!(pull(6).await.unwrap(), Reply::Config(Some(catalog(7))));
    assert_eq!(pull(7).await.unwrap(), Reply::Config(None));
}

/// Guards against concurrent requests that receive each other's replies, and against a late reply
/// that is taken for the reply to a later request.
#[tokio::test]
async fn replies_match_requests() {
    let handler: peer::Handler = Arc::new(|request| {
        Box::pin(async move {
            let Request::CopyStream(bytes) = request else { return Reply::Refused("other".into()) };
            let delay_ms = if bytes.first() == Some(&0) { 400 } else { 0 };
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            Reply::Payload(bytes)
        })
    });
    let server = Node::start("server", Vec::new(), handler).await;
    let client = Node::start("client", Vec::new(), cluster::refuse()).await;
    let address = server.network.address();
    let requests = (0..=200u8).map(|number| {
        let timeout = if number == 0 { Duration::from_millis(100) } else { TIMEOUT };
        client.network.request(address, Request::CopyStream(vec![number; 100]), timeout)
    });
    let replies = futures_util::future::join_all(requests).await;
    for (number, reply) in replies.into_iter().enumerate() {
        match reply {
            Ok(reply) => assert_eq!(reply, Reply::Payload(vec![number as u8; 100])),
            Err(error) => assert!(number == 0 && matches!(error, peer::Error::Timeout), "{error}"),
        }
    }
    for number in 1..=50 {
        let request = Request::CopyStream(vec![number]);
        let reply = client.network.request(address, request, TIMEOUT).await.unwrap();
        assert_eq!(reply, Reply::Payload(vec![number]));
    }
}

/// Guards against a refused connection that is not reported as a request that was not run.
#[tokio::test]
async fn refused_connection_is_not_run() {
    let stopped = Node::start("gone", Vec::new(), cluster::refuse()).await;
    let address = stopped.network.address();
    drop(stopped);
    let client = Node::start("client", Vec::new(), cluster::refuse()).await;
    let result = client.network.request(address, Request::CopyStream(vec![1]), TIMEOUT).await;
    assert!(result.unwrap_err().is_not_run());
}

/// Guards against a node without the key that joins, or whose frames are not counted as dropped.
#[tokio::test]
async fn wrong_key_is_dropped_and_counted() {
    let seed = Node::start("seed", Vec::new(), cluster::refuse()).await;
    let address = seed.network.address();
    let mut config = cluster::config("stranger", vec![address]);
    config.keys = vec!["another key of 16 bytes".into()];
    let intruder = Node::start_with(config, cluster::refuse(), cluster::ignore_marks()).await;
    until(TIMEOUT, || seed.network.counters().dropped(wire::Error::Tag) >= 2).await;
    let pull = Request::PullConfig { known: 0 };
    assert!(intruder.network.request(address, pull, TIMEOUT).await.is_err());
    assert_eq!(seed.network.members().len(), 1);
}

/// Guards against a restarted node that is rejected forever because its clock went backwards, so
/// that its incarnation is lower than before.
#[tokio::test]
async fn lower_incarnation_is_raised() {
    let seed = Node::start("seed", Vec::new(), cluster::refuse()).await;
    let start = |incarnation| {
        let mut config = cluster::config("node", vec![seed.network.address()]);
        config.incarnation = incarnation;
        Node::start_with(config, cluster::refuse(), cluster::ignore_marks())
    };
    let first = start(1_000).await;
    until(TIMEOUT, || seed.alive() == 2 && first.alive() == 2).await;
    drop(first);
    let second = start(5).await;
    let address = second.network.address();
    let is_known = || {
        let members = seed.network.members();
        members
            .iter()
            .any(|member| member.address == address && member.status == membership::Status::Alive)
    };
    until(TIMEOUT, || is_known() && second.alive() == 2).await;
    let dropped = || seed.network.counters().dropped(wire::Error::Incarnation);
    let before = dropped();
    // Two heartbeats, during which datagrams must be accepted again.
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(dropped(), before);
}

/// Guards against an unauthenticated client that makes the server wait for or buffer a large frame.
#[tokio::test]
async fn unauthenticated_large_frame_is_dropped() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let node = Node::start("node", Vec::new(), cluster::refuse()).await;
    let mut socket = tokio::net::TcpStream::connect(node.network.address()).await.unwrap();
    socket.write_all(&[7; 16]).await.unwrap();
    socket.write_all(&(1u32 << 20).to_le_bytes()).await.unwrap();
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(TIMEOUT, socket.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the server closes the connection");
    assert_eq!(node.network.counters().dropped(wire::Error::Oversize), 1);
}

fn bad_version(index: usize, reason: &str) -> BadVersion {
    let version = format!("chat-{index}").into();
    let key = Key {
        accepted_ms: 1_800_000_000_000,
        service: "chat".into(),
        version,
        name: "move".into(),
    };
    BadVersion { key, reason: reason.into() }
}

/// Guards against bad versions that never reach the nodes to which they were not sent at first.
#[tokio::test]
async fn bad_versions_reach_all_nodes() {
    let received: Vec<Arc<Mutex<Vec<BadVersion>>>> = (0..4).map(|_| Arc::default()).collect();
    let mut nodes: Vec<Node> = Vec::new();
    for (index, received) in received.iter().enumerate() {
        let seeds = nodes.iter().map(|node| node.network.address()).take(1).collect();
        let received = received.clone();
        let handler: peer::BadVersionsHandler =
            Arc::new(move |versions| received.lock().unwrap().extend(versions));
        let config = cluster::config(&format!("node-{index}"), seeds);
        nodes.push(Node::start_with(config, cluster::refuse(), handler).await);
    }
    // Enough bad versions for several datagrams, set before any other node is known.
    let reason = "r".repeat(300);
    let versions: Vec<BadVersion> = (0..20).map(|index| bad_version(index, &reason)).collect();
    nodes[0].network.set_bad_versions(versions.clone()).await;
    let has_all = |received: &Mutex<Vec<BadVersion>>| {
        let received = received.lock().unwrap();
        let truncated = &reason[..peer::MAX_REASON_BYTES];
        versions
            .iter()
            .all(|bad| received.contains(&BadVersion { reason: truncated.into(), ..bad.clone() }))
    };
    until(TIMEOUT, || received[1..].iter().all(|received| has_all(received))).await;
}
