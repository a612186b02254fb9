//! Prompt tokens that engines have to prefill for callers' requests, by service, summed over all nodes.
//!
//! The number of requests in flight doesn't measure demand, as it also grows when endpoints are slow.
//! The rate of arrival doesn't depend on the endpoints. Shared prompt parts are mostly cached, so they
//! cause little work: endpoints ordered for all prompt tokens would be idle most of the time.

use std::collections::HashMap;
use std::sync::Arc;

use crate::gateway::platform::Prompt;

/// Share of the tokens of shared prompt parts that are cached where the balancer sends the request.
const SHARED_CACHED_SHARE: f64 = 0.8;

/// Returns the expected number of tokens of a prompt that an engine has to prefill.
pub fn prefill_tokens(prompt: &Prompt) -> u32 {
    let cached = f64::from(prompt.shared_tokens()) * SHARED_CACHED_SHARE;
    prompt.prompt_tokens.saturating_sub(cached as u32)
}

/// Counters of prompt tokens to prefill, by service.
#[derive(Debug, Default)]
pub struct Demand {
    /// Tokens requested at this node.
    own: HashMap<Arc<str>, u64>,
    /// Number of requests at this node.
    own_requests: HashMap<Arc<str>, u64>,
    /// Total last reported by each peer for each service, preceded by the start of that peer.
    peers: HashMap<(Arc<str>, Arc<str>), (u64, u64)>,
    /// Sum of the increases of the peers' totals.
    from_peers: HashMap<Arc<str>, u64>,
    /// Total last reported for each other failure domain and service, preceded by the start of the node
    /// that reported it.
    domains: HashMap<(Arc<str>, Arc<str>), (u64, u64)>,
    /// Sum of the increases of the other failure domains' totals.
    from_domains: HashMap<Arc<str>, u64>,
}

impl Demand {
    /// Counts the prompt tokens of a request at this node.
    pub fn record(&mut self, service: &Arc<str>, tokens: u32) {
        *self.own.entry(service.clone()).or_default() += u64::from(tokens);
        *self.own_requests.entry(service.clone()).or_default() += 1;
    }

    /// Returns the mean tokens of a request at this node; 0 before the first one.
    pub fn mean_tokens(&self, service: &str) -> f64 {
        let count = |map: &HashMap<Arc<str>, u64>| map.get(service).copied().unwrap_or(0) as f64;
        count(&self.own) / count(&self.own_requests).max(1.0)
    }

    /// Records a peer's total since its start; only increases within one run of the peer are counted.
    pub fn record_peer(&mut self, peer: &Arc<str>, start: u64, service: &Arc<str>, total: u64) {
        let key = (peer.clone(), service.clone());
        if let Some((known_start, previous)) = self.peers.insert(key, (start, total))
            && known_start == start
        {
            *self.from_peers.entry(service.clone()).or_default() += total.saturating_sub(previous);
        }
    }

    /// Records the total of another failure domain, as the node that started at `start` reports it.
    pub fn record_domain(&mut self, domain: &Arc<str>, start: u64, service: &Arc<str>, total: u64) {
        let key = (domain.clone(), service.clone());
        if let Some((known_start, previous)) = self.domains.insert(key, (start, total))
            && known_start == start
        {
            *self.from_domains.entry(service.clone()).or_default() +=
                total.saturating_sub(previous);
        }
    }

    /// Returns the tokens requested at all nodes since this node started; never decreases.
    pub fn total(&self, service: &str) -> u64 {
        let count = |map: &HashMap<Arc<str>, u64>| map.get(service).copied().unwrap_or(0);
        count(&self.own) + count(&self.from_peers) + count(&self.from_domains)
    }

    /// Returns the tokens requested at this node and its direct peers since it started, by service.
    pub fn domain_totals(&self) -> Vec<(Arc<str>, u64)> {
        let mut totals = self.own.clone();
        for (service, total) in &self.from_peers {
            *totals.entry(service.clone()).or_default() += total;
        }
        totals.into_iter().collect()
    }

    /// Returns the tokens requested at this node, by service.
    pub fn own(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.own.iter().map(|(service, total)| (service, *total))
    }
}
