//! Steps of open moves, decided by the holder of the lease for duty `moves`.
//!
//! A move stays at the canary share for most of its time and raises the share late and fast. This
//! keeps a version that turns bad late, or only under load, to a small part of the requests of the
//! whole move, and gives the canary time to show faults that take a while. At 100 requests per
//! second and a deadline of 300 s, the canary and the middle steps account for half of the requests
//! that a bad version may get; the rest is 3 s at the last step, which reports, decision and
//! configuration need.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::resource;
use crate::rollout::evidence::{Evidence, Report, Reports, Route, Stratum};
use crate::rollout::verdict::{self, Regression, Symptom, Targets};
use crate::rollout::{BadVersion, BadVersions, Key};

/// First share of a move.
pub const CANARY_PERMILLE: u32 = 7;
/// Shares of a move in order; the move is complete after the last one.
///
/// The last step leaves two fifths of the requests on the old version: a comparison is only as
/// precise as the smaller of its two samples, and without old requests a fault of the whole service
/// could not be told from a fault of the new version.
pub const STEPS_PERMILLE: [u32; 4] = [CANARY_PERMILLE, 50, 250, 600];

/// Part of the requests of a whole move that a bad version may get, in permille.
const MAX_EXPOSURE_PERMILLE: f64 = 20.0;
/// Shortest time at a share: a configuration is in effect on all nodes within 2 s, and reports
/// arrive every second.
const MIN_STEP_MS: u64 = 2_500;
/// Longest time from the end of a step to the decision, which is made every second.
const MAX_DECISION_DELAY_MS: u64 = 1_000;
const STEPS_ABOVE_CANARY: u64 = STEPS_PERMILLE.len() as u64 - 1;
/// Requests to the new version that suffice for a step before the last, and for the last step.
const STEP_REQUESTS: f64 = 100.0;
const LAST_STEP_REQUESTS: f64 = 300.0;
/// Requests to the new version that are required even when the exposure limit is reached. The last
/// step requires more, also per route, because a bad version is not reverted once the move is
/// complete.
const MIN_STEP_REQUESTS: f64 = 20.0;
const MIN_LAST_STEP_REQUESTS: f64 = 100.0;
const MIN_LAST_STEP_ROUTE_REQUESTS: f64 = 40.0;
/// Strength and bad responses from which a share is not raised. With fewer bad responses the
/// strength must be higher: otherwise a single failure at low traffic would hold a good version
/// until its deadline.
const HOLD_STRENGTH: f64 = 2.5;
const HOLD_BAD_RESPONSES: f64 = 3.0;
const HOLD_STRENGTH_OF_FEW: f64 = 5.0;
const HOLD_FEW_BAD_RESPONSES: f64 = 2.0;
/// Strength and bad responses from which a version above the canary share is reverted without
/// conclusive evidence: each further second costs more requests than minutes at the canary share
/// did.
const REVERT_STRENGTH: f64 = 5.0;
const REVERT_BAD_RESPONSES: f64 = 5.0;
/// Failure rate of the old version from which the service counts as down.
const OUTAGE_FAILURE_RATE: f64 = 0.5;
/// Fraction of the requests below which a route needs no evidence of its own.
const SMALL_ROUTE_FRACTION: f64 = 0.05;

/// Names the next step of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    Hold,
    Raise { share_permille: u32 },
    Complete,
    Revert { reason: Arc<str> },
}

/// Holds the step decided for one open move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    pub id: resource::Id,
    pub key: Key,
    pub step: Step,
    /// Set when the new version was found bad, so that nodes stop using it without the platform.
    pub bad_version: Option<BadVersion>,
}

/// Sums the evidence of all nodes and decides steps; a new lease holder starts without evidence.
#[derive(Debug, Default)]
pub struct Controller {
    reports: BTreeMap<Key, Reports>,
}

impl Controller {
    /// Stores the report of a node and reports whether it was accepted; repeats and older reports
    /// are ignored.
    pub fn accept_report(&mut self, report: Report, now_ms: u64) -> bool {
        self.reports.entry(report.key.clone()).or_default().accept(report, now_ms)
    }

    /// Decides a step for each open move and drops the reports of all others.
    ///
    /// `now_ms` counts milliseconds from the Unix epoch.
    pub fn decide(
        &mut self,
        catalog: &resource::Catalog,
        bad_versions: &BadVersions,
        now_ms: u64,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut open_moves = Vec::new();
        for (id, resource) in &catalog.resources {
            let resource::Spec::Move(spec) = &resource.spec else { continue };
            let Some(progress) = &resource.status.progress else { continue };
            if progress.phase != resource::Phase::InProgress {
                continue;
            }
            let Some(service) = catalog.service(&spec.service) else { continue };
            let key = Key::new(id, spec, progress);
            let reports = self.reports.get(&key);
            let evidence = reports.map(Reports::sum).unwrap_or_default();
            let state =
                MoveState::new(spec, progress, &evidence, Targets::from_service(service), now_ms);
            let (mut step, bad_version) = match bad_versions.reason(&key) {
                Some(reason) => (Step::Revert { reason: reason.clone() }, None),
                None => state.decide(&key),
            };
            let has_quorum = reports.is_some_and(|reports| reports.has_quorum(now_ms));
            if !has_quorum && matches!(step, Step::Raise { .. } | Step::Complete) {
                step = Step::Hold;
            }
            open_moves.push(key.clone());
            decisions.push(Decision { id: id.clone(), key, step, bad_version });
        }
        self.reports.retain(|key, _| open_moves.contains(key));
        decisions
    }
}

/// Holds the progress and evidence of one move on which a decision depends.
struct MoveState<'a> {
    evidence: &'a Evidence,
    targets: Targets,
    share: u32,
    now_ms: u64,
    accepted_ms: u64,
    changed_ms: u64,
    deadline_ms: u64,
}

impl MoveState<'_> {
    fn new<'a>(
        spec: &resource::Move,
        progress: &resource::Progress,
        evidence: &'a Evidence,
        targets: Targets,
        now_ms: u64,
    ) -> MoveState<'a> {
        let within_ms = spec.within_s.saturating_mul(1_000);
        MoveState {
            evidence,
            targets,
            share: progress.share_permille,
            now_ms,
            accepted_ms: progress.accepted_ms,
            changed_ms: progress.changed_ms.max(progress.accepted_ms),
            deadline_ms: progress.accepted_ms.saturating_add(within_ms),
        }
    }

    fn decide(&self, key: &Key) -> (Step, Option<BadVersion>) {
        if let Some(regression) = verdict::find_regression(self.evidence, &self.targets)
            && (regression.is_conclusive()
                || (self.share > CANARY_PERMILLE && is_reason_to_revert(&regression)))
        {
            let reason: Arc<str> = format!("bad version: {regression}").into();
            let bad_version = BadVersion { key: key.clone(), reason: reason.clone() };
            return (Step::Revert { reason }, Some(bad_version));
        }
        (self.next_step(), None)
    }

    fn next_step(&self) -> Step {
        if self.now_ms >= self.deadline_ms {
            let share = f64::from(self.share) / 10.0;
            let reason = format!("the deadline passed at a share of {share}%");
            return Step::Revert { reason: reason.into() };
        }
        if self.share < CANARY_PERMILLE {
            return Step::Raise { share_permille: CANARY_PERMILLE };
        }
        if self.now_ms.saturating_sub(self.changed_ms) < MIN_STEP_MS {
            return Step::Hold;
        }
        let stratum = self.evidence.stratum(self.share);
        let regression =
            stratum.and_then(|stratum| verdict::find_in_stratum(stratum, &self.targets));
        let regressions = [regression, verdict::find_across_shares(self.evidence)];
        if let Some(regression) = regressions.into_iter().flatten().find(is_reason_to_hold) {
            return self.hold_or_revert(&regression);
        }
        let is_due = self.is_step_due();
        let is_down = stratum.is_some_and(is_outage);
        let is_ready = match self.share {
            CANARY_PERMILLE => is_due,
            _ => is_due || (!is_down && stratum.is_some_and(|it| self.has_enough_requests(it))),
        };
        match next_share(self.share) {
            _ if !is_ready => Step::Hold,
            Some(share_permille) => Step::Raise { share_permille },
            None => Step::Complete,
        }
    }

    /// Holds the share while more evidence can be collected, and reverts at the end of the
    /// schedule.
    fn hold_or_revert(&self, regression: &Regression) -> Step {
        if self.now_ms >= self.end_ms() {
            let reason =
                format!("evidence is still inconclusive at the end of the move: {regression}");
            return Step::Revert { reason: reason.into() };
        }
        Step::Hold
    }

    /// Reports whether the next step is due by the schedule, regardless of the number of requests.
    ///
    /// A service with too few requests for full evidence still completes its move on time unless
    /// there is evidence against the new version; with so few requests, a bad version does little
    /// damage.
    fn is_step_due(&self) -> bool {
        let end = self.end_ms();
        if self.share == CANARY_PERMILLE {
            return self.now_ms >= end.saturating_sub(self.ramp_ms());
        }
        let remaining = end.saturating_sub(self.changed_ms);
        let steps = 1 + STEPS_PERMILLE.iter().filter(|step| **step > self.share).count() as u64;
        self.now_ms >= self.changed_ms + remaining / steps
    }

    /// Returns the time by which the move should be complete, in milliseconds since the Unix epoch,
    /// so that the write is done before the deadline.
    fn end_ms(&self) -> u64 {
        let within = self.deadline_ms - self.accepted_ms;
        self.deadline_ms.saturating_sub((within / 50).max(2_000).min(within / 10))
    }

    /// Returns the time planned for the steps above the canary share, in milliseconds: 1.5 times
    /// what they need at the average request rate of the move so far, at least a tenth and at most
    /// half of the whole move, but not less than the shortest steps take.
    fn ramp_ms(&self) -> u64 {
        let within = (self.deadline_ms - self.accepted_ms) as f64;
        let elapsed = self.now_ms.saturating_sub(self.accepted_ms).max(1) as f64;
        let rate_per_ms = self.total_requests() / elapsed;
        let steps = STEPS_PERMILLE.iter().filter(|share| **share > CANARY_PERMILLE);
        let needed: f64 = steps
            .map(|share| {
                let rate = rate_per_ms * f64::from(*share) / 1_000.0;
                (self.needed_requests(*share) / rate.max(1e-9)).max(MIN_STEP_MS as f64)
            })
            .sum();
        let shortest = STEPS_ABOVE_CANARY * (MIN_STEP_MS + MAX_DECISION_DELAY_MS);
        let planned = (needed * 1.5).clamp(within * 0.1, within * 0.5);
        // In a short move even the shortest steps may take more than half of the time.
        planned.max((shortest as f64).min(within * 0.8)) as u64
    }

    fn total_requests(&self) -> f64 {
        (self.evidence.new_requests + self.evidence.old_requests) as f64
    }

    /// Returns the requests to the new version that a step needs, fewer near the exposure limit.
    fn needed_requests(&self, share: u32) -> f64 {
        let limit = self.total_requests() * MAX_EXPOSURE_PERMILLE / 1_000.0;
        let remaining = limit - self.evidence.new_requests as f64;
        let is_last = STEPS_PERMILLE.last().is_none_or(|last| share >= *last);
        let (min, max) = match is_last {
            true => (MIN_LAST_STEP_REQUESTS, LAST_STEP_REQUESTS),
            false => (MIN_STEP_REQUESTS, STEP_REQUESTS),
        };
        (remaining / 3.0).clamp(min, max)
    }

    /// Reports whether the new version has served enough requests, overall and on each larger
    /// route.
    fn has_enough_requests(&self, stratum: &Stratum) -> bool {
        let needed = self.needed_requests(self.share);
        let overall = stratum.overall();
        let total = f64::from(request_counts(&overall).0 + request_counts(&overall).1).max(1.0);
        let is_last = next_share(self.share).is_none();
        let min_on_route = if is_last { MIN_LAST_STEP_ROUTE_REQUESTS } else { 0.0 };
        let route_has_enough = |route: &Route| {
            let (new, old) = request_counts(route);
            let fraction = f64::from(new + old) / total;
            fraction < SMALL_ROUTE_FRACTION
                || f64::from(new) >= (needed * fraction / 2.0).max(min_on_route)
        };
        f64::from(request_counts(&overall).0) >= needed
            && stratum.routes.iter().all(route_has_enough)
    }
}

/// Returns the requests to the new and to the old version.
fn request_counts(route: &Route) -> (u32, u32) {
    (route.new.total.requests(), route.old.total.requests())
}

/// Returns the next higher share of a move, or `None` at the last one.
fn next_share(share: u32) -> Option<u32> {
    STEPS_PERMILLE.into_iter().find(|step| *step > share)
}

fn is_reason_to_hold(regression: &Regression) -> bool {
    reaches(regression, HOLD_BAD_RESPONSES, HOLD_STRENGTH)
        || reaches(regression, HOLD_FEW_BAD_RESPONSES, HOLD_STRENGTH_OF_FEW)
}

fn is_reason_to_revert(regression: &Regression) -> bool {
    reaches(regression, REVERT_BAD_RESPONSES, REVERT_STRENGTH)
}

/// Reports whether a regression has this strength and, for rates, this many bad responses.
fn reaches(regression: &Regression, bad_responses: f64, strength: f64) -> bool {
    let has_enough_responses = match regression.symptom {
        Symptom::Failing | Symptom::Late => regression.new.0 >= bad_responses,
        Symptom::SlowStart | Symptom::SlowTokens => true,
    };
    has_enough_responses && regression.strength >= strength
}

/// Reports whether the service fails on the old version, so that a comparison shows little.
fn is_outage(stratum: &Stratum) -> bool {
    let old = stratum.overall().old.current;
    old.requests() > 0 && f64::from(old.failed) / f64::from(old.requests()) >= OUTAGE_FAILURE_RATE
}
