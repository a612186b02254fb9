//! Outcome of a replay, and the checks on it.

use std::collections::BTreeMap;
use std::time::Duration;

/// Counts what happened to the requests of a trace.
#[derive(Debug, Default, Clone)]
pub struct Report {
    pub requests: u64,
    /// Requests answered completely, whether in time or late.
    pub answered: u64,
    pub in_time: u64,
    /// Refusals before acceptance, by the name of the error kind.
    pub refused: BTreeMap<&'static str, u64>,
    pub failed: u64,
    /// Requests without any outcome at the end; always a fault of the decisions.
    pub lost: u64,
    /// Requests that are not idempotent and ran more than once.
    pub ran_twice: u64,
    /// Requests sent to an endpoint after it began to leave.
    pub sent_to_leaving: u64,
    /// Choices at which the load was above 1.25 times the mean, rounded up.
    pub above_bound: u64,
    pub attempts: u64,
    /// Attempts made for requests that arrived while the fault was active, and those requests.
    pub fault_attempts: u64,
    pub fault_requests: u64,
    pub prompt_tokens: u64,
    /// Prompt tokens that were computed because no cache held them.
    pub prefilled: u64,
    /// Computed prompt tokens that some endpoint had computed before.
    pub recomputed: u64,
    /// Requests and response tokens completed in time within the measured part of the trace.
    pub useful_requests: u64,
    pub useful_tokens: u64,
    pub measured: Duration,
    /// Times to first token, sorted.
    pub first_token: Vec<Duration>,
    /// Time until the last request ended.
    pub ended: Duration,
    /// Requests in time by workspace.
    pub by_workspace: BTreeMap<String, u64>,
}

impl Report {
    /// Gives a quantile (0 to 1) of the time to first token.
    pub fn first_token(&self, quantile: f64) -> Duration {
        let last = self.first_token.len().saturating_sub(1);
        let index = (last as f64 * quantile).round() as usize;
        self.first_token.get(index).copied().unwrap_or_default()
    }

    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Gives the attempts per request during the fault.
    pub fn amplification(&self) -> f64 {
        self.fault_attempts as f64 / self.fault_requests.max(1) as f64
    }
}

/// States the outcome that a replay must have.
#[derive(Debug, Default, Clone, Copy)]
pub struct Expected {
    pub least_in_time: Option<f64>,
    pub most_recomputed: Option<u64>,
    pub most_amplification: Option<f64>,
    pub most_first_token_p95: Option<Duration>,
}

/// Compares a report with the stated outcome; gives one message per violation. The rules that hold
/// for every replay are always checked.
pub fn check(report: &Report, expected: &Expected) -> Vec<String> {
    let mut violations = Vec::new();
    let mut require = |holds: bool, message: String| {
        if !holds {
            violations.push(message);
        }
    };
    let ended = report.answered + report.refusals() + report.failed;
    let Report { requests, lost, ran_twice, sent_to_leaving, above_bound, .. } = report;
    require(*lost == 0, format!("{lost} requests were lost"));
    require(ended + lost == *requests, format!("{ended} of {requests} requests ended"));
    require(*ran_twice == 0, format!("{ran_twice} non-idempotent requests ran twice"));
    let message = format!("{sent_to_leaving} requests went to a leaving endpoint");
    require(*sent_to_leaving == 0, message);
    require(*above_bound == 0, format!("{above_bound} choices were above the load bound"));
    if let Some(least) = expected.least_in_time {
        let part = report.in_time as f64 / (*requests).max(1) as f64;
        require(part >= least, format!("{part:.3} of requests in time, expected {least}"));
    }
    if let Some(most) = expected.most_recomputed {
        let recomputed = report.recomputed;
        require(recomputed <= most, format!("{recomputed} tokens recomputed, expected {most}"));
    }
    if let Some(most) = expected.most_amplification {
        let found = report.amplification();
        require(found <= most, format!("{found:.3} attempts per request, expected {most}"));
    }
    if let Some(most) = expected.most_first_token_p95 {
        let found = report.first_token(0.95);
        require(found <= most, format!("first token p95 {found:?}, expected {most:?}"));
    }
    violations
}
