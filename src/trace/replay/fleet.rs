use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use super::{Choice, Settings};
use crate::admission::{self, Gate, Limit};
use crate::retry;
use crate::routing::{Endpoint, Key, Locality, Table};

/// Time for which a plain request occupies an application worker, without the slow cases.
pub const PLAIN_SERVICE: Duration = Duration::from_millis(20);

/// Requests that an application worker runs at once.
pub const PLAIN_SLOTS: usize = 32;

/// Names the two kinds of workers.
pub const MODEL: usize = 0;
pub const PLAIN: usize = 1;

/// Holds what an entry VM decides with, for one kind of worker.
#[derive(Debug)]
pub struct Service {
    pub table: Table,
    pub gate: Gate,
    pub limits: HashMap<Arc<str>, Limit>,
    pub budget: retry::Budget,
    pub latency: retry::Latency,
    /// Time of the next scheduled check of waiting requests.
    pub timer: Option<Duration>,
    turn: usize,
}

/// Holds one entry VM.
#[derive(Debug)]
pub struct Node {
    pub services: [Service; 2],
}

/// Gives the endpoints of a kind; their numbers continue from kind to kind.
pub fn endpoints(settings: &Settings, kind: usize) -> Vec<Endpoint> {
    let numbers = match kind {
        MODEL => 0..settings.workers,
        _ => settings.workers..settings.workers + settings.applications,
    };
    let endpoint = |number: usize| Endpoint {
        id: format!("worker-{number}").into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + number as u16)),
        failure_domain: format!("domain-{}", number % settings.domains.max(1)).into(),
        region: "region".into(),
        pool: if kind == MODEL { "model" } else { "plain" }.into(),
        version: None,
        cost: 1_000,
    };
    numbers.map(endpoint).collect()
}

impl Node {
    pub fn new(settings: &Settings, number: usize) -> Node {
        let service = |kind| Service::new(settings, number, kind);
        Node { services: [service(MODEL), service(PLAIN)] }
    }
}

impl Service {
    fn new(settings: &Settings, number: usize, kind: usize) -> Service {
        let place = Locality {
            node: format!("node-{number}").into(),
            failure_domain: format!("domain-{}", number % settings.domains.max(1)).into(),
            region: "region".into(),
        };
        let endpoints = endpoints(settings, kind);
        let slots = if kind == MODEL { settings.engine.slots } else { PLAIN_SLOTS };
        // Each node takes its part of the slots, and a little more so that none stays empty.
        let cap = (slots as f64 * 1.2 / settings.nodes.max(1) as f64).ceil() as u32;
        let in_flight = cap * endpoints.len() as u32;
        let limits = endpoints.iter().map(|endpoint| (endpoint.id.clone(), Limit::new(1, cap)));
        let limits = limits.collect();
        let gate = Gate::new(admission::Settings {
            max_in_flight: in_flight,
            max_waiting: in_flight as usize,
            max_wait: Duration::from_secs(2),
        });
        let mut table = Table::new(place, settings.seed + number as u64);
        table.update(Duration::ZERO, endpoints);
        let budget = retry::Budget::new(Duration::ZERO, 0.2, 10.0);
        let latency = retry::Latency::default();
        Service { table, gate, limits, budget, latency, timer: None, turn: number }
    }

    /// Chooses an endpoint in the way that is compared.
    pub fn choose(
        &mut self,
        now: Duration,
        settings: &Settings,
        listed: &[Arc<str>],
        blocks: &[u64],
        exclude: &[Arc<str>],
        random: &mut StdRng,
    ) -> Option<Arc<str>> {
        let usable = || listed.iter().filter(|id| !exclude.contains(id));
        let count = usable().count();
        match settings.choice {
            Choice::Random if count > 0 => usable().nth(random.random_range(0..count)).cloned(),
            Choice::RoundRobin if count > 0 => {
                self.turn += 1;
                usable().nth(self.turn % count).cloned()
            }
            Choice::Random | Choice::RoundRobin => None,
            Choice::LeastInFlight => {
                let key = Key { blocks: &[], seed: random.random() };
                self.table.choose(now, key, exclude).map(|candidate| candidate.id)
            }
            Choice::Affinity => {
                let key = Key { blocks, seed: random.random() };
                self.table.choose(now, key, exclude).map(|candidate| candidate.id)
            }
        }
    }

    /// Tells whether the load of an endpoint, with one more request, is within the bound.
    pub fn is_within_bound(&self, now: Duration, listed: &[Arc<str>], id: &str) -> bool {
        let loads = listed.iter().filter_map(|id| self.table.load(now, id));
        let (count, total) =
            loads.fold((0, 0.0), |(count, total), load| (count + 1, total + load.floor()));
        let bound = (1.25 * (total + 1.0) / f64::from(count.max(1))).ceil();
        self.table.load(now, id).is_none_or(|load| load.floor() + 1.0 <= bound)
    }

    /// Follows the limits of the endpoints with the limit of the gate.
    pub fn adapt(&mut self, id: &str, latency: Duration, in_flight: u32) {
        if let Some(limit) = self.limits.get_mut(id) {
            limit.record(latency, in_flight);
        }
        self.gate.set_limit(self.limits.values().map(Limit::current).sum());
    }
}
