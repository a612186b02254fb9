//! Hybrid logical clock: stamps close to wall time that never decrease and that follow the order in
//! which messages are sent and received.

use serde::{Deserialize, Serialize};

/// Maximum lead of a received stamp over the local wall clock, in milliseconds. The clocks of VMs
/// agree within a few milliseconds; a larger lead indicates a faulty clock, and adopting it would
/// corrupt the stamps of every node.
pub const MAX_DRIFT_MS: u64 = 1_000;

/// Orders the events of all nodes; an effect always has a higher stamp than its cause.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    pub logical: u32,
}

impl Stamp {
    fn next(self) -> Stamp {
        match self.logical.checked_add(1) {
            Some(logical) => Stamp { logical, ..self },
            None => Stamp { wall_ms: self.wall_ms.saturating_add(1), logical: 0 },
        }
    }
}

/// Generates strictly increasing stamps for one node.
#[derive(Debug, Default, Clone)]
pub struct Clock {
    last: Stamp,
    rejected: u64,
}

impl Clock {
    /// Returns the stamp of an event that happens at `now_ms`.
    pub fn tick(&mut self, now_ms: u64) -> Stamp {
        let wall = Stamp { wall_ms: now_ms, logical: 0 };
        self.last = wall.max(self.last.next());
        self.last
    }

    /// Merges the stamp of a received message, so that later local events have higher stamps, and
    /// returns the stamp of its receipt.
    ///
    /// Returns `None` and leaves the clock unchanged if the stamp is more than `MAX_DRIFT_MS` ahead
    /// of `now_ms`.
    pub fn observe(&mut self, now_ms: u64, received: Stamp) -> Option<Stamp> {
        if received.wall_ms > now_ms.saturating_add(MAX_DRIFT_MS) {
            self.rejected += 1;
            return None;
        }
        self.last = self.last.max(received);
        Some(self.tick(now_ms))
    }

    /// Returns the number of stamps rejected because they were too far ahead.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}
