//! Queue of updates to be piggybacked on datagrams.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::RngExt;
use rand::rngs::SmallRng;

/// Transmission counts of the latest update about each node; one entry per node bounds the queue.
#[derive(Debug, Default)]
pub struct Queue {
    transmissions: BTreeMap<Arc<str>, u32>,
}

impl Queue {
    /// Queues an update about a node, as if it had been transmitted `transmissions` times before.
    pub fn push(&mut self, node: Arc<str>, transmissions: u32) {
        self.transmissions.insert(node, transmissions);
    }

    pub fn remove(&mut self, node: &str) {
        self.transmissions.remove(node);
    }

    /// Returns up to `count` nodes with the fewest transmissions, counts one more for each, and
    /// drops those that reach `transmit_limit`.
    ///
    /// Ties are broken at random; otherwise all nodes would gossip the same few updates first.
    pub fn take(&mut self, count: usize, transmit_limit: u32, rng: &mut SmallRng) -> Vec<Arc<str>> {
        if self.transmissions.is_empty() || count == 0 {
            return Vec::new();
        }
        let mut ranked: Vec<(u32, u32, &Arc<str>)> = self
            .transmissions
            .iter()
            .map(|(node, &transmissions)| (transmissions, rng.random(), node))
            .collect();
        if ranked.len() > count {
            ranked.select_nth_unstable(count - 1);
            ranked.truncate(count);
        }
        let taken: Vec<Arc<str>> = ranked.into_iter().map(|(_, _, node)| node.clone()).collect();
        for node in &taken {
            self.count_transmission(node, transmit_limit);
        }
        taken
    }

    /// Counts one transmission of the update about a node, by this node or by another.
    pub fn count_transmission(&mut self, node: &str, transmit_limit: u32) {
        let Some(transmissions) = self.transmissions.get_mut(node) else { return };
        *transmissions += 1;
        if *transmissions >= transmit_limit {
            self.transmissions.remove(node);
        }
    }
}
