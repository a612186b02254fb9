//! Prompt tokens that callers have asked for, by service, over all nodes.
//!
//! Requests under way are no measure of the demand: they grow when endpoints are slow. What arrives
//! does not depend on the endpoints.

use std::collections::HashMap;
use std::sync::Arc;

#[derive(Debug, Default)]
pub struct Demand {
    own: HashMap<Arc<str>, u64>,
    /// Totals as last told, by peer and service, each with the start of the peer.
    peers: HashMap<(Arc<str>, Arc<str>), (u64, u64)>,
    /// Tokens that the peers were seen to add.
    heard: HashMap<Arc<str>, u64>,
}

impl Demand {
    pub fn record(&mut self, service: &Arc<str>, tokens: u32) {
        *self.own.entry(service.clone()).or_default() += u64::from(tokens);
    }

    /// Takes a peer's total since its start; only what it adds counts.
    pub fn hear(&mut self, peer: &Arc<str>, start: u64, service: &Arc<str>, total: u64) {
        let key = (peer.clone(), service.clone());
        if let Some((known, before)) = self.peers.insert(key, (start, total))
            && known == start
        {
            *self.heard.entry(service.clone()).or_default() += total.saturating_sub(before);
        }
    }

    /// Gives the tokens asked for since this node started to listen; it only grows.
    pub fn total(&self, service: &str) -> u64 {
        let of = |map: &HashMap<Arc<str>, u64>| map.get(service).copied().unwrap_or(0);
        of(&self.own) + of(&self.heard)
    }

    pub fn own(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.own.iter().map(|(service, total)| (service, *total))
    }
}
