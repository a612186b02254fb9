//! Number of requests of each tenant that started to run, by window of corrected wall-clock time.
//!
//! Every node counts its own requests and gossips the counts, so that they survive the loss of the
//! node and the holder of the lease can report those of all nodes.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Number of windows kept; older ones have been reported already.
const KEPT_WINDOWS: usize = 8;

type Counts = BTreeMap<Arc<str>, u64>;

/// Identifies one run of a node by its name and its start in milliseconds of Unix time, or the sum of a
/// failure domain by its name and `DOMAIN_START`.
pub type Source = (Arc<str>, u64);

/// Start of the sources that are sums of other failure domains.
pub const DOMAIN_START: u64 = 0;

#[derive(Debug, Default)]
pub struct Usage {
    own: BTreeMap<u64, Counts>,
    peers: BTreeMap<u64, HashMap<Source, Counts>>,
}

impl Usage {
    pub fn record(&mut self, window: u64, tenant: &Arc<str>) {
        *self.own.entry(window).or_default().entry(tenant.clone()).or_default() += 1;
        while self.own.len() > KEPT_WINDOWS {
            self.own.pop_first();
        }
    }

    /// Replaces the counts of a peer for a window by those that it has now gossiped.
    pub fn update_peer(&mut self, source: Source, window: u64, counts: Counts) {
        self.peers.entry(window).or_default().insert(source, counts);
        while self.peers.len() > KEPT_WINDOWS {
            self.peers.pop_first();
        }
    }

    /// Merges the sums of another failure domain for a window. Several nodes report them, and one that
    /// started lately knows less, so the largest count of each tenant stands.
    pub fn merge_domain(&mut self, domain: &Arc<str>, window: u64, counts: Counts) {
        let sources = self.peers.entry(window).or_default();
        let known = sources.entry((domain.clone(), DOMAIN_START)).or_default();
        for (tenant, count) in counts {
            let known = known.entry(tenant).or_default();
            *known = (*known).max(count);
        }
        while self.peers.len() > KEPT_WINDOWS {
            self.peers.pop_first();
        }
    }

    /// Drops restored sums of this node's own failure domain, whose other nodes report their counts.
    pub fn forget_domain(&mut self, domain: &Arc<str>) {
        for sources in self.peers.values_mut() {
            sources.remove(&(domain.clone(), DOMAIN_START));
        }
    }

    /// Returns the sums over this node and its direct peers for the newest windows.
    pub fn domain_sums(&self, newest: usize) -> Vec<(u64, Counts)> {
        let mut sums: BTreeMap<u64, Counts> = BTreeMap::new();
        let own = self.own.iter().rev().take(newest);
        let peers = self.peers.iter().rev().take(newest).flat_map(|(window, sources)| {
            let nodes = sources.iter().filter(|((_, start), _)| *start != DOMAIN_START);
            nodes.map(move |(_, counts)| (window, counts))
        });
        for (window, counts) in own.chain(peers) {
            let sum = sums.entry(*window).or_default();
            for (tenant, count) in counts {
                *sum.entry(tenant.clone()).or_default() += count;
            }
        }
        sums.into_iter().rev().take(newest).collect()
    }

    /// Adds counts read from the store, unless their source has already gossiped its counts.
    pub fn restore(&mut self, source: Source, window: u64, counts: Counts) {
        self.peers.entry(window).or_default().entry(source).or_insert(counts);
        while self.peers.len() > KEPT_WINDOWS {
            self.peers.pop_first();
        }
    }

    /// Returns the counts of all sources for the newest windows; `own` identifies this run.
    pub fn all_counts(&self, own: &Source, newest: usize) -> Vec<(Source, u64, Counts)> {
        let peers = self.peers.iter().rev().take(newest);
        let peers = peers.flat_map(|(window, sources)| {
            sources.iter().map(|(source, counts)| (source.clone(), *window, counts.clone()))
        });
        let own =
            self.own_counts(newest).map(|(window, counts)| (own.clone(), window, counts.clone()));
        own.chain(peers).collect()
    }

    /// Returns this node's own counts for the newest windows, to gossip them.
    pub fn own_counts(&self, newest: usize) -> impl Iterator<Item = (u64, &Counts)> {
        self.own.iter().rev().take(newest).map(|(window, counts)| (*window, counts))
    }

    /// Returns the sum over all nodes for a window, by tenant.
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
