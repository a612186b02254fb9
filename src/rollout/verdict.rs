//! Comparison of the new version of a move with the old one.
//!
//! Only relative evidence counts: a service that fails on both versions, for instance because its
//! database is down, says nothing about the new version.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::resource;
use crate::rollout::evidence::{Evidence, Moments, Route, Stratum, Tally};

/// Failing or late responses below which a node does not mark a version (target of the design).
const MARK_RESPONSES: u32 = 20;
/// Strength from which a difference counts as proven; about 1 in 30,000 by chance per look.
const MARK_STRENGTH: f64 = 8.0;
/// Strength taken off differences in the recent windows: there are many of them during a move, and
/// each is another chance for a good version to look bad.
const RECENT_CHANCE: f64 = 2.0;
/// Strength taken off differences that are summed over the shares of a move.
const SHARES_CHANCE: f64 = 1.0;
/// Responses with latency needed before a mean latency is compared; the first requests after a
/// start are often slow on a good version too.
const SLOW_RESPONSES: u32 = 40;
/// Ratio of typical latencies up to which a new version is not called slow.
const SLOW_RATIO: f64 = 1.5;
/// Part of the latency target that a slowdown must exceed; smaller ones do not matter to callers.
const SLOW_TARGET_PART: f64 = 0.1;
/// Excess of the failure rate that is tolerated on a good version.
const FAILED_SLACK: f64 = 0.01;
/// Excess of the late rate that is tolerated on a good version.
const LATE_SLACK: f64 = 0.05;
/// Relative and absolute bounds of the tolerated excess over the old rate.
const RATE_FACTOR: f64 = 0.5;
const RATE_EXCESS: f64 = 0.1;

/// Holds the latency targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Targets {
    pub first_byte: Duration,
    pub token_gap: Duration,
}

impl Targets {
    pub fn of(service: &resource::Service) -> Targets {
        Targets {
            first_byte: Duration::from_millis(service.first_token_ms.into()),
            token_gap: Duration::from_millis(service.token_gap_ms.into()),
        }
    }
}

/// Tells in which way the new version is worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Symptom {
    Failing,
    /// Misses the latency target of the service more often.
    Late,
    /// Typical time to the first byte is longer.
    SlowStart,
    /// Typical time between tokens is longer.
    SlowTokens,
}

/// Describes the clearest difference between the versions.
#[derive(Debug, Clone, PartialEq)]
pub struct Signal {
    pub symptom: Symptom,
    pub route: Arc<str>,
    /// Log-likelihood ratio against "no worse than tolerated"; 2 is doubt, 8 is proof.
    pub strength: f64,
    /// Bad responses, responses; for slow versions, typical latency in milliseconds, responses.
    pub new: (f64, u32),
    pub old: (f64, u32),
}

impl Signal {
    /// Tells whether the difference suffices to stop using the version at once.
    pub fn is_proof(&self) -> bool {
        let enough = match self.symptom {
            Symptom::Failing | Symptom::Late => self.new.0 >= f64::from(MARK_RESPONSES),
            Symptom::SlowStart | Symptom::SlowTokens => self.new.1 >= SLOW_RESPONSES,
        };
        enough && self.strength >= MARK_STRENGTH
    }
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Signal { symptom, route, strength, new, old } = self;
        let (what, unit) = match symptom {
            Symptom::Failing => ("failing", "bad of"),
            Symptom::Late => ("missing the latency target", "late of"),
            Symptom::SlowStart => ("slow to the first byte", "ms typical over"),
            Symptom::SlowTokens => ("slow between tokens", "ms typical over"),
        };
        write!(
            f,
            "{what} on {route}: new {:.0} {unit} {}, old {:.0} {unit} {}, strength {strength:.1}",
            new.0, new.1, old.0, old.1
        )
    }
}

/// Gives the clearest sign that the new version is worse, over all shares, routes and ranges.
pub fn judge(evidence: &Evidence, targets: &Targets) -> Option<Signal> {
    let mut best = None;
    for stratum in &evidence.strata {
        offer(&mut best, judge_stratum(stratum, targets), 0.0);
    }
    offer(&mut best, judge_shares(evidence), 0.0);
    best
}

/// Gives the clearest sign that the new version was worse at all shares taken together.
///
/// A fault that is mild, or on a route with few requests, needs the evidence of the whole move.
pub fn judge_shares(evidence: &Evidence) -> Option<Signal> {
    let newest = evidence.strata.last()?;
    let chance = (newest.routes.len().max(1) as f64).ln() + SHARES_CHANCE;
    let mut best = None;
    for route in &newest.routes {
        let same = |stratum: &Stratum| {
            stratum.routes.iter().find(|known| known.name == route.name).cloned()
        };
        let routes: Vec<Route> = evidence.strata.iter().filter_map(same).collect();
        let windows: Vec<_> =
            routes.iter().map(|route| (&route.new.total, &route.old.total)).collect();
        for symptom in [Symptom::Failing, Symptom::Late] {
            offer(&mut best, rate_signal(symptom, route, &windows), chance);
        }
    }
    best
}

/// Gives the clearest sign that the new version was worse at one share.
pub fn judge_stratum(stratum: &Stratum, targets: &Targets) -> Option<Signal> {
    let mut best = None;
    // The more routes are compared, the more often one of them differs by chance.
    let chance = (stratum.routes.len().max(1) as f64).ln();
    for route in &stratum.routes {
        compare_route(route, targets, chance, &mut best);
    }
    if stratum.routes.len() > 1 {
        compare_route(&stratum.overall(), targets, 0.0, &mut best);
    }
    best
}

/// Compares both versions on one route; `chance` is taken off the strength of each difference.
fn compare_route(route: &Route, targets: &Targets, chance: f64, best: &mut Option<Signal>) {
    let ranges = [
        (&route.new.total, &route.old.total, chance),
        (&route.new.current, &route.old.current, chance + RECENT_CHANCE),
    ];
    for (new, old, chance) in ranges {
        for symptom in [Symptom::Failing, Symptom::Late] {
            offer(best, rate_signal(symptom, route, &[(new, old)]), chance);
        }
        offer(best, slow_signal(Symptom::SlowStart, route, new, old, targets), chance);
        offer(best, slow_signal(Symptom::SlowTokens, route, new, old, targets), chance);
    }
    let recent = [(&route.new.current, &route.old.current), (&route.new.older, &route.old.older)];
    for symptom in [Symptom::Failing, Symptom::Late] {
        offer(best, rate_signal(symptom, route, &recent), chance + RECENT_CHANCE);
    }
}

/// Keeps the stronger signal; proof comes before any strength without enough responses.
fn offer(best: &mut Option<Signal>, signal: Option<Signal>, chance: f64) {
    let Some(mut signal) = signal else { return };
    signal.strength -= chance;
    let rank = |signal: &Signal| (signal.is_proof(), signal.strength);
    if best.as_ref().is_none_or(|known| rank(&signal) > rank(known)) {
        *best = Some(signal);
    }
}

/// Compares rates window by window, so that conditions that change between windows cancel out.
fn rate_signal(symptom: Symptom, route: &Route, windows: &[(&Tally, &Tally)]) -> Option<Signal> {
    let count = |tally: &Tally| match symptom {
        Symptom::Failing => (tally.failed, tally.requests()),
        _ => (tally.late, tally.good),
    };
    let slack = if symptom == Symptom::Failing { FAILED_SLACK } else { LATE_SLACK };
    let (mut strength, mut new_sum, mut old_sum) = (0.0, (0, 0), (0, 0));
    for (new, old) in windows {
        let (new, old) = (count(new), count(old));
        strength += excess(new, old, slack);
        new_sum = (new_sum.0 + new.0, new_sum.1 + new.1);
        old_sum = (old_sum.0 + old.0, old_sum.1 + old.1);
    }
    (strength > 0.0).then(|| Signal {
        symptom,
        route: route.name.clone(),
        strength,
        new: (new_sum.0.into(), new_sum.1),
        old: (old_sum.0.into(), old_sum.1),
    })
}

fn slow_signal(
    symptom: Symptom,
    route: &Route,
    new: &Tally,
    old: &Tally,
    targets: &Targets,
) -> Option<Signal> {
    let (latency, target): (fn(&Tally) -> &Moments, Duration) = match symptom {
        Symptom::SlowTokens => (|tally| &tally.token_gap, targets.token_gap),
        _ => (|tally| &tally.first_byte, targets.first_byte),
    };
    let (new, old) = (latency(new), latency(old));
    if new.count.min(old.count) < SLOW_RESPONSES / 2 {
        return None;
    }
    let slowdown_ms = new.typical_ms() - old.typical_ms();
    if slowdown_ms < target.as_secs_f64() * 1_000.0 * SLOW_TARGET_PART {
        return None;
    }
    // The rounding of recorded logarithms bounds the variance from below.
    let variance = |moments: &Moments| (moments.variance_log() + 0.001) / f64::from(moments.count);
    let excess = new.mean_log() - old.mean_log() - SLOW_RATIO.ln();
    let deviations = excess / (variance(new) + variance(old)).sqrt();
    (deviations > 0.0).then(|| Signal {
        symptom,
        route: route.name.clone(),
        strength: deviations * deviations / 2.0,
        new: (new.typical_ms(), new.count),
        old: (old.typical_ms(), old.count),
    })
}

/// Gives the log-likelihood ratio of "the new rate exceeds what the old rate tolerates".
///
/// The unknown old rate is chosen in favour of the new version, so few responses of the old
/// version give little strength.
fn excess(new: (u32, u32), old: (u32, u32), slack: f64) -> f64 {
    let rate = |(bad, all): (u32, u32)| f64::from(bad) / f64::from(all.max(1));
    let (new_rate, old_rate) = (rate(new), rate(old));
    let tolerated = |old_rate: f64| old_rate + (old_rate * RATE_FACTOR).min(RATE_EXCESS) + slack;
    if new_rate <= tolerated(old_rate) {
        return 0.0;
    }
    let cost = |assumed: f64| {
        let limit = tolerated(assumed);
        let of_new = if limit >= new_rate { 0.0 } else { divergence(new_rate, limit) };
        of_new * f64::from(new.1) + divergence(old_rate, assumed) * f64::from(old.1)
    };
    // The cost is convex in the assumed rate, so a ternary search finds its minimum.
    let (mut low, mut high) = (old_rate, new_rate);
    for _ in 0..40 {
        let third = (high - low) / 3.0;
        if cost(low + third) < cost(high - third) {
            high -= third;
        } else {
            low += third;
        }
    }
    cost((low + high) / 2.0)
}

/// Kullback-Leibler divergence between two rates.
fn divergence(seen: f64, assumed: f64) -> f64 {
    let assumed = assumed.clamp(1e-12, 1.0 - 1e-12);
    let part =
        |seen: f64, assumed: f64| if seen > 0.0 { seen * (seen / assumed).ln() } else { 0.0 };
    part(seen, assumed) + part(1.0 - seen, 1.0 - assumed)
}
