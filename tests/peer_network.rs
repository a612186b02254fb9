//! Guards the sockets between daemons: joining, requests, marks, and frames of strangers.

mod cluster;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cluster::{Node, catalog, until};
use pomelolink::peer::{self, Counter, Reply, Request};
use pomelolink::rollout::{BadVersion, Key};
use pomelolink::{membership, wire};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Fails when nodes that know only a seed do not find each other.
#[tokio::test]
async fn nodes_join_through_a_seed() {
    let nodes = Node::start_many(5).await;
    // The members may be known by TCP before the first datagram arrives.
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

/// Fails when a planned stop is not visible to the others as such.
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

/// Fails when a catalog is not sent whole, or is sent although the asker has it.
#[tokio::test]
async fn config_is_pulled_from_a_peer() {
    let nodes = Node::start_many(2).await;
    nodes[1].state.apply(catalog(7));
    let address = nodes[1].network.address();
    let pull = |known| nodes[0].network.request(address, Request::PullConfig { known }, TIMEOUT);
    assert_eq!(pull(6).await.unwrap(), Reply::Config(Some(catalog(7))));
    assert_eq!(pull(7).await.unwrap(), Reply::Config(None));
}

/// Fails when requests in parallel get each other's replies, or a late reply meets a later request.
#[tokio::test]
async fn replies_match_requests() {
    let handler: peer::Handler = Arc::new(|request| {
        Box::pin(async move {
            let Request::Copy(bytes) = request else { return Reply::Refused("other".into()) };
            let pause = if bytes.first() == Some(&0) { 400 } else { 0 };
            tokio::time::sleep(Duration::from_millis(pause)).await;
            Reply::Payload(bytes)
        })
    });
    let server = Node::start("server", Vec::new(), handler).await;
    let client = Node::start("client", Vec::new(), cluster::refuse()).await;
    let address = server.network.address();
    let requests = (0..=200u8).map(|number| {
        let timeout = if number == 0 { Duration::from_millis(100) } else { TIMEOUT };
        client.network.request(address, Request::Copy(vec![number; 100]), timeout)
    });
    let replies = futures_util::future::join_all(requests).await;
    for (number, reply) in replies.into_iter().enumerate() {
        match reply {
            Ok(reply) => assert_eq!(reply, Reply::Payload(vec![number as u8; 100])),
            Err(error) => assert!(number == 0 && matches!(error, peer::Error::Timeout), "{error}"),
        }
    }
    for number in 1..=50 {
        let request = Request::Copy(vec![number]);
        let reply = client.network.request(address, request, TIMEOUT).await.unwrap();
        assert_eq!(reply, Reply::Payload(vec![number]));
    }
}

/// Fails when a request to an address where nobody listens is not reported as not run.
#[tokio::test]
async fn refused_connection_is_not_run() {
    let gone = Node::start("gone", Vec::new(), cluster::refuse()).await;
    let address = gone.network.address();
    drop(gone);
    let client = Node::start("client", Vec::new(), cluster::refuse()).await;
    let result = client.network.request(address, Request::Copy(vec![1]), TIMEOUT).await;
    assert!(result.unwrap_err().is_not_run());
}

/// Fails when a node without the key can join, or its frames are not counted.
#[tokio::test]
async fn wrong_key_is_dropped_and_counted() {
    let seed = Node::start("seed", Vec::new(), cluster::refuse()).await;
    let address = seed.network.address();
    let mut config = cluster::config("stranger", vec![address]);
    config.keys = vec!["another key of 16 bytes".into()];
    let stranger = Node::start_with(config, cluster::refuse(), cluster::ignore_marks()).await;
    until(TIMEOUT, || seed.network.counters().dropped(wire::Error::Tag) >= 2).await;
    let pull = Request::PullConfig { known: 0 };
    assert!(stranger.network.request(address, pull, TIMEOUT).await.is_err());
    assert_eq!(seed.network.members().len(), 1);
}

/// Fails when a restarted node whose clock ran backwards stays locked out.
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
    let known = || {
        let members = seed.network.members();
        members
            .iter()
            .any(|member| member.address == address && member.status == membership::Status::Alive)
    };
    until(TIMEOUT, || known() && second.alive() == 2).await;
    let dropped = || seed.network.counters().dropped(wire::Error::Incarnation);
    let before = dropped();
    // Two heartbeats in which datagrams must be accepted again.
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(dropped(), before);
}

/// Fails when a stranger can make the server wait for, or hold, a large frame.
#[tokio::test]
async fn large_frame_of_a_stranger_is_dropped() {
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

fn mark(index: usize, reason: &str) -> BadVersion {
    let version = format!("chat-{index}").into();
    let key = Key {
        accepted_ms: 1_800_000_000_000,
        service: "chat".into(),
        version,
        name: "move".into(),
    };
    BadVersion { key, reason: reason.into() }
}

/// Fails when a node that takes no part in the first sending of marks does not get them later.
#[tokio::test]
async fn marks_reach_all_nodes() {
    let seen: Vec<Arc<Mutex<Vec<BadVersion>>>> = (0..4).map(|_| Arc::default()).collect();
    let mut nodes: Vec<Node> = Vec::new();
    for (index, seen) in seen.iter().enumerate() {
        let seeds = nodes.iter().map(|node| node.network.address()).take(1).collect();
        let seen = seen.clone();
        let handler: peer::MarksHandler = Arc::new(move |marks| seen.lock().unwrap().extend(marks));
        let config = cluster::config(&format!("node-{index}"), seeds);
        nodes.push(Node::start_with(config, cluster::refuse(), handler).await);
    }
    // Enough marks for several datagrams, set before any other node is known.
    let reason = "r".repeat(300);
    let marks: Vec<BadVersion> = (0..20).map(|index| mark(index, &reason)).collect();
    nodes[0].network.set_marks(marks.clone()).await;
    let complete = |seen: &Mutex<Vec<BadVersion>>| {
        let seen = seen.lock().unwrap();
        let cut = &reason[..peer::MARK_TEXT_BYTES];
        marks.iter().all(|mark| seen.contains(&BadVersion { reason: cut.into(), ..mark.clone() }))
    };
    until(TIMEOUT, || seen[1..].iter().all(|seen| complete(seen))).await;
}
