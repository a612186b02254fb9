use std::time::Duration;

use super::{mix, unit_interval};

/// Ejection time after the first failure.
const MIN_EJECTION: Duration = Duration::from_millis(100);

/// Maximum ejection time, which bounds how late the recovery of an endpoint is detected.
const MAX_EJECTION: Duration = Duration::from_secs(10);

/// Time after which another probe may start although the previous one has no result.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// Describes whether requests may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Available,
    /// The ejection time has passed, so one request may probe the endpoint.
    Probe,
    Ejected,
}

/// Tracks consecutive failures of one endpoint.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Health {
    failures: u32,
    blocked_until: Duration,
    is_probing: bool,
}

impl Health {
    pub fn state(&self, now: Duration) -> State {
        match self.failures {
            0 => State::Available,
            _ if now >= self.blocked_until => State::Probe,
            _ => State::Ejected,
        }
    }

    /// Ejects the endpoint for a time that doubles per failure, with jitter derived from `seed`.
    ///
    /// Failures during an ejection are ignored: requests that were in flight together often fail
    /// together and count as one failure.
    pub fn record_failure(&mut self, now: Duration, seed: u64) {
        if self.failures > 0 && now < self.blocked_until && !self.is_probing {
            return;
        }
        self.is_probing = false;
        self.failures = (self.failures + 1).min(32);
        let backoff =
            MIN_EJECTION.saturating_mul(1 << (self.failures - 1).min(16)).min(MAX_EJECTION);
        let jitter = mix(seed, mix(u64::from(self.failures), now.as_nanos() as u64));
        self.blocked_until = now + backoff.mul_f64(0.5 + unit_interval(jitter) / 2.0);
    }

    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Marks a probe as in flight, which holds back other requests until it ends or times out.
    pub fn start_probe(&mut self, now: Duration) {
        self.blocked_until = now + PROBE_TIMEOUT;
        self.is_probing = true;
    }
}
