//! Decides which requests are retried, and when.
//!
//! Only one layer retries, and only requests that provably did not run or are idempotent. The retry
//! budget is a fraction of the successes, so that retries cannot amplify an overload. See
//! `docs/design.md`, section 9.2.

mod latency;

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::error::Run;

pub use latency::Latency;

/// Number of further attempts allowed per success.
pub const RETRY_RATIO: f64 = 0.1;

/// Limits the further attempts of one node for one service to a fraction of recent successes, with
/// a token bucket.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Tokens added per second regardless of successes.
    min_rate: f64,
    /// Maximum number of tokens.
    capacity: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl Budget {
    /// Creates a full budget; `min_rate` is in attempts per second and `capacity` in attempts.
    pub fn new(now: Duration, min_rate: f64, capacity: f64) -> Budget {
        let capacity = capacity.max(1.0);
        Budget { min_rate: min_rate.max(0.0), capacity, tokens: capacity, refilled_at: now }
    }

    /// Records that a first attempt succeeded.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(self.capacity);
    }

    /// Takes one attempt from the budget; returns `false` if it is exhausted.
    pub fn take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.min_rate).min(self.capacity);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Describes a failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Number of attempts made so far, including this one; at least 1.
    pub number: u32,
    pub run: Run,
    pub idempotent: bool,
    /// Time by which the response must be complete.
    pub deadline: Duration,
    /// Expected minimum duration of a further attempt.
    pub expected: Duration,
}

/// Lists the reasons for which a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The request may have run and is not idempotent.
    MayHaveRun,
    AttemptLimit,
    Deadline,
    BudgetExhausted,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Retry the request after this delay.
    Retry(Duration),
    Stop(Reason),
}

/// Configures retries and hedging.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Delay before the second attempt; it doubles with each further attempt.
    pub base_delay: Duration,
    pub max_delay: Duration,
    pub max_attempts: u32,
    /// Latency quantile after which an idempotent lookup is hedged, that is, sent a second time.
    pub hedge_quantile: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            base_delay: Duration::from_millis(25),
            max_delay: Duration::from_secs(1),
            max_attempts: 4,
            hedge_quantile: 0.95,
        }
    }
}

impl Policy {
    /// Decides whether a failed request is retried; only a retry draws on the budget.
    pub fn decide(
        &self,
        now: Duration,
        attempt: Attempt,
        budget: &mut Budget,
        random: &mut StdRng,
    ) -> Decision {
        if attempt.run != Run::No && !attempt.idempotent {
            return Decision::Stop(Reason::MayHaveRun);
        }
        if attempt.number >= self.max_attempts {
            return Decision::Stop(Reason::AttemptLimit);
        }
        let delay = self.backoff(attempt.number, random);
        if (now + delay).saturating_add(attempt.expected) >= attempt.deadline {
            return Decision::Stop(Reason::Deadline);
        }
        if !budget.take(now) {
            return Decision::Stop(Reason::BudgetExhausted);
        }
        Decision::Retry(delay)
    }

    /// Returns the backoff after an attempt: a random value between half and all of the exponential
    /// delay.
    fn backoff(&self, attempt: u32, random: &mut StdRng) -> Duration {
        let doublings = attempt.saturating_sub(1).min(16);
        let exponential = self.base_delay.saturating_mul(1 << doublings).min(self.max_delay);
        exponential.mul_f64(random.random_range(0.5..=1.0))
    }

    /// Returns the time after its start from which an idempotent lookup may be hedged; `None` until
    /// enough latencies are recorded.
    pub fn hedge_after(&self, latency: &Latency, idempotent: bool) -> Option<Duration> {
        if !idempotent {
            return None;
        }
        latency.quantile(self.hedge_quantile)
    }

    /// Decides whether a lookup without a response is hedged now, and draws on the budget if so.
    pub fn try_hedge(
        &self,
        now: Duration,
        started: Duration,
        deadline: Duration,
        latency: &Latency,
        idempotent: bool,
        budget: &mut Budget,
    ) -> bool {
        let Some(threshold) = self.hedge_after(latency, idempotent) else { return false };
        // The second attempt is expected to take the median latency and must meet the deadline.
        let expected = latency.quantile(0.5).unwrap_or(threshold);
        now >= started + threshold && now + expected < deadline && budget.take(now)
    }
}
