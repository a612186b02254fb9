//! Comparison of the new version of a move with the old one.
//!
//! Only differences between the versions count: a service that fails on both versions, for instance
//! because its database is down, gives no evidence against the new version.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::resource;
use crate::rollout::evidence::{Evidence, Moments, Route, Stratum, Tally};

/// Failing or late responses below which a node does not mark a version bad (a design target).
const MIN_BAD_RESPONSES: u32 = 20;
/// Strength from which a difference is conclusive; random variation reaches it in about 1 of 30,000
/// comparisons.
const CONCLUSIVE_STRENGTH: f64 = 8.0;
/// Strength subtracted from differences in the recent windows: a move has many of them, and each is
/// another chance for a good version to look bad.
const RECENT_WINDOW_PENALTY: f64 = 2.0;
/// Strength subtracted from differences that are summed over the shares of a move.
const ALL_SHARES_PENALTY: f64 = 1.0;
/// Responses needed from the new version for a conclusive latency difference; half as many from
/// each version suffice for an inconclusive one. The first requests after a start are often slow on
/// a good version too.
const MIN_LATENCY_RESPONSES: u32 = 40;
/// Ratio of geometric mean latencies up to which a new version does not count as slow.
const MAX_SLOWDOWN_RATIO: f64 = 1.5;
/// Fraction of the latency target that a slowdown must reach; a smaller one does not matter to
/// callers.
const MIN_SLOWDOWN_OF_TARGET: f64 = 0.1;
/// Absolute increase of the failure rate that is tolerated on a good version.
const FAILURE_RATE_MARGIN: f64 = 0.01;
/// Absolute increase of the late rate that is tolerated on a good version.
const LATE_RATE_MARGIN: f64 = 0.05;
/// Tolerated increase relative to the old rate, and its upper bound; the absolute margin is added
/// to it.
const RELATIVE_MARGIN: f64 = 0.5;
const MAX_RELATIVE_MARGIN: f64 = 0.1;

/// Holds the latency targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Targets {
    pub first_byte: Duration,
    pub token_gap: Duration,
}

impl Targets {
    pub fn from_service(service: &resource::Service) -> Targets {
        Targets {
            first_byte: Duration::from_millis(service.first_token_ms.into()),
            token_gap: Duration::from_millis(service.token_gap_ms.into()),
        }
    }
}

/// Names the way in which the new version is worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Symptom {
    /// A larger part of the requests fails.
    Failing,
    /// A larger part of the good responses misses a latency target of the service.
    Late,
    /// The geometric mean time to the first byte is longer.
    SlowStart,
    /// The geometric mean time between tokens is longer.
    SlowTokens,
}

/// Describes a difference in which the new version is worse.
#[derive(Debug, Clone, PartialEq)]
pub struct Regression {
    pub symptom: Symptom,
    pub route: Arc<str>,
    /// Log-likelihood ratio against "no worse than tolerated", less the penalties for multiple
    /// comparisons; 2 is weak evidence, 8 is conclusive.
    pub strength: f64,
    /// Bad responses and all responses of the new version; for a slow version, its geometric mean
    /// latency in milliseconds and its responses.
    pub new: (f64, u32),
    /// The two values of `new` for the old version.
    pub old: (f64, u32),
}

impl Regression {
    /// Reports whether the difference suffices to mark the version bad and stop using it at once.
    pub fn is_conclusive(&self) -> bool {
        let has_enough_responses = match self.symptom {
            Symptom::Failing | Symptom::Late => self.new.0 >= f64::from(MIN_BAD_RESPONSES),
            Symptom::SlowStart | Symptom::SlowTokens => self.new.1 >= MIN_LATENCY_RESPONSES,
        };
        has_enough_responses && self.strength >= CONCLUSIVE_STRENGTH
    }
}

impl fmt::Display for Regression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Regression { symptom, route, strength, new, old } = self;
        let (problem, unit) = match symptom {
            Symptom::Failing => ("failing", "bad of"),
            Symptom::Late => ("missing the latency target", "late of"),
            Symptom::SlowStart => ("slow to the first byte", "ms mean over"),
            Symptom::SlowTokens => ("slow between tokens", "ms mean over"),
        };
        write!(
            f,
            "{problem} on {route}: new {:.0} {unit} {}, old {:.0} {unit} {}, strength {strength:.1}",
            new.0, new.1, old.0, old.1
        )
    }
}

/// Returns the strongest difference in which the new version is worse, over all shares, routes and
/// windows.
pub fn find_regression(evidence: &Evidence, targets: &Targets) -> Option<Regression> {
    let mut best = None;
    for stratum in &evidence.strata {
        keep_strongest(&mut best, find_in_stratum(stratum, targets), 0.0);
    }
    keep_strongest(&mut best, find_across_shares(evidence), 0.0);
    best
}

/// Returns the strongest difference in failure or late rates, summed over all shares of the move.
///
/// A mild fault, or one on a route with few requests, needs the evidence of the whole move.
pub fn find_across_shares(evidence: &Evidence) -> Option<Regression> {
    let newest = evidence.strata.last()?;
    let penalty = (newest.routes.len().max(1) as f64).ln() + ALL_SHARES_PENALTY;
    let mut best = None;
    for route in &newest.routes {
        let same_route = |stratum: &Stratum| {
            stratum.routes.iter().find(|known| known.name == route.name).cloned()
        };
        let routes: Vec<Route> = evidence.strata.iter().filter_map(same_route).collect();
        let windows: Vec<_> =
            routes.iter().map(|route| (&route.new.total, &route.old.total)).collect();
        for symptom in [Symptom::Failing, Symptom::Late] {
            keep_strongest(&mut best, rate_regression(symptom, route, &windows), penalty);
        }
    }
    best
}

/// Returns the strongest difference in which the new version was worse at one share.
pub fn find_in_stratum(stratum: &Stratum, targets: &Targets) -> Option<Regression> {
    let mut best = None;
    // The more routes are compared, the more often one of them differs by chance.
    let penalty = (stratum.routes.len().max(1) as f64).ln();
    for route in &stratum.routes {
        compare_route(route, targets, penalty, &mut best);
    }
    if stratum.routes.len() > 1 {
        compare_route(&stratum.overall(), targets, 0.0, &mut best);
    }
    best
}

/// Compares both versions on one route; `penalty` is subtracted from each strength.
fn compare_route(route: &Route, targets: &Targets, penalty: f64, best: &mut Option<Regression>) {
    let windows = [
        (&route.new.total, &route.old.total, penalty),
        (&route.new.current, &route.old.current, penalty + RECENT_WINDOW_PENALTY),
    ];
    for (new, old, penalty) in windows {
        for symptom in [Symptom::Failing, Symptom::Late] {
            keep_strongest(best, rate_regression(symptom, route, &[(new, old)]), penalty);
        }
        keep_strongest(
            best,
            latency_regression(Symptom::SlowStart, route, new, old, targets),
            penalty,
        );
        keep_strongest(
            best,
            latency_regression(Symptom::SlowTokens, route, new, old, targets),
            penalty,
        );
    }
    let recent =
        [(&route.new.current, &route.old.current), (&route.new.previous, &route.old.previous)];
    for symptom in [Symptom::Failing, Symptom::Late] {
        keep_strongest(
            best,
            rate_regression(symptom, route, &recent),
            penalty + RECENT_WINDOW_PENALTY,
        );
    }
}

/// Keeps the stronger difference after subtracting `penalty`; a conclusive one precedes any that is
/// stronger but inconclusive.
fn keep_strongest(best: &mut Option<Regression>, regression: Option<Regression>, penalty: f64) {
    let Some(mut regression) = regression else { return };
    regression.strength -= penalty;
    let rank = |regression: &Regression| (regression.is_conclusive(), regression.strength);
    if best.as_ref().is_none_or(|known| rank(&regression) > rank(known)) {
        *best = Some(regression);
    }
}

/// Compares rates window by window, so that conditions that differ between windows cancel out.
fn rate_regression(
    symptom: Symptom,
    route: &Route,
    windows: &[(&Tally, &Tally)],
) -> Option<Regression> {
    let counts = |tally: &Tally| match symptom {
        Symptom::Failing => (tally.failed, tally.requests()),
        _ => (tally.late, tally.good),
    };
    let margin = if symptom == Symptom::Failing { FAILURE_RATE_MARGIN } else { LATE_RATE_MARGIN };
    let (mut strength, mut new_sum, mut old_sum) = (0.0, (0, 0), (0, 0));
    for (new, old) in windows {
        let (new, old) = (counts(new), counts(old));
        strength += excess_strength(new, old, margin);
        new_sum = (new_sum.0 + new.0, new_sum.1 + new.1);
        old_sum = (old_sum.0 + old.0, old_sum.1 + old.1);
    }
    (strength > 0.0).then(|| Regression {
        symptom,
        route: route.name.clone(),
        strength,
        new: (new_sum.0.into(), new_sum.1),
        old: (old_sum.0.into(), old_sum.1),
    })
}

fn latency_regression(
    symptom: Symptom,
    route: &Route,
    new: &Tally,
    old: &Tally,
    targets: &Targets,
) -> Option<Regression> {
    let (latency, target): (fn(&Tally) -> &Moments, Duration) = match symptom {
        Symptom::SlowTokens => (|tally| &tally.token_gap, targets.token_gap),
        _ => (|tally| &tally.first_byte, targets.first_byte),
    };
    let (new, old) = (latency(new), latency(old));
    if new.count.min(old.count) < MIN_LATENCY_RESPONSES / 2 {
        return None;
    }
    let slowdown_ms = new.geometric_mean_ms() - old.geometric_mean_ms();
    if slowdown_ms < target.as_secs_f64() * 1_000.0 * MIN_SLOWDOWN_OF_TARGET {
        return None;
    }
    // The rounding of the stored logarithms sets a lower bound on the variance.
    let variance = |moments: &Moments| (moments.variance_log() + 0.001) / f64::from(moments.count);
    let excess = new.mean_log() - old.mean_log() - MAX_SLOWDOWN_RATIO.ln();
    let deviations = excess / (variance(new) + variance(old)).sqrt();
    (deviations > 0.0).then(|| Regression {
        symptom,
        route: route.name.clone(),
        strength: deviations * deviations / 2.0,
        new: (new.geometric_mean_ms(), new.count),
        old: (old.geometric_mean_ms(), old.count),
    })
}

/// Returns the log-likelihood ratio for a new rate above the rate tolerated for the old one, or
/// zero if it is not above.
///
/// The true old rate is unknown and assumed as favourable to the new version as the counts allow,
/// so few responses of the old version give little strength.
fn excess_strength(new: (u32, u32), old: (u32, u32), margin: f64) -> f64 {
    let rate = |(bad, total): (u32, u32)| f64::from(bad) / f64::from(total.max(1));
    let (new_rate, old_rate) = (rate(new), rate(old));
    let tolerated = |base: f64| base + (base * RELATIVE_MARGIN).min(MAX_RELATIVE_MARGIN) + margin;
    if new_rate <= tolerated(old_rate) {
        return 0.0;
    }
    let divergence_at = |assumed: f64| {
        let limit = tolerated(assumed);
        let new_divergence = if limit >= new_rate { 0.0 } else { kl_divergence(new_rate, limit) };
        new_divergence * f64::from(new.1) + kl_divergence(old_rate, assumed) * f64::from(old.1)
    };
    // The divergence is convex in the assumed rate, so a ternary search finds its minimum.
    let (mut low, mut high) = (old_rate, new_rate);
    for _ in 0..40 {
        let third = (high - low) / 3.0;
        if divergence_at(low + third) < divergence_at(high - third) {
            high -= third;
        } else {
            low += third;
        }
    }
    divergence_at((low + high) / 2.0)
}

/// Returns the Kullback-Leibler divergence of an assumed rate from an observed one.
fn kl_divergence(observed: f64, assumed: f64) -> f64 {
    let assumed = assumed.clamp(1e-12, 1.0 - 1e-12);
    let term =
        |rate: f64, assumed: f64| if rate > 0.0 { rate * (rate / assumed).ln() } else { 0.0 };
    term(observed, assumed) + term(1.0 - observed, 1.0 - assumed)
}
