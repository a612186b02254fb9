//! Time of the next digest that the relay of a failure domain sends to the others.

use std::time::Duration;

use crate::gateway::peers::DIGEST_INTERVAL;

/// Minimum interval between digests while a quota is nearly exhausted.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Decides when a digest is due: the nodes of the other failure domains learn from it alone what this one admits.
#[derive(Debug, Default)]
pub struct Pace {
    sent_at: Option<Duration>,
}

impl Pace {
    /// Reports whether a digest is due, earlier if it follows a quota update that the relay itself has sent.
    pub fn is_due(&self, follows_update: bool, now: Duration) -> bool {
        let interval = if follows_update { MIN_INTERVAL } else { DIGEST_INTERVAL };
        self.sent_at.is_none_or(|sent_at| now.saturating_sub(sent_at) >= interval)
    }

    pub fn record_digest(&mut self, now: Duration) {
        self.sent_at = Some(now);
    }
}
