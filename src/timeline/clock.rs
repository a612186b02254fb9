//! Hybrid logical clock: wall time that never goes back and respects the order of messages.

use serde::{Deserialize, Serialize};

/// Most that a received stamp may be ahead of the own wall clock, in milliseconds. Clocks of VMs
/// agree within a few milliseconds; a larger lead comes from a faulty clock, and following it would
/// falsify the stamps of every node.
pub const MAX_DRIFT_MS: u64 = 1_000;

/// Orders events of all nodes; an effect always has a higher stamp than its cause.
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

#[derive(Debug, Default, Clone)]
pub struct Clock {
    last: Stamp,
    refused: u64,
}

impl Clock {
    /// Gives the stamp of an event that happens now.
    pub fn tick(&mut self, now_ms: u64) -> Stamp {
        let wall = Stamp { wall_ms: now_ms, logical: 0 };
        self.last = wall.max(self.last.next());
        self.last
    }

    /// Merges the stamp of a received message, so that later events come after it.
    ///
    /// Gives `None` and leaves the clock as it is when the stamp is more than `MAX_DRIFT_MS` ahead.
    pub fn observe(&mut self, now_ms: u64, received: Stamp) -> Option<Stamp> {
        if received.wall_ms > now_ms.saturating_add(MAX_DRIFT_MS) {
            self.refused += 1;
            return None;
        }
        self.last = self.last.max(received);
        Some(self.tick(now_ms))
    }

    /// Gives the number of stamps that were too far ahead.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
