//! Quotas after the loss of all nodes of a split fleet, simulated without a network.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::catalog::{Quota, Tenant};
use pomelolink::gateway::pace::Pace;
use pomelolink::gateway::queue;
use pomelolink::gateway::quota::Quotas;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const WINDOW: Duration = Duration::from_secs(8);
const RATE: f64 = 370_000.0;
const BURST: f64 = 60_000.0;
/// Largest number of units that all nodes together may admit in a window, by the users' rule.
const BOUND: f64 = (RATE * 8.0 + BURST) * 1.1 + 140_000.0;
const DOMAINS: usize = 4;
const NODES: usize = 72;
/// Times between the messages of a node, as in `gateway::gossip`, and the latency of a datagram.
const HEARTBEAT_MS: u64 = 250;
const UPDATE_MS: u64 = 25;
const LATENCY_MS: u64 = 8;
/// Time at which all nodes are lost, time at which they have restored the snapshot, and end of the simulation.
const LOST_MS: u64 = 12_000;
const RESTORED_MS: u64 = 14_000;
const END_MS: u64 = 28_000;
/// Age of the snapshot when the nodes are lost, and the longest one that a node assumes.
const SNAPSHOT_AGE_MS: u64 = 500;
/// Units that clients ask for, as a multiple of the quota's rate.
const DEMAND: f64 = 4.0;
const MAX_LAG: Duration = Duration::from_millis(1_200);

/// What nodes learn of each other.
enum Message {
    Total(usize, u64),
    Sums(usize, Vec<(Arc<str>, u64)>),
}

struct Fleet {
    names: Vec<Arc<str>>,
    domains: Vec<Arc<str>>,
    nodes: Vec<Quotas>,
    started_ms: u64,
    sent_ms: Vec<u64>,
    /// Paces of the relays, the first nodes of the domains.
    paces: [Pace; DOMAINS],
    in_transit: Vec<(u64, Message)>,
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(100_000 + ms)
}

fn domain_of(node: usize) -> usize {
    node % DOMAINS
}

impl Fleet {
    fn start(is_first: bool, ms: u64) -> Fleet {
        let quota = Quota { rate: RATE, burst: BURST, counts_tokens: true, default_tokens: 200 };
        let name = "a".into();
        let tenant = Tenant { name, keys: Vec::new(), priority: None, quota: Some(quota) };
        let mut nodes: Vec<Quotas> = (0..NODES).map(|_| Quotas::new(WINDOW, is_first)).collect();
        let tenants = [Arc::new(tenant)];
        nodes.iter_mut().for_each(|node| node.configure(&tenants, at(ms)));
        Fleet {
            names: (0..NODES).map(|node| format!("n{node}").into()).collect(),
            domains: (0..DOMAINS).map(|domain| format!("d{domain}").into()).collect(),
            nodes,
            started_ms: ms,
            sent_ms: vec![0; NODES],
            paces: Default::default(),
            in_transit: Vec::new(),
        }
    }

    fn deliver(&mut self, ms: u64) {
        let uptime = Duration::from_millis(ms - self.started_ms);
        for (_, message) in self.in_transit.extract_if(.., |(time, _)| *time <= ms) {
            let nodes = self.nodes.iter_mut().enumerate();
            match message {
                Message::Total(from, total) => nodes
                    .filter(|(to, _)| *to != from && domain_of(*to) == domain_of(from))
                    .for_each(|(_, node)| {
                        let peer = (&self.names[from], self.started_ms);
                        node.record_peer_total(peer, "a", total, uptime, at(ms));
                    }),
                Message::Sums(domain, sums) => {
                    nodes.filter(|(to, _)| domain_of(*to) != domain).for_each(|(_, node)| {
                        let source = &self.names[domain];
                        node.set_domain_sums(&self.domains[domain], source, &sums, at(ms));
                    })
                }
            }
        }
    }

    fn send(&mut self, ms: u64) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let is_heartbeat = (ms + index as u64 * 7).is_multiple_of(HEARTBEAT_MS);
            let is_update =
                ms >= self.sent_ms[index] + UPDATE_MS && node.is_nearly_exhausted(NODES);
            if is_heartbeat || is_update {
                self.sent_ms[index] = ms;
                let total = node.report_totals().first().map_or(0, |(_, total)| *total);
                self.in_transit.push((ms + LATENCY_MS, Message::Total(index, total)));
            }
            if index < DOMAINS && self.paces[index].is_due(is_update, at(ms)) {
                self.paces[index].record_digest(at(ms));
                let message = Message::Sums(index, node.domain_sums(at(ms)));
                self.in_transit.push((ms + 2 * LATENCY_MS, message));
            }
        }
    }
}

/// Returns the largest sum of a window that a tenant reaches that always asks for several times its rate.
fn max_sum_around_loss(seed: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::start(true, 0);
    let (mut admitted, mut asked, mut snapshot) = (Vec::new(), 0.0, Vec::new());
    let mut returning: Vec<(u64, u64)> = Vec::new();
    for ms in 0..END_MS {
        if ms == LOST_MS - SNAPSHOT_AGE_MS {
            snapshot = fleet.nodes[0].profiles(at(ms));
        }
        if ms == RESTORED_MS {
            fleet = Fleet::start(false, ms);
            let age = Duration::from_millis(RESTORED_MS - LOST_MS + SNAPSHOT_AGE_MS);
            for node in &mut fleet.nodes {
                assert!(node.restore(&snapshot, age, MAX_LAG, at(ms)));
            }
        }
        if (LOST_MS..RESTORED_MS).contains(&ms) {
            continue;
        }
        fleet.deliver(ms);
        asked += RATE * DEMAND / 1_000.0;
        let mut requests: Vec<(u64, bool)> = returning
            .extract_if(.., |(time, _)| *time <= ms)
            .map(|(_, units)| (units, true))
            .collect();
        while asked > 0.0 {
            let units = [200, 1_500, 5_500, 15_000][rng.random_range(0..4)];
            asked -= units as f64;
            requests.push((units, false));
        }
        for (units, is_repeated) in requests {
            let node = rng.random_range(0..NODES);
            match fleet.nodes[node].admit("a", units, at(ms)) {
                Ok(()) => admitted.push((ms, units)),
                // Clients return once, when they were told that there is room.
                Err(after) if !is_repeated => {
                    let after = queue::jitter(after, rng.random());
                    returning.push((ms + after.as_millis() as u64 + 1, units));
                }
                Err(_) => {}
            }
        }
        fleet.send(ms);
    }
    let sum = |start: u64| {
        let inside = admitted.iter().filter(|(ms, _)| (start..start + 8_000).contains(ms));
        inside.map(|(_, units)| units).sum::<u64>()
    };
    (0..END_MS).step_by(100).map(sum).max().unwrap_or(0)
}

/// Guards against nodes that restore the window of a tenant in few large steps: all of them fill the room of a step
/// before they hear of each other. Seen as a QUOTA failure on hunt-573b-3 of trailwise-lk-grown.
#[test]
fn restored_window_opens_slowly() {
    for seed in 1..=12 {
        let max_sum = max_sum_around_loss(seed);
        println!("seed {seed}: {max_sum} units in a window, {BOUND} allowed");
        assert!((max_sum as f64) < BOUND, "seed {seed}: {max_sum} units, {BOUND} allowed");
    }
}
