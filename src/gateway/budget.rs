//! Budget for sending a request to a second endpoint.
//!
//! The load to answer is a service that fails under load: repeats would add to it. Each node may
//! repeat a part of its own requests, plus its part of the slack that all nodes share.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Part of the allowed ratio and slack that is used, so that requests which cross the end of a
/// window on one of the nodes don't break the bound.
const MARGIN: f64 = 0.7;

#[derive(Debug, Clone, Copy)]
pub struct Rule {
    /// Repeats allowed for each request.
    pub ratio: f64,
    pub window: Duration,
    /// Repeats allowed in a window besides, over all nodes.
    pub slack: f64,
}

impl Rule {
    /// Gives the repeats that one of `nodes` nodes may make for its requests in a window.
    fn allowed(&self, requests: f64, nodes: usize) -> f64 {
        (requests * self.ratio + self.slack / nodes.max(1) as f64) * MARGIN
    }
}

#[derive(Debug, Default)]
struct Ledger {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

fn expire(times: &mut VecDeque<Duration>, window: Duration, now: Duration) {
    while times.front().is_some_and(|&time| now.saturating_sub(time) > window) {
        times.pop_front();
    }
}

/// Counts requests and repeats of each service on one node.
#[derive(Debug)]
pub struct Budget {
    rule: Rule,
    ledgers: HashMap<Arc<str>, Ledger>,
}

impl Budget {
    pub fn new(rule: Rule) -> Budget {
        Budget { rule, ledgers: HashMap::new() }
    }

    pub fn record_request(&mut self, service: &Arc<str>, now: Duration) {
        let ledger = self.ledgers.entry(service.clone()).or_default();
        expire(&mut ledger.requests, self.rule.window, now);
        ledger.requests.push_back(now);
    }

    /// Counts a repeat that is made whatever the budget says: the rest of a stream that was moved.
    pub fn record_repeat(&mut self, service: &Arc<str>, now: Duration) {
        self.ledgers.entry(service.clone()).or_default().repeats.push_back(now);
    }

    /// Gives the repeats of each service that this node may make now.
    pub fn left(&self, nodes: usize, now: Duration) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.ledgers.iter().map(move |(service, ledger)| {
            let recent = |times: &VecDeque<Duration>| {
                times.iter().filter(|&&it| now.saturating_sub(it) <= self.rule.window).count()
                    as f64
            };
            let allowed = self.rule.allowed(recent(&ledger.requests), nodes);
            (service, (allowed - recent(&ledger.repeats)).max(0.0))
        })
    }

    /// Takes one repeat, unless this node has used up its part.
    pub fn take(&mut self, service: &Arc<str>, nodes: usize, now: Duration) -> bool {
        let rule = self.rule;
        let ledger = self.ledgers.entry(service.clone()).or_default();
        expire(&mut ledger.requests, rule.window, now);
        expire(&mut ledger.repeats, rule.window, now);
        let allowed = rule.allowed(ledger.requests.len() as f64, nodes);
        let taken = (ledger.repeats.len() as f64) < allowed;
        if taken {
            ledger.repeats.push_back(now);
        }
        taken
    }
}
