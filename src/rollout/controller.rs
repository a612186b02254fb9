//! Steps of open moves, decided by the holder of the lease for duty `moves`.
//!
//! A move stays at the canary share for most of its time and rises late and fast. That keeps the
//! requests of a version that turns bad late, or only under load, a small part of the whole move,
//! and lets the canary see faults that need time. With 100 requests per second and 300 s the canary
//! and the middle steps take half of the requests that a bad version may get; the rest is 3 s at the
//! last step, which is what reports, decision and configuration need.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::resource;
use crate::rollout::evidence::{Evidence, Report, Reports, Route, Stratum};
use crate::rollout::verdict::{self, Signal, Symptom, Targets};
use crate::rollout::{Key, Mark, Marks};

/// First share of a move.
pub const CANARY_PERMILLE: u32 = 7;
/// Shares of a move; it closes after the last one.
///
/// The last step leaves two fifths of the requests on the old version: a comparison is only as clear
/// as its smaller side, and without it a fault of the whole service could not be told from a fault
/// of the new version.
pub const STEPS_PERMILLE: [u32; 4] = [CANARY_PERMILLE, 50, 250, 600];

/// Part of the requests of a whole move that a bad version may get, in permille.
const EXPOSURE_PERMILLE: f64 = 20.0;
/// Shortest time at a share: a configuration is in effect on all nodes within 2 s, and reports
/// arrive every second.
const STEP_MS: u64 = 2_500;
/// Longest time from the end of a step to the decision, which is made every second.
const DECISION_MS: u64 = 1_000;
/// Steps above the canary share.
const LATER_STEPS: u64 = STEPS_PERMILLE.len() as u64 - 1;
/// Requests to the new version that fully confirm a step, and the last step.
const STEP_REQUESTS: f64 = 100.0;
const LAST_STEP_REQUESTS: f64 = 300.0;
/// Requests to the new version asked for even when the exposure bound is used up; more before
/// the move closes, because afterwards nothing takes a bad version back.
const LEAST_REQUESTS: f64 = 20.0;
const LEAST_LAST_REQUESTS: f64 = 100.0;
const LEAST_ROUTE_REQUESTS: f64 = 40.0;
/// Strength from which a share is not raised, with few and with fewest bad responses: a single
/// failure at low traffic would otherwise hold a good version until its deadline.
const DOUBT: f64 = 2.5;
const DOUBT_RESPONSES: f64 = 3.0;
const DOUBT_OF_FEW: f64 = 5.0;
const DOUBT_OF_FEW_RESPONSES: f64 = 2.0;
/// Strength from which a version above the canary share is taken back without full proof: each
/// further second costs more requests than the canary did in minutes.
const STRONG_DOUBT: f64 = 5.0;
const STRONG_DOUBT_RESPONSES: f64 = 5.0;
/// Failure rate of the old version from which the service counts as down.
const OUTAGE_RATE: f64 = 0.5;
/// Part of the traffic below which a route needs no evidence of its own.
const SMALL_ROUTE: f64 = 0.05;

/// Tells what happens to a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    Hold,
    Raise { share_permille: u32 },
    Close,
    Revert { reason: Arc<str> },
}

/// Holds the step of one open move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    pub id: resource::Id,
    pub key: Key,
    pub step: Step,
    /// Set when the version was found bad, so that nodes stop using it without the platform.
    pub mark: Option<Mark>,
}

/// Sums the evidence of all nodes and decides steps; a new lease holder starts with an empty one.
#[derive(Debug, Default)]
pub struct Controller {
    reports: BTreeMap<Key, Reports>,
}

impl Controller {
    /// Takes the report of a node; repeats and older reports change nothing.
    pub fn report(&mut self, report: Report, now_ms: u64) -> bool {
        self.reports.entry(report.key.clone()).or_default().accept(report, now_ms)
    }

    /// Decides a step for each open move; `now_ms` counts from the Unix epoch.
    ///
    /// Reports of moves that are no longer open are dropped.
    pub fn decide(
        &mut self,
        catalog: &resource::Catalog,
        marks: &Marks,
        now_ms: u64,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut open = Vec::new();
        for (id, resource) in &catalog.resources {
            let resource::Spec::Move(spec) = &resource.spec else { continue };
            let Some(progress) = &resource.status.progress else { continue };
            if progress.phase != resource::Phase::InProgress {
                continue;
            }
            let Some(service) = catalog.service(&spec.service) else { continue };
            let key = Key::of(id, spec, progress);
            let reports = self.reports.get(&key);
            let evidence = reports.map(Reports::sum).unwrap_or_default();
            let view = View::new(spec, progress, &evidence, Targets::of(service), now_ms);
            let (mut step, mark) = match marks.reason(&key) {
                Some(reason) => (Step::Revert { reason: reason.clone() }, None),
                None => view.step(&key),
            };
            let current = reports.is_some_and(|reports| reports.is_current(now_ms));
            if !current && matches!(step, Step::Raise { .. } | Step::Close) {
                step = Step::Hold;
            }
            open.push(key.clone());
            decisions.push(Decision { id: id.clone(), key, step, mark });
        }
        self.reports.retain(|key, _| open.contains(key));
        decisions
    }
}

/// Holds what a decision about one move depends on.
struct View<'a> {
    evidence: &'a Evidence,
    targets: Targets,
    share: u32,
    now_ms: u64,
    accepted_ms: u64,
    changed_ms: u64,
    deadline_ms: u64,
}

impl View<'_> {
    fn new<'a>(
        spec: &resource::Move,
        progress: &resource::Progress,
        evidence: &'a Evidence,
        targets: Targets,
        now_ms: u64,
    ) -> View<'a> {
        let within_ms = spec.within_s.saturating_mul(1_000);
        View {
            evidence,
            targets,
            share: progress.share_permille,
            now_ms,
            accepted_ms: progress.accepted_ms,
            changed_ms: progress.changed_ms.max(progress.accepted_ms),
            deadline_ms: progress.accepted_ms.saturating_add(within_ms),
        }
    }

    fn step(&self, key: &Key) -> (Step, Option<Mark>) {
        if let Some(signal) = verdict::judge(self.evidence, &self.targets)
            && (signal.is_proof() || (self.share > CANARY_PERMILLE && is_strong_doubt(&signal)))
        {
            let reason: Arc<str> = format!("bad version: {signal}").into();
            let mark = Mark { key: key.clone(), reason: reason.clone() };
            return (Step::Revert { reason }, Some(mark));
        }
        (self.scheduled_step(), None)
    }

    fn scheduled_step(&self) -> Step {
        if self.now_ms >= self.deadline_ms {
            let share = f64::from(self.share) / 10.0;
            let reason = format!("taken back: the deadline passed at a share of {share}%");
            return Step::Revert { reason: reason.into() };
        }
        if self.share < CANARY_PERMILLE {
            return Step::Raise { share_permille: CANARY_PERMILLE };
        }
        if self.now_ms.saturating_sub(self.changed_ms) < STEP_MS {
            return Step::Hold;
        }
        let stratum = self.evidence.stratum(self.share);
        let signal = stratum.and_then(|stratum| verdict::judge_stratum(stratum, &self.targets));
        let signals = [signal, verdict::judge_shares(self.evidence)];
        if let Some(signal) = signals.into_iter().flatten().find(is_doubt) {
            return self.step_in_doubt(&signal);
        }
        let due = self.is_due();
        let outage = stratum.is_some_and(is_outage);
        let ready = match self.share {
            CANARY_PERMILLE => due,
            _ => due || (!outage && stratum.is_some_and(|stratum| self.is_confirmed(stratum))),
        };
        match next_share(self.share) {
            _ if !ready => Step::Hold,
            Some(share_permille) => Step::Raise { share_permille },
            None => Step::Close,
        }
    }

    /// Waits for clearer evidence, which the share in effect brings, as long as there is time.
    fn step_in_doubt(&self, signal: &Signal) -> Step {
        if self.now_ms >= self.end_ms() {
            let reason = format!("taken back in doubt: {signal}");
            return Step::Revert { reason: reason.into() };
        }
        Step::Hold
    }

    /// Tells whether the schedule asks for the next step, with whatever evidence there is.
    ///
    /// A service with too little traffic for full evidence still moves on time as long as nothing
    /// speaks against the new version; the few requests it has bound the damage.
    fn is_due(&self) -> bool {
        let end = self.end_ms();
        if self.share == CANARY_PERMILLE {
            return self.now_ms >= end.saturating_sub(self.ramp_ms());
        }
        let left = end.saturating_sub(self.changed_ms);
        let steps = 1 + STEPS_PERMILLE.iter().filter(|step| **step > self.share).count() as u64;
        self.now_ms >= self.changed_ms + left / steps
    }

    /// Time by which the move should be closed, so that the write is done before the deadline.
    fn end_ms(&self) -> u64 {
        let within = self.deadline_ms - self.accepted_ms;
        self.deadline_ms.saturating_sub((within / 50).max(2_000).min(within / 10))
    }

    /// Time planned for the steps above the canary: half as much again as they need at the
    /// present rate of requests, at least a tenth and at most half of the whole move,
    /// but never less than the steps take.
    fn ramp_ms(&self) -> u64 {
        let within = (self.deadline_ms - self.accepted_ms) as f64;
        let elapsed = self.now_ms.saturating_sub(self.accepted_ms).max(1) as f64;
        let rate_ms = self.requests() / elapsed;
        let steps = STEPS_PERMILLE.iter().filter(|share| **share > CANARY_PERMILLE);
        let needed: f64 = steps
            .map(|share| {
                let rate = rate_ms * f64::from(*share) / 1_000.0;
                (self.needed_requests(*share) / rate.max(1e-9)).max(STEP_MS as f64)
            })
            .sum();
        let shortest = LATER_STEPS * (STEP_MS + DECISION_MS);
        let planned = (needed * 1.5).clamp(within * 0.1, within * 0.5);
        // A short move has no time to wait at the canary share for half of it.
        planned.max((shortest as f64).min(within * 0.8)) as u64
    }

    fn requests(&self) -> f64 {
        (self.evidence.new_requests + self.evidence.old_requests) as f64
    }

    /// Requests to the new version that confirm a step, fewer when the exposure bound is near.
    fn needed_requests(&self, share: u32) -> f64 {
        let bound = self.requests() * EXPOSURE_PERMILLE / 1_000.0;
        let spare = bound - self.evidence.new_requests as f64;
        let last = STEPS_PERMILLE.last().is_none_or(|last| share >= *last);
        let (least, full) = match last {
            true => (LEAST_LAST_REQUESTS, LAST_STEP_REQUESTS),
            false => (LEAST_REQUESTS, STEP_REQUESTS),
        };
        (spare / 3.0).clamp(least, full)
    }

    fn is_confirmed(&self, stratum: &Stratum) -> bool {
        let needed = self.needed_requests(self.share);
        let overall = stratum.overall();
        let all = f64::from(requests(&overall).0 + requests(&overall).1).max(1.0);
        let last = next_share(self.share).is_none();
        let least_on_route = if last { LEAST_ROUTE_REQUESTS } else { 0.0 };
        let route_confirmed = |route: &Route| {
            let (new, old) = requests(route);
            let part = f64::from(new + old) / all;
            part < SMALL_ROUTE || f64::from(new) >= (needed * part / 2.0).max(least_on_route)
        };
        f64::from(requests(&overall).0) >= needed && stratum.routes.iter().all(route_confirmed)
    }
}

fn requests(route: &Route) -> (u32, u32) {
    (route.new.total.requests(), route.old.total.requests())
}

fn next_share(share: u32) -> Option<u32> {
    STEPS_PERMILLE.into_iter().find(|step| *step > share)
}

fn is_doubt(signal: &Signal) -> bool {
    has(signal, DOUBT_RESPONSES, DOUBT) || has(signal, DOUBT_OF_FEW_RESPONSES, DOUBT_OF_FEW)
}

fn is_strong_doubt(signal: &Signal) -> bool {
    has(signal, STRONG_DOUBT_RESPONSES, STRONG_DOUBT)
}

fn has(signal: &Signal, responses: f64, strength: f64) -> bool {
    let enough = match signal.symptom {
        Symptom::Failing | Symptom::Late => signal.new.0 >= responses,
        Symptom::SlowStart | Symptom::SlowTokens => true,
    };
    enough && signal.strength >= strength
}

/// Tells whether the service fails on the old version, so that evidence says little.
fn is_outage(stratum: &Stratum) -> bool {
    let old = stratum.overall().old.current;
    old.requests() > 0 && f64::from(old.failed) / f64::from(old.requests()) >= OUTAGE_RATE
}
