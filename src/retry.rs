//! Which requests may be sent again, and when.
//!
//! Only one layer retries, and only what provably did not run or is idempotent. The budget is a
//! fraction of the successes, so retries cannot amplify an overload. See `docs/design.md`, section
//! 9.2.

mod latency;

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::error::Run;

pub use latency::Latency;

/// Share of successes that may be spent on further attempts.
pub const RATIO: f64 = 0.1;

/// Limits further attempts on one node and service to a fraction of recent successes.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Attempts per second that are allowed without any success.
    floor: f64,
    /// Largest number of saved attempts.
    most: f64,
    tokens: f64,
    filled: Duration,
}

impl Budget {
    /// Starts full. `floor` is in attempts per second and `most` in attempts.
    pub fn new(now: Duration, floor: f64, most: f64) -> Budget {
        let most = most.max(1.0);
        Budget { floor: floor.max(0.0), most, tokens: most, filled: now }
    }

    /// Records a success of a first attempt.
    pub fn succeeded(&mut self) {
        self.tokens = (self.tokens + RATIO).min(self.most);
    }

    /// Takes one attempt out of the budget, if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + elapsed * self.floor).min(self.most);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Describes an attempt that failed.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Number of attempts made so far, at least 1.
    pub number: u32,
    pub run: Run,
    pub idempotent: bool,
    /// Time by which the caller needs the response.
    pub deadline: Duration,
    /// Shortest time that a further attempt is expected to take.
    pub expected: Duration,
}

/// Tells why a request is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// It may have run and is not idempotent.
    MayHaveRun,
    Attempts,
    Deadline,
    Budget,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request again after this time.
    Resend(Duration),
    Stop(Stop),
}

/// Sets how often and how fast requests are sent again.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Delay before the second attempt; it doubles with each further one.
    pub base: Duration,
    pub longest: Duration,
    pub attempts: u32,
    /// Quantile of latency after which an idempotent lookup is sent a second time.
    pub hedge_quantile: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            base: Duration::from_millis(25),
            longest: Duration::from_secs(1),
            attempts: 4,
            hedge_quantile: 0.95,
        }
    }
}

impl Policy {
    /// Decides whether a failed request is sent again; only a resend draws on the budget.
    pub fn decide(
        &self,
        now: Duration,
        attempt: Attempt,
        budget: &mut Budget,
        random: &mut StdRng,
    ) -> Decision {
        if attempt.run != Run::No && !attempt.idempotent {
            return Decision::Stop(Stop::MayHaveRun);
        }
        if attempt.number >= self.attempts {
            return Decision::Stop(Stop::Attempts);
        }
        let delay = self.delay(attempt.number, random);
        if now + delay + attempt.expected >= attempt.deadline {
            return Decision::Stop(Stop::Deadline);
        }
        if !budget.take(now) {
            return Decision::Stop(Stop::Budget);
        }
        Decision::Resend(delay)
    }

    /// Gives the delay after an attempt, between half of the exponential value and all of it.
    fn delay(&self, attempt: u32, random: &mut StdRng) -> Duration {
        let doublings = attempt.saturating_sub(1).min(16);
        let full = self.base.saturating_mul(1 << doublings).min(self.longest);
        full.mul_f64(random.random_range(0.5..=1.0))
    }

    /// Gives the time after its start at which an idempotent lookup may be hedged; none before
    /// enough latencies are known.
    pub fn hedge_after(&self, latency: &Latency, idempotent: bool) -> Option<Duration> {
        if !idempotent {
            return None;
        }
        latency.quantile(self.hedge_quantile)
    }

    /// Decides whether a lookup without a response is sent a second time now.
    pub fn hedge(
        &self,
        now: Duration,
        started: Duration,
        deadline: Duration,
        latency: &Latency,
        idempotent: bool,
        budget: &mut Budget,
    ) -> bool {
        let Some(after) = self.hedge_after(latency, idempotent) else { return false };
        // A second attempt usually takes the median; it must still fit within the deadline.
        let expected = latency.quantile(0.5).unwrap_or(after);
        now >= started + after && now + expected < deadline && budget.take(now)
    }
}
