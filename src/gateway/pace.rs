//! What the relay of a failure domain sends to the others, and when.

use std::time::Duration;

use crate::gateway::peers::DIGEST_INTERVAL;

/// Minimum interval between two messages with quota sums.
const QUOTA_INTERVAL: Duration = Duration::from_millis(25);

/// Message that a relay sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    Digest,
    /// The quota sums alone, between two digests.
    Quotas,
}

/// Decides which message is due. Nodes of the other failure domains learn from these alone what this one admits, so
/// quota sums follow soon when a quota is nearly exhausted, whichever node admits the requests.
#[derive(Debug, Default)]
pub struct Pace {
    digest_at: Option<Duration>,
    quotas_at: Option<Duration>,
    has_update: bool,
}

impl Pace {
    /// Records that this node or a direct peer has sent a quota update.
    pub fn record_update(&mut self) {
        self.has_update = true;
    }

    /// Forgets the quota updates, which only a relay passes on.
    pub fn forget_updates(&mut self) {
        self.has_update = false;
    }

    /// Reports whether the quota sums have changed since they were sent and a quota is nearly exhausted.
    pub fn has_update(&self) -> bool {
        self.has_update
    }

    pub fn due(&self, now: Duration) -> Option<Due> {
        let is_past = |sent_at: Option<Duration>, interval: Duration| {
            sent_at.is_none_or(|sent_at| now.saturating_sub(sent_at) >= interval)
        };
        if is_past(self.digest_at, DIGEST_INTERVAL) {
            return Some(Due::Digest);
        }
        let is_due = self.has_update && is_past(self.quotas_at, QUOTA_INTERVAL);
        is_due.then_some(Due::Quotas)
    }

    pub fn record_sent(&mut self, due: Due, now: Duration) {
        if due == Due::Digest {
            self.digest_at = Some(now);
        }
        (self.quotas_at, self.has_update) = (Some(now), false);
    }
}
