//! Prompt tokens that callers have requested, by service, summed over all nodes.
//!
//! The number of requests in flight doesn't measure demand, as it also grows when endpoints are slow.
//! The rate of arrival doesn't depend on the endpoints.

use std::collections::HashMap;
use std::sync::Arc;

/// Counters of requested prompt tokens by service.
#[derive(Debug, Default)]
pub struct Demand {
    /// Tokens requested at this node.
    own: HashMap<Arc<str>, u64>,
    /// Total last reported by each peer for each service, preceded by the start of that peer.
    peers: HashMap<(Arc<str>, Arc<str>), (u64, u64)>,
    /// Sum of the increases of the peers' totals.
    from_peers: HashMap<Arc<str>, u64>,
}

impl Demand {
    /// Counts the prompt tokens of a request at this node.
    pub fn record(&mut self, service: &Arc<str>, tokens: u32) {
        *self.own.entry(service.clone()).or_default() += u64::from(tokens);
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

    /// Returns the tokens requested at all nodes since this node started; never decreases.
    pub fn total(&self, service: &str) -> u64 {
        let count = |map: &HashMap<Arc<str>, u64>| map.get(service).copied().unwrap_or(0);
        count(&self.own) + count(&self.from_peers)
    }

    /// Returns the tokens requested at this node, by service.
    pub fn own(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.own.iter().map(|(service, total)| (service, *total))
    }
}
