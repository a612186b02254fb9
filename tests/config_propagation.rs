//! Tests how configuration changes reach all nodes: by announcement, by polling, and from peers
//! while the platform is unreachable.
//!
//! `cargo test --test config_propagation -- --nocapture` prints the propagation times.

mod cluster;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cluster::{Node, catalog, until};
use pomelolink::platform::{Client, Outcome, Transaction};
use pomelolink::resource::{Id, Kind};
use pomelolink::revision::{self, HEAD_KEY, resource_key};
use standin::platform;
use tokio::task::JoinHandle;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a change must be in effect while a failure domain is cut off from the
/// platform.
const CUT_OFF_TARGET: Duration = Duration::from_secs(6);
const POLL_PERIOD: Duration = Duration::from_secs(1);

async fn start_platform() -> Client {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(platform::run(listener, platform::Options::default()));
    client(address)
}

fn client(address: SocketAddr) -> Client {
    Client::new(address, Duration::from_millis(500))
}

/// Returns a client of an address that refuses connections.
async fn unreachable_platform() -> Client {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    client(listener.local_addr().unwrap())
}

/// Returns a client of a platform that accepts connections but never answers, and its listener.
async fn hanging_platform() -> (Client, tokio::net::TcpListener) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    (client(listener.local_addr().unwrap()), listener)
}

/// Writes a configuration with one pool and returns its revision.
async fn write(client: &Client, concurrency: u32) -> u64 {
    let head = client.read_row(HEAD_KEY).await.unwrap();
    let revision = head.as_ref().and_then(|row| row.value.as_u64()).unwrap_or(0) + 1;
    let mut transaction = Transaction::default();
    transaction.put(HEAD_KEY, head.map(|row| row.version), revision.into());
    let key = resource_key(&Id::new(Kind::Pool, "workers"));
    let row = client.read_row(&key).await.unwrap();
    let mut resource = catalog(1).resources.into_values().next().unwrap();
    resource.generation = u64::from(concurrency);
    transaction.put(&key, row.map(|row| row.version), serde_json::to_value(resource).unwrap());
    assert!(matches!(client.transact(&transaction).await, Outcome::Done(_)));
    revision
}

fn follow(node: &Node, client: &Client, period: Duration, seed: u64) -> JoinHandle<()> {
    let (state, network) = (node.state.clone(), node.network.clone());
    tokio::spawn(revision::run(state, client.clone(), network, period, seed))
}

fn in_effect(nodes: &[Node], revision: u64) -> bool {
    nodes.iter().all(|node| node.state.current().revision >= revision)
}

/// Makes changes one after another and returns, sorted, the time until each was in effect on all
/// nodes.
async fn propagation(client: &Client, nodes: &[Node], changes: u32) -> Vec<Duration> {
    let mut times = Vec::new();
    for change in 0..changes {
        let revision = write(client, change).await;
        let start = Instant::now();
        until(TIMEOUT, || in_effect(nodes, revision)).await;
        times.push(start.elapsed());
        // Varies the interval, so that the changes do not stay in phase with the polls.
        tokio::time::sleep(Duration::from_millis(u64::from(change) * 137 % 400)).await;
    }
    times.sort_unstable();
    times
}

/// Guards against announcements that do not bring a change to all nodes sooner than
/// polling alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announcements_beat_polling() {
    let client = start_platform().await;
    let joined = Node::start_many(8).await;
    let mut isolated = Vec::new();
    for index in 0..8 {
        isolated.push(Node::start(&format!("alone-{index}"), Vec::new(), cluster::refuse()).await);
    }
    until(TIMEOUT, || joined.iter().all(|node| node.alive() == 8)).await;
    for (index, node) in joined.iter().chain(&isolated).enumerate() {
        follow(node, &client, POLL_PERIOD, index as u64);
    }
    write(&client, 0).await;
    let all_ready = || joined.iter().chain(&isolated).all(|node| node.state.is_ready());
    until(TIMEOUT, all_ready).await;
    let announced = propagation(&client, &joined, 15).await;
    let polled = propagation(&client, &isolated, 15).await;
    let median = |times: &[Duration]| times[times.len() / 2];
    let ratio = median(&announced).as_secs_f64() / median(&polled).as_secs_f64();
    println!(
        "8 nodes, poll of {POLL_PERIOD:?}, 15 changes: with announcements median {:?}, \
         most {:?}; polling alone median {:?}, most {:?}; ratio of the medians {ratio:.2}",
        median(&announced),
        announced[announced.len() - 1],
        median(&polled),
        polled[polled.len() - 1]
    );
    assert!(ratio < 1.0, "announcements are no faster than polling");
}

/// Guards against a node that misses a change because it cannot reach the platform, either while it
/// runs or when it starts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_replace_an_unreachable_platform() {
    let client = start_platform().await;
    let nodes = Node::start_many(4).await;
    let unreachable = unreachable_platform().await;
    assert!(nodes.iter().all(|node| !node.state.is_ready()));
    for (index, node) in nodes.iter().enumerate() {
        follow(node, if index == 3 { &unreachable } else { &client }, POLL_PERIOD, index as u64);
    }
    for change in 0..5 {
        let revision = write(&client, change).await;
        let start = Instant::now();
        until(CUT_OFF_TARGET, || in_effect(&nodes, revision)).await;
        println!("change {change} reached the node without platform after {:?}", start.elapsed());
    }
    let late = Node::start("late", vec![nodes[1].network.address()], cluster::refuse()).await;
    let (hanging, _listener) = hanging_platform().await;
    let start = Instant::now();
    follow(&late, &hanging, POLL_PERIOD, 9);
    until(CUT_OFF_TARGET, || late.state.is_ready()).await;
    println!("a node started with a silent platform was ready after {:?}", start.elapsed());
    let resources = |node: &Node| node.state.current().resources.clone();
    assert_eq!(resources(&late), resources(&nodes[0]));
}

/// Guards against a node that applies a lower revision from a peer, or that reports ready without a
/// configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revision_never_reverts() {
    let nodes = Node::start_many(3).await;
    let unreachable = unreachable_platform().await;
    let mut changes = nodes[0].state.subscribe();
    for (index, node) in nodes.iter().enumerate() {
        follow(node, &unreachable, Duration::from_millis(50), index as u64);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(nodes.iter().all(|node| !node.state.is_ready()));
    let applied = Arc::new(std::sync::Mutex::new(Vec::new()));
    let record = applied.clone();
    tokio::spawn(async move {
        while changes.changed().await.is_ok() {
            record.lock().unwrap().push(changes.borrow_and_update().revision);
        }
    });
    for revision in [5, 3, 9, 8, 12] {
        nodes[1].state.apply(catalog(revision));
        nodes[2].state.apply(catalog(revision.saturating_sub(1)));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    until(TIMEOUT, || in_effect(&nodes, 12)).await;
    let applied = applied.lock().unwrap().clone();
    assert!(applied.is_sorted() && applied.last() == Some(&12), "{applied:?}");
}

/// Guards against a peer's catalog that is accepted although it is not newer or not well-formed.
#[test]
fn catalogs_of_peers_are_checked() {
    assert!(revision::is_acceptable(&catalog(5), 4));
    assert!(!revision::is_acceptable(&catalog(5), 5));
    let mut bad_name = catalog(5);
    let resource = bad_name.resources.values().next().unwrap().clone();
    bad_name.resources.insert(Id::new(Kind::Pool, "../head"), resource.clone());
    assert!(!revision::is_acceptable(&bad_name, 4));
    let mut wrong_kind = catalog(5);
    wrong_kind.resources.insert(Id::new(Kind::Service, "chat"), resource);
    assert!(!revision::is_acceptable(&wrong_kind, 4));
}
