use std::time::Duration;

use super::{mix, unit};

/// Time for which an endpoint is left out after its first failure.
const FIRST: Duration = Duration::from_millis(100);

/// Longest time for which an endpoint is left out; a recovered endpoint is noticed within it.
const LONGEST: Duration = Duration::from_secs(10);

/// Time after which a trial without a result no longer blocks the next one.
const TRIAL: Duration = Duration::from_secs(10);

/// Tells whether requests may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Usable,
    /// One request may try the endpoint again.
    Trial,
    LeftOut,
}

/// Tracks recent failures of one endpoint.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Health {
    failures: u32,
    until: Duration,
    trying: bool,
}

impl Health {
    pub fn state(&self, now: Duration) -> State {
        match self.failures {
            0 => State::Usable,
            _ if now >= self.until => State::Trial,
            _ => State::LeftOut,
        }
    }

    /// Leaves the endpoint out for a time that doubles per failure and differs between nodes.
    ///
    /// Requests that were in flight together fail together and count as one failure.
    pub fn failed(&mut self, now: Duration, seed: u64) {
        if self.failures > 0 && now < self.until && !self.trying {
            return;
        }
        self.trying = false;
        self.failures = (self.failures + 1).min(32);
        let doubled = FIRST.saturating_mul(1 << (self.failures - 1).min(16)).min(LONGEST);
        let word = mix(seed, mix(u64::from(self.failures), now.as_nanos() as u64));
        self.until = now + doubled.mul_f64(0.5 + unit(word) / 2.0);
    }

    pub fn succeeded(&mut self) {
        *self = Health::default();
    }

    /// Keeps further requests away while one tries the endpoint again.
    pub fn trial_started(&mut self, now: Duration) {
        self.until = now + TRIAL;
        self.trying = true;
    }
}
