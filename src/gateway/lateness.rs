//! Capacity that follows the share of late answers.
//!
//! The load that decides: prompts with many tokens stall the streams that run on their endpoint. The tokens to
//! prefill ask for 24 of 64 endpoints then, and with these a third of the answers has a gap above the target of
//! its route or begins late; with 64 endpoints 8 in 100 are late. So the answers themselves are counted, on all
//! nodes, and the planned number of endpoints is raised while too many are late.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::demand::Demand;

/// Share of late answers that the plan allows: 5 in 100.
const MAX_LATE_SHARE: f64 = 0.05;
/// Time over which the share of late answers is measured.
const WINDOW: Duration = Duration::from_secs(5);
/// Smallest number of answers in the window that shows a share: one late answer is then the allowed share.
const MIN_ANSWERS: u64 = 20;
/// Largest factor on the number of endpoints that the tokens ask for.
const MAX_FACTOR: f64 = 2.0;
/// Bounds of one raise, relative to the plan. Two of the largest reach the largest factor.
const RAISE_STEP: (f64, f64) = (0.1, 0.5);
/// Raise for an excess as large as the allowed share.
const RAISE_PER_EXCESS: f64 = 0.1;
/// Part of the plan by which it is lowered, and the interval between two of these steps.
const LOWER_STEP: f64 = 0.1;
const LOWER_PERIOD: Duration = Duration::from_secs(10);
/// Part of the surplus over the demand that is removed at once, and the interval between two of these steps:
/// lateness shows in the window before the next one.
const REDUCTION_STEP: f64 = 0.2;
const REDUCTION_PERIOD: Duration = WINDOW;
/// Shortest time between two raises, also if endpoints start faster.
const MIN_RAISE_PERIOD: Duration = Duration::from_secs(2);
/// Part of an earlier late share below which the present one counts as lower.
const IMPROVEMENT: f64 = 0.9;
/// Multiple of an earlier late share above which the present one counts as another one.
const WORSENING: f64 = 1.5;

/// Totals of answers and of late answers at all nodes, by service.
#[derive(Debug, Default)]
pub struct Lateness {
    pub answers: Demand,
    pub late: Demand,
}

impl Lateness {
    pub fn record_answer(&mut self, service: &Arc<str>) {
        self.answers.record(service, 1);
    }

    pub fn record_late(&mut self, service: &Arc<str>) {
        self.late.record(service, 1);
    }
}

/// Times between the events of one caller's stream; it is counted as late once.
#[derive(Debug)]
pub struct Gaps {
    target: Option<Duration>,
    last_at: Duration,
    longest: Duration,
    is_late: bool,
}

impl Gaps {
    pub fn new(target: Option<Duration>, is_late: bool, now: Duration) -> Gaps {
        Gaps { target, last_at: now, longest: Duration::ZERO, is_late }
    }

    /// Records an event; returns whether the stream becomes late with it.
    pub fn record_event(&mut self, now: Duration) -> bool {
        let gap = now.saturating_sub(std::mem::replace(&mut self.last_at, now));
        self.longest = self.longest.max(gap);
        let becomes_late = !self.is_late && self.target.is_some_and(|target| gap > target);
        self.is_late |= becomes_late;
        becomes_late
    }

    /// Returns the longest gap.
    pub fn longest(&self) -> Duration {
        self.longest
    }
}

/// Change of a plan, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    pub factor: f64,
    pub late_share: f64,
}

/// Factor on the number of endpoints of a service, and the surplus that is removed in steps.
#[derive(Debug)]
pub struct Feedback {
    /// Time and totals of answers and late answers in the window.
    history: VecDeque<(Duration, u64, u64)>,
    factor: f64,
    /// Endpoints that are planned at least: those found at first, less what was removed since.
    floor: f64,
    reduced_at: Duration,
    raised_at: Option<Duration>,
    lowered_at: Duration,
    /// Late share that raises have to improve, and when it was measured.
    reference: Option<(f64, Duration)>,
}

impl Feedback {
    pub fn new(now: Duration) -> Feedback {
        Feedback {
            history: VecDeque::new(),
            factor: 1.0,
            floor: 0.0,
            reduced_at: now,
            raised_at: None,
            lowered_at: now,
            reference: None,
        }
    }

    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Keeps at least as many endpoints as have been found.
    pub fn raise_floor(&mut self, endpoints: f64, now: Duration) {
        self.floor = self.floor.max(endpoints);
        self.reduced_at = now;
    }

    /// Delays the next reduction, as lateness is not known yet.
    pub fn hold(&mut self, now: Duration) {
        self.reduced_at = now;
    }

    /// Returns the share of late answers in the window; 0 if it holds too few answers.
    fn late_share(&self) -> f64 {
        let (Some((_, answers, late)), Some(newest)) = (self.history.front(), self.history.back())
        else {
            return 0.0;
        };
        let (answers, late) = (newest.1.saturating_sub(*answers), newest.2.saturating_sub(*late));
        if answers < MIN_ANSWERS { 0.0 } else { (late as f64 / answers as f64).min(1.0) }
    }

    /// Records the totals of answers and late answers; returns the change of the factor, if any. `wanted` is the
    /// number of endpoints that the demand asks for.
    pub fn observe(
        &mut self,
        (answers, late): (u64, u64),
        wanted: f64,
        boot_time: Duration,
        now: Duration,
    ) -> Option<Change> {
        self.history.push_back((now, answers, late));
        // The newest entry that has left the window is where the window begins.
        while self.history.get(1).is_some_and(|(at, ..)| now.saturating_sub(*at) >= WINDOW) {
            self.history.pop_front();
        }
        let late_share = self.late_share();
        let before = self.factor;
        if late_share > MAX_LATE_SHARE {
            self.raise(late_share, wanted, boot_time.max(MIN_RAISE_PERIOD), now);
        } else {
            self.reference = None;
            if late_share < MAX_LATE_SHARE / 2.0 {
                self.lower(wanted, now);
            }
        }
        let is_changed = (self.factor - before).abs() > f64::EPSILON;
        is_changed.then_some(Change { factor: self.factor, late_share })
    }

    fn raise(&mut self, late_share: f64, wanted: f64, period: Duration, now: Duration) {
        self.lowered_at = now;
        let since = match self.reference {
            Some((share, since))
                if (share * IMPROVEMENT..=share * WORSENING).contains(&late_share) =>
            {
                since
            }
            _ => {
                self.reference = Some((late_share, now));
                now
            }
        };
        // The share lags by its window.
        if now.saturating_sub(since) > period * 2 + WINDOW {
            // Neither more nor fewer endpoints have changed the share: it has another cause.
            return self.reduce(wanted, now);
        }
        self.reduced_at = now;
        let planned = if wanted > 0.0 { self.factor.max(self.floor / wanted) } else { MAX_FACTOR };
        let is_due = self.raised_at.is_none_or(|raised| now.saturating_sub(raised) >= period);
        if is_due && planned < MAX_FACTOR {
            let excess = late_share / MAX_LATE_SHARE - 1.0;
            let step = (excess * RAISE_PER_EXCESS).clamp(RAISE_STEP.0, RAISE_STEP.1);
            self.factor = (planned * (1.0 + step)).min(MAX_FACTOR);
            self.raised_at = Some(now);
        }
    }

    fn lower(&mut self, wanted: f64, now: Duration) {
        if self.factor > 1.0 && now.saturating_sub(self.lowered_at) >= LOWER_PERIOD {
            self.lowered_at = now;
            self.factor = (self.factor * (1.0 - LOWER_STEP)).max(1.0);
        }
        self.reduce(wanted, now);
    }

    /// Removes a part of the endpoints that were found at first and that the demand doesn't ask for.
    fn reduce(&mut self, wanted: f64, now: Duration) {
        let surplus = self.floor - wanted * self.factor;
        if surplus > 0.0 && now.saturating_sub(self.reduced_at) >= REDUCTION_PERIOD {
            self.reduced_at = now;
            self.floor -= (surplus * REDUCTION_STEP).max(1.0);
        }
    }

    /// Returns the number of endpoints to plan where the demand asks for `wanted`.
    pub fn planned(&self, wanted: f64) -> f64 {
        (wanted * self.factor).max(self.floor)
    }
}
