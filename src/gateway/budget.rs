//! Retry budget: limits how many requests a node sends to a second endpoint.
//!
//! Unlimited retries would add load to a service that fails under load. Each node may retry a fraction of
//! its own requests, plus its part of an allowance that all nodes share.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Fraction of the configured ratio and slack that is used, so that requests and retries that fall on
/// different sides of the end of a window on some node don't exceed the limit.
const SAFETY_FACTOR: f64 = 0.7;

#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Retries allowed per request.
    pub ratio: f64,
    pub window: Duration,
    /// Additional retries allowed in a window, for all nodes together.
    pub slack: f64,
}

impl Limit {
    /// Returns the number of retries that each of `nodes` nodes may make in a window for its requests.
    fn allowed(&self, requests: f64, nodes: usize) -> f64 {
        (requests * self.ratio + self.slack / nodes.max(1) as f64) * SAFETY_FACTOR
    }
}

#[derive(Debug, Default)]
struct History {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

fn expire(times: &mut VecDeque<Duration>, window: Duration, now: Duration) {
    while times.front().is_some_and(|&time| now.saturating_sub(time) > window) {
        times.pop_front();
    }
}

/// Recent requests and retries of each service on one node.
#[derive(Debug)]
pub struct Budget {
    limit: Limit,
    histories: HashMap<Arc<str>, History>,
}

impl Budget {
    pub fn new(limit: Limit) -> Budget {
        Budget { limit, histories: HashMap::new() }
    }

    pub fn record_request(&mut self, service: &Arc<str>, now: Duration) {
        let history = self.histories.entry(service.clone()).or_default();
        expire(&mut history.requests, self.limit.window, now);
        history.requests.push_back(now);
    }

    /// Counts a retry that is made regardless of the budget: the continuation of a moved stream.
    pub fn record_retry(&mut self, service: &Arc<str>, now: Duration) {
        self.histories.entry(service.clone()).or_default().retries.push_back(now);
    }

    /// Returns a retry to the budget that was counted last and not made.
    pub fn refund(&mut self, service: &str) {
        if let Some(history) = self.histories.get_mut(service) {
            history.retries.pop_back();
        }
    }

    /// Returns the number of retries that this node may make now for each service.
    pub fn remaining(&self, nodes: usize, now: Duration) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.histories.iter().map(move |(service, history)| {
            let recent = |times: &VecDeque<Duration>| {
                times.iter().filter(|&&time| now.saturating_sub(time) <= self.limit.window).count()
                    as f64
            };
            let allowed = self.limit.allowed(recent(&history.requests), nodes);
            (service, (allowed - recent(&history.retries)).max(0.0))
        })
    }

    /// Spends one retry of the budget; returns `false` if this node has used up its part.
    pub fn try_acquire(&mut self, service: &Arc<str>, nodes: usize, now: Duration) -> bool {
        let limit = self.limit;
        let history = self.histories.entry(service.clone()).or_default();
        expire(&mut history.requests, limit.window, now);
        expire(&mut history.retries, limit.window, now);
        let allowed = limit.allowed(history.requests.len() as f64, nodes);
        let is_allowed = (history.retries.len() as f64) < allowed;
        if is_allowed {
            history.retries.push_back(now);
        }
        is_allowed
    }
}
