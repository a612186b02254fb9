//! Requests of each tenant that began to run, by window of true time.
//!
//! Every node counts its own requests and tells its peers, so that the counts survive the node and
//! the holder of the duty can report all of them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Windows kept; older ones have long been reported.
const WINDOWS: usize = 8;

type Counts = BTreeMap<Arc<str>, u64>;

/// Identifies one run of one node.
pub type Source = (Arc<str>, u64);

#[derive(Debug, Default)]
pub struct Usage {
    own: BTreeMap<u64, Counts>,
    peers: BTreeMap<u64, HashMap<Source, Counts>>,
}

impl Usage {
    pub fn record(&mut self, window: u64, tenant: &Arc<str>) {
        *self.own.entry(window).or_default().entry(tenant.clone()).or_default() += 1;
        while self.own.len() > WINDOWS {
            self.own.pop_first();
        }
    }

    /// Takes the counts that a peer has told for a window; they replace what it told before.
    pub fn hear(&mut self, source: Source, window: u64, counts: Counts) {
        self.peers.entry(window).or_default().insert(source, counts);
        while self.peers.len() > WINDOWS {
            self.peers.pop_first();
        }
    }

    /// Takes counts that the store has kept, unless their source has told newer ones itself.
    pub fn recall(&mut self, source: Source, window: u64, counts: Counts) {
        self.peers.entry(window).or_default().entry(source).or_insert(counts);
        while self.peers.len() > WINDOWS {
            self.peers.pop_first();
        }
    }

    /// Gives the counts of all sources in the newest windows.
    pub fn all(&self, own: &Source, newest: usize) -> Vec<(Source, u64, Counts)> {
        let peers = self.peers.iter().rev().take(newest);
        let peers = peers.flat_map(|(window, sources)| {
            sources.iter().map(|(source, counts)| (source.clone(), *window, counts.clone()))
        });
        let own = self.own(newest).map(|(window, counts)| (own.clone(), window, counts.clone()));
        own.chain(peers).collect()
    }

    /// Gives this node's own counts of the newest windows, for its peers.
    pub fn own(&self, newest: usize) -> impl Iterator<Item = (u64, &Counts)> {
        self.own.iter().rev().take(newest).map(|(window, counts)| (*window, counts))
    }

    /// Sums the counts of all nodes for a window.
    pub fn total(&self, window: u64) -> Vec<(Arc<str>, u64)> {
        let mut total = self.own.get(&window).cloned().unwrap_or_default();
        for counts in self.peers.get(&window).into_iter().flat_map(HashMap::values) {
            for (tenant, count) in counts {
                *total.entry(tenant.clone()).or_default() += count;
            }
        }
        total.into_iter().collect()
    }
}
