//! Shifts the traffic of a service to a new version in a roll-out, and reverts a bad version.
//!
//! A version may fail at once, later, under load or on one route. So its share stays small for most
//! of the time limit, each node reverts it based on its own responses and those that peers report,
//! and the rest of the traffic follows only close to the deadline.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::gateway::platform::Phase;
use crate::gateway::usage::DOMAIN_START;

/// Traffic share of the canary; a bad version may get at most a tenth of the requests overall.
const CANARY_SHARE: f64 = 0.04;
/// Traffic share in the final test under load, and its start as a fraction of the time limit.
const RAMP_SHARE: f64 = 0.12;
const RAMP_START: f64 = 0.62;
/// Fractions of the time limit after which a good version gets all requests, and after which the
/// roll-out completes. Requests running on the old version end in between, since completion stops
/// its endpoints.
const FULL_START: f64 = 0.86;
const COMPLETION_START: f64 = 0.95;
/// Standard deviations above which a difference counts as significant, even though it is tested
/// after every response. More are required in a small sample, whose failure rate changes in coarse
/// steps. If one request in seven fails on the old version and three in ten on the new one, that is
/// detected after about a hundred responses.
const MIN_DEVIATIONS: f64 = 3.3;
const MIN_DEVIATIONS_SMALL_SAMPLE: f64 = 4.5;
const SMALL_SAMPLE_RESPONSES: f64 = 60.0;
/// Prior for the old version's responses, added to those counted.
const PRIOR: Tally = Tally { good: 19, bad: 1 };
/// Good responses that a version needs before it can get all requests.
const MIN_GOOD_RESPONSES: u64 = 8;
/// Tolerated excess of the share of bad responses over that of the old version.
const EXCESS_TOLERANCE: f64 = 0.05;
/// Tolerated excess once all requests go to the new version: its endpoints have cold caches then,
/// and there are no concurrent responses of the old version for comparison.
const FULL_EXCESS_TOLERANCE: f64 = 0.15;

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    pub good: u64,
    pub bad: u64,
}

impl Tally {
    fn add(&mut self, other: Tally) {
        self.good += other.good;
        self.bad += other.bad;
    }

    fn responses(self) -> f64 {
        (self.good + self.bad) as f64
    }

    /// Returns the excess of the share of bad responses over that of `other`, and that excess in
    /// standard deviations of a random difference.
    fn excess(self, other: Tally) -> (f64, f64) {
        let share = |tally: Tally| tally.bad as f64 / tally.responses().max(1.0);
        let mut both = self;
        both.add(other);
        let spread = 1.0 / self.responses().max(1.0) + 1.0 / other.responses().max(1.0);
        let deviation = (share(both) * (1.0 - share(both)) * spread).sqrt();
        let excess = share(self) - share(other);
        (excess, excess / deviation.max(1e-9))
    }
}

/// State of one roll-out, as a node reports it to its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    service: Arc<str>,
    revision: u64,
    new: Tally,
    old: Tally,
    reverted: bool,
    completed: bool,
    /// Time since the start of the roll-out.
    elapsed_ms: u64,
}

#[derive(Debug)]
struct Shift {
    version: Arc<str>,
    time_limit: Duration,
    revision: u64,
    read_at: Duration,
    /// Time for which the roll-out had already run when this node read its declaration.
    prior_elapsed: Duration,
    new: Tally,
    old: Tally,
    peer_tallies: HashMap<(Arc<str>, u64), (Tally, Tally)>,
    phase: Phase,
    /// Share of the traffic that the new version gets, from 0 to 1.
    share: f64,
}

impl Shift {
    /// Returns the tallies of the new and of the old version over all nodes.
    fn total_tallies(&self) -> (Tally, Tally) {
        self.tallies(|_| true)
    }

    /// Returns the tallies of this node and those peers whose start `includes` accepts.
    fn tallies(&self, includes: impl Fn(u64) -> bool) -> (Tally, Tally) {
        let (mut new, mut old) = (self.new, self.old);
        for ((_, start), (peer_new, peer_old)) in &self.peer_tallies {
            if includes(*start) {
                new.add(*peer_new);
                old.add(*peer_old);
            }
        }
        (new, old)
    }

    fn report(&self, service: &Arc<str>, (new, old): (Tally, Tally), now: Duration) -> Report {
        Report {
            service: service.clone(),
            revision: self.revision,
            new,
            old,
            reverted: self.phase == Phase::Reverted,
            completed: self.phase == Phase::Completed,
            elapsed_ms: self.elapsed(now).as_millis() as u64,
        }
    }

    /// Reverts the roll-out if the new version has significantly more bad responses than tolerated.
    fn revert_if_bad(&mut self) {
        if self.phase != Phase::InProgress {
            return;
        }
        let (new, mut old) = self.total_tallies();
        old.add(PRIOR);
        let tolerance = if self.share < 1.0 { EXCESS_TOLERANCE } else { FULL_EXCESS_TOLERANCE };
        let (excess, deviations) = new.excess(old);
        let is_small_sample = new.responses() < SMALL_SAMPLE_RESPONSES;
        let threshold = if is_small_sample { MIN_DEVIATIONS_SMALL_SAMPLE } else { MIN_DEVIATIONS };
        if excess > tolerance && deviations > threshold {
            log::warn!(
                "shift: event=reverted version={} new_bad={} new_good={} old_bad={} old_good={} \
                 share={} deviations={deviations:.1}",
                self.version,
                new.bad,
                new.good,
                old.bad,
                old.good,
                self.share
            );
            self.phase = Phase::Reverted;
        }
    }

    fn update_share(&mut self, now: Duration) {
        if self.phase == Phase::InProgress {
            let fraction = self.elapsed_fraction(now);
            let has_enough_responses = self.total_tallies().0.good >= MIN_GOOD_RESPONSES;
            let share = match fraction {
                fraction if fraction < RAMP_START => CANARY_SHARE,
                fraction if fraction < FULL_START || !has_enough_responses => RAMP_SHARE,
                _ => 1.0,
            };
            if share != std::mem::replace(&mut self.share, share) {
                self.log_evidence(now);
            }
        }
    }

    /// Logs what the next step of the roll-out is based on.
    fn log_evidence(&self, now: Duration) {
        let (new, old) = self.total_tallies();
        log::info!(
            "shift: event=evidence version={} share={} elapsed_ms={} new_bad={} new_good={} old_bad={} \
             old_good={} own_new={} reports={}",
            self.version,
            self.share,
            self.elapsed(now).as_millis(),
            new.bad,
            new.good,
            old.bad,
            old.good,
            self.new.good + self.new.bad,
            self.peer_tallies.len()
        );
    }

    /// Returns whether the roll-out has run long enough and has enough good responses to complete.
    fn can_complete(&self, now: Duration) -> bool {
        self.elapsed_fraction(now) >= COMPLETION_START
            && self.total_tallies().0.good >= MIN_GOOD_RESPONSES
    }

    fn elapsed_fraction(&self, now: Duration) -> f64 {
        self.elapsed(now).as_secs_f64() / self.time_limit.as_secs_f64().max(0.001)
    }

    fn apply_reported_phase(&mut self, report: &Report) {
        if report.reverted {
            self.apply_phase(Phase::Reverted);
        } else if report.completed {
            self.apply_phase(Phase::Completed);
        }
    }

    fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.read_at) + self.prior_elapsed
    }

    /// Adopts the elapsed time of a node that read the declaration earlier.
    fn adopt_elapsed(&mut self, report: &Report, now: Duration) {
        let elapsed = Duration::from_millis(report.elapsed_ms);
        self.prior_elapsed += elapsed.saturating_sub(self.elapsed(now));
    }

    /// Adopts a phase that another node found or that was reported to the platform. A reverted
    /// roll-out stays reverted unless it is reported as completed, since the platform then stops
    /// the endpoints of the old version.
    fn apply_phase(&mut self, phase: Phase) {
        if self.phase == Phase::InProgress || phase == Phase::Completed {
            self.phase = phase;
        }
    }
}

/// Version of a service that is selected for a request.
#[derive(Debug, Clone)]
pub struct Selection {
    version: Arc<str>,
    selects_new: bool,
    allows_fallback: bool,
}

impl Selection {
    pub fn admits(&self, version: &str) -> bool {
        (*self.version == *version) == self.selects_new
    }

    /// Returns whether an endpoint of the other version may serve if none of the selected one is
    /// listed, because new endpoints are still starting or old ones have been stopped. A reverted
    /// version never serves.
    pub fn allows_fallback(&self) -> bool {
        self.allows_fallback
    }
}

#[derive(Debug, Default)]
pub struct Shifts {
    shifts: HashMap<Arc<str>, Shift>,
    /// Reports restored from the store before the declarations were read, with the restore time.
    restored: HashMap<Arc<str>, (Report, Duration)>,
}

impl Shifts {
    /// Starts a roll-out that an operator has declared, unless its revision or a later one is
    /// known.
    pub fn start(
        &mut self,
        service: Arc<str>,
        version: Arc<str>,
        time_limit: Duration,
        revision: u64,
        now: Duration,
    ) {
        if self.shifts.get(&service).is_some_and(|shift| shift.revision >= revision) {
            return;
        }
        let mut shift = Shift {
            version,
            time_limit,
            revision,
            read_at: now,
            prior_elapsed: Duration::ZERO,
            new: Tally::default(),
            old: Tally::default(),
            peer_tallies: HashMap::new(),
            phase: Phase::InProgress,
            share: CANARY_SHARE,
        };
        if let Some((report, restored_at)) = self.restored.remove(&service)
            && report.revision == revision
        {
            shift.adopt_elapsed(&report, restored_at);
            shift.prior_elapsed += now.saturating_sub(restored_at);
            shift.apply_reported_phase(&report);
        }
        self.shifts.insert(service, shift);
    }

    /// Selects the version for a request by its hash; returns `None` if no roll-out of the service
    /// is known.
    pub fn select(&self, service: &str, hash: u64) -> Option<Selection> {
        let shift = self.shifts.get(service)?;
        let version = shift.version.clone();
        let selects_new = match shift.phase {
            Phase::Completed => true,
            Phase::Reverted => false,
            Phase::InProgress => {
                let position = xxh3::xxh3_64_with_seed(&hash.to_le_bytes(), shift.revision);
                (position as f64 / u64::MAX as f64) < shift.share
            }
        };
        let allows_fallback = shift.phase != Phase::Reverted;
        Some(Selection { version, selects_new, allows_fallback })
    }

    /// Returns the new version of a service and the phase of its roll-out.
    pub fn phase(&self, service: &str) -> Option<(&Arc<str>, Phase)> {
        self.shifts.get(service).map(|shift| (&shift.version, shift.phase))
    }

    /// Counts a response of an endpoint of a version; a late response counts as bad.
    pub fn record(&mut self, service: &str, version: &str, is_good: bool) {
        let Some(shift) = self.shifts.get_mut(service) else { return };
        let tally = if *shift.version == *version { &mut shift.new } else { &mut shift.old };
        if is_good {
            tally.good += 1
        } else {
            tally.bad += 1
        }
        shift.revert_if_bad();
    }

    /// Updates the traffic shares; `now` is on the clock passed to `start`.
    pub fn update_shares(&mut self, now: Duration) {
        for shift in self.shifts.values_mut() {
            shift.update_share(now);
        }
    }

    /// Applies a phase that has been reported to the platform, if the revision matches.
    pub fn apply_phase(&mut self, service: &str, revision: u64, phase: Phase) {
        if let Some(shift) = self.shifts.get_mut(service)
            && shift.revision == revision
        {
            shift.apply_phase(phase);
        }
    }

    /// Returns service, version, revision and phase of each roll-out; the phase is `Completed` if
    /// the roll-out can complete now.
    pub fn phases(&self, now: Duration) -> Vec<(Arc<str>, Arc<str>, u64, Phase)> {
        let current_phase = |shift: &Shift| match shift.phase {
            Phase::InProgress if shift.can_complete(now) => Phase::Completed,
            phase => phase,
        };
        let entry = |(service, shift): (&Arc<str>, &Shift)| {
            (service.clone(), shift.version.clone(), shift.revision, current_phase(shift))
        };
        self.shifts.iter().map(entry).collect()
    }

    /// Returns the reports on all roll-outs for the peers and for nodes that start later.
    pub fn reports(&self, now: Duration) -> Vec<Report> {
        let report = |(service, shift): (&Arc<str>, &Shift)| {
            shift.report(service, (shift.new, shift.old), now)
        };
        self.shifts.iter().map(report).collect()
    }

    /// Returns the reports on all roll-outs for other failure domains, with the sums of this node and its
    /// direct peers.
    pub fn domain_reports(&self, now: Duration) -> Vec<Report> {
        let report = |(service, shift): (&Arc<str>, &Shift)| {
            shift.report(service, shift.tallies(|start| start != DOMAIN_START), now)
        };
        self.shifts.iter().map(report).collect()
    }

    /// Returns reports without tallies, to be stored for a restart after the loss of all nodes.
    pub fn reports_without_tallies(&self, now: Duration) -> Vec<Report> {
        let mut reports = self.reports(now);
        for report in &mut reports {
            (report.new, report.old) = (Tally::default(), Tally::default());
        }
        reports
    }

    /// Restores reports that `reports_without_tallies` returned `age` ago, for roll-outs whose
    /// declarations this node has read or will read.
    pub fn restore(&mut self, reports: Vec<Report>, age: Duration, now: Duration) {
        for mut report in reports {
            report.elapsed_ms += age.as_millis() as u64;
            match self.shifts.get_mut(&report.service) {
                Some(shift) if shift.revision == report.revision => {
                    shift.adopt_elapsed(&report, now);
                    shift.apply_reported_phase(&report);
                }
                _ => {
                    self.restored.insert(report.service.clone(), (report, now));
                }
            }
        }
    }

    /// Merges the reports of a peer, received at `now`; `start` identifies the run of the peer.
    pub fn merge_peer(&mut self, peer: &Arc<str>, start: u64, reports: Vec<Report>, now: Duration) {
        for report in reports {
            let Some(shift) = self.shifts.get_mut(&report.service) else { continue };
            if shift.revision != report.revision {
                continue;
            }
            shift.adopt_elapsed(&report, now);
            shift.peer_tallies.insert((peer.clone(), start), (report.new, report.old));
            shift.apply_reported_phase(&report);
            shift.revert_if_bad();
        }
    }
}
