//! Updates that wait to be piggybacked on datagrams.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::RngExt;
use rand::rngs::SmallRng;

/// Counts how often the latest update about each node was sent; one entry per node bounds it.
#[derive(Debug, Default)]
pub struct Queue {
    sent: BTreeMap<Arc<str>, u32>,
}

impl Queue {
    /// Starts to spread an update about a node, as if it had been sent `sent` times before.
    pub fn push(&mut self, node: Arc<str>, sent: u32) {
        self.sent.insert(node, sent);
    }

    pub fn remove(&mut self, node: &str) {
        self.sent.remove(node);
    }

    /// Takes up to `count` nodes with the least sent updates and drops those sent `limit` times.
    ///
    /// Ties are broken at random; otherwise all nodes would spread the same few names first.
    pub fn take(&mut self, count: usize, limit: u32, rng: &mut SmallRng) -> Vec<Arc<str>> {
        if self.sent.is_empty() || count == 0 {
            return Vec::new();
        }
        let mut ranked: Vec<(u32, u32, &Arc<str>)> =
            self.sent.iter().map(|(node, &sent)| (sent, rng.random(), node)).collect();
        if ranked.len() > count {
            ranked.select_nth_unstable(count - 1);
            ranked.truncate(count);
        }
        let taken: Vec<Arc<str>> = ranked.into_iter().map(|(_, _, node)| node.clone()).collect();
        for node in &taken {
            self.hear(node, limit);
        }
        taken
    }

    /// Counts one transmission of the update about a node, by this node or by another.
    pub fn hear(&mut self, node: &str, limit: u32) {
        let Some(sent) = self.sent.get_mut(node) else { return };
        *sent += 1;
        if *sent >= limit {
            self.sent.remove(node);
        }
    }
}
