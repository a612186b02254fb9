//! Helpers for tests that run the peer networks of several daemons in one process.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelolink::membership::Status;
use pomelolink::peer::{self, Network, Reply};
use pomelolink::resource::{Catalog, Id, Kind, Pool, Resource, Spec, Version};
use pomelolink::revision;

pub struct Node {
    pub network: Arc<Network>,
    pub state: Arc<revision::State>,
}

impl Node {
    pub async fn start(name: &str, seeds: Vec<SocketAddr>, handler: peer::Handler) -> Node {
        Node::start_with(config(name, seeds), handler, ignore_marks()).await
    }

    pub async fn start_with(
        config: peer::Config,
        handler: peer::Handler,
        marks: peer::BadVersionsHandler,
    ) -> Node {
        let state = Arc::new(revision::State::default());
        let network = Network::start(config, state.clone(), handler, marks).await.unwrap();
        Node { network: Arc::new(network), state }
    }

    /// Starts `count` nodes, named `node-0` and so on; the first is the seed of the others.
    pub async fn start_many(count: usize) -> Vec<Node> {
        let mut nodes: Vec<Node> = Vec::new();
        for index in 0..count {
            let seeds = nodes.iter().map(|node| node.network.address()).take(1).collect();
            nodes.push(Node::start(&format!("node-{index}"), seeds, refuse()).await);
        }
        nodes
    }

    /// Returns the number of members that this node considers alive, itself included.
    pub fn alive(&self) -> usize {
        let members = self.network.members();
        members.iter().filter(|member| member.status == Status::Alive).count()
    }
}

pub fn config(name: &str, seeds: Vec<SocketAddr>) -> peer::Config {
    let number: u64 = name.bytes().map(u64::from).sum();
    peer::Config {
        node: name.into(),
        region: "north".into(),
        failure_domain: format!("north-{}", number % 4).into(),
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        seeds,
        keys: vec!["a key of at least 16 bytes".into()],
        heartbeat: Duration::from_millis(200),
        incarnation: 1,
        random_seed: number,
    }
}

pub fn refuse() -> peer::Handler {
    Arc::new(|_| Box::pin(async { Reply::Refused("no handler".into()) }))
}

pub fn ignore_marks() -> peer::BadVersionsHandler {
    Arc::new(|_| {})
}

/// Builds a catalog whose pool and version are named after its revision.
pub fn catalog(revision: u64) -> Catalog {
    let mut catalog = Catalog { revision, ..Catalog::default() };
    let pool = Pool { class: "large".into(), checks_fencing: true, concurrency: 8 };
    let version =
        Version { service: "chat".into(), pool: format!("pool-{revision}").as_str().into() };
    for (kind, spec) in [(Kind::Pool, Spec::Pool(pool)), (Kind::Version, Spec::Version(version))] {
        let resource = Resource { spec, generation: revision, status: Default::default() };
        catalog.resources.insert(Id::new(kind, format!("name-{revision}")), resource);
    }
    catalog
}

/// Waits until a condition holds; panics after the timeout.
pub async fn until(timeout: Duration, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < timeout, "condition does not hold after {timeout:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
