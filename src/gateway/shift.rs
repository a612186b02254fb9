//! Shifts the traffic of a service to a new version in a roll-out, and reverts a bad version.
//!
//! A version may fail at once, later, under load or on one route. So its share stays small for most
//! of the time limit, each node reverts it based on its own responses and those that peers report,
//! and the rest of the traffic follows only close to the deadline.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::gateway::platform::Phase;
use crate::gateway::rollout::{Earlier, Record};
use crate::gateway::usage::DOMAIN_START;
use crate::gateway::verdict::{Analysis, Conditions, Evidence, Excess, Sample, Stage};
use crate::gateway::version::Version;

/// Least traffic share of the canary; a service with many requests shows enough at it.
const MIN_CANARY_SHARE: f64 = 0.04;
/// Traffic share in the final test under load relative to the canary's, its upper bound, and its start as a
/// fraction of the time limit. The rest is needed for comparison.
const RAMP_FACTOR: f64 = 3.0;
const MAX_RAMP_SHARE: f64 = 0.6;
const RAMP_START: f64 = 0.62;
/// Largest share of the requests that the new version gets before it gets all of them; the rest is needed
/// for comparison.
const MAX_MEAN_SHARE: f64 = 0.45;
/// Part of the exposure left after a late detection that is used for evidence, since the number of requests
/// is an estimate.
const EXPOSURE_USED: f64 = 0.9;
/// Responses that show a version which turns bad when it gets all requests, and the time until all nodes
/// know.
const DETECTION_RESPONSES: f64 = 30.0;
const DETECTION_DELAY: Duration = Duration::from_millis(400);
/// Time after which a node that has read a declaration knows the evidence of its peers.
const EVIDENCE_TIME: Duration = Duration::from_secs(1);
/// Fraction of the time limit after which the request rate of the service is known well enough.
const RATE_TIME: f64 = 0.15;
/// Fractions of the time limit after which a good version gets all requests, and after which the
/// roll-out completes. Requests running on the old version end in between, since completion stops
/// its endpoints.
const FULL_START: f64 = 0.86;
const COMPLETION_START: f64 = 0.95;
/// Time after the store's restore in which the operators' declarations are written again.
const REWRITE_TIME: Duration = Duration::from_secs(10);
/// Most earlier roll-outs of a service that are remembered, to know them in a restored store.
const MAX_DECLARED: usize = 8;
/// Good responses that a version needs before it can get all requests.
const MIN_GOOD_RESPONSES: u32 = 8;

/// Limit on the requests that a bad version may get.
#[derive(Debug, Clone, Copy)]
pub struct Exposure {
    /// Share of the requests that reach the service between the order and the time limit.
    pub fraction: f64,
    /// Number of requests in addition.
    pub tolerance: f64,
}

impl Default for Exposure {
    fn default() -> Exposure {
        Exposure { fraction: 0.1, tolerance: 0.0 }
    }
}

impl Exposure {
    /// Returns the canary's share of the traffic of a service with a number of requests per second.
    ///
    /// A service with few requests needs a larger share to show anything within the time limit, and the
    /// tolerance allows it.
    fn canary_share(&self, requests_per_s: f64, time_limit: Duration) -> f64 {
        let requests = requests_per_s * time_limit.as_secs_f64();
        let detection = DETECTION_RESPONSES + requests_per_s * DETECTION_DELAY.as_secs_f64();
        // A version that turns bad when it gets all requests gets no more than those that are left.
        let late = detection.min((1.0 - FULL_START) * requests);
        let allowed = self.fraction * requests + self.tolerance - late;
        let mean = (EXPOSURE_USED * allowed / requests.max(1e-9)).min(MAX_MEAN_SHARE);
        let share = mean / (RAMP_START + RAMP_FACTOR * (FULL_START - RAMP_START));
        match has_ramp(share) {
            true => share.max(MIN_CANARY_SHARE),
            false => mean / FULL_START,
        }
    }
}

/// Returns whether the share of a canary grows before it gets all requests. A large share is a test under load
/// already, and evidence from one stage is stronger than from two.
fn has_ramp(canary_share: f64) -> bool {
    canary_share * RAMP_FACTOR <= MAX_RAMP_SHARE
}

/// State of one roll-out, as a node reports it to its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    service: Arc<str>,
    revision: Version,
    /// Number of nodes whose samples the evidence sums up.
    #[serde(default)]
    nodes: u32,
    #[serde(default)]
    evidence: Evidence,
    reverted: bool,
    completed: bool,
    /// Time since the start of the roll-out.
    elapsed_ms: u64,
    /// What earlier roll-outs have left.
    #[serde(default)]
    earlier: Earlier,
}

/// Evidence that a peer reported.
#[derive(Debug)]
struct PeerEvidence {
    evidence: Evidence,
    nodes: u32,
    received_at: Duration,
}

/// Verdict that ended a roll-out, for the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Judgment {
    /// Name of the reason.
    pub reason: &'static str,
}

#[derive(Debug)]
struct Shift {
    /// Empty, which no endpoint's version is, if it can't be read.
    version: Arc<str>,
    /// Whether the order can't be carried out because a part of it can't be read. Its version gets nothing.
    is_unreadable: bool,
    time_limit: Duration,
    revision: Version,
    read_at: Duration,
    /// Time at which the declaration was last found again after a restore of the store.
    found_again_at: Option<Duration>,
    /// Declarations of earlier roll-outs of the service, by the number of their revision.
    declared: Vec<(u64, Arc<str>, Duration)>,
    /// Time for which the roll-out had already run when this node read its declaration.
    prior_elapsed: Duration,
    /// Samples of this node.
    own: Evidence,
    /// Evidence of the peers by name and start. It stays when a peer is lost.
    peers: HashMap<(Arc<str>, u64), PeerEvidence>,
    phase: Phase,
    /// Whether `phase` ends the roll-out and operators have read it. It then never changes.
    is_recorded: bool,
    /// What earlier roll-outs have left.
    earlier: Earlier,
    stage: Stage,
    canary_share: f64,
    /// Whether `canary_share` fits the request rate. It is set once, so that the conditions of a stage stay
    /// the same.
    is_share_set: bool,
}

impl Shift {
    /// Returns the evidence of this node and of those peers whose start `includes` accepts, and the
    /// number of nodes that it comes from.
    fn evidence(&self, includes: impl Fn(u64) -> bool) -> (Evidence, u32) {
        let (mut evidence, mut nodes) = (self.own.clone(), u32::from(!self.own.is_empty()));
        for ((_, start), peer) in &self.peers {
            if includes(*start) {
                evidence.add(&peer.evidence);
                nodes += peer.nodes;
            }
        }
        (evidence, nodes)
    }

    fn total_evidence(&self) -> Evidence {
        self.evidence(|_| true).0
    }

    /// Returns the report on this roll-out. Once it has ended, its evidence decides nothing any more.
    fn report(
        &self,
        service: &Arc<str>,
        (evidence, nodes): (Evidence, u32),
        now: Duration,
    ) -> Report {
        let is_in_progress = self.phase == Phase::InProgress;
        Report {
            service: service.clone(),
            revision: self.revision,
            nodes,
            evidence: if is_in_progress { evidence } else { Evidence::default() },
            reverted: self.phase == Phase::Reverted,
            completed: self.phase == Phase::Completed,
            elapsed_ms: self.elapsed(now).as_millis() as u64,
            earlier: self.earlier.clone(),
        }
    }

    /// Returns whether an earlier roll-out has introduced a version without completing it. That of this roll-out is
    /// tried again.
    fn is_rejected(&self, version: &str) -> bool {
        *self.version != *version && self.earlier.is_rejected(version)
    }

    /// Adopts the record of this roll-out or of an earlier one of the service.
    fn adopt_record(&mut self, record: &Record) {
        if self.is_recorded_by(record) {
            self.earlier.merge(&record.earlier);
            self.apply_recorded_phase(record.phase);
        } else if record.revision < self.revision {
            self.earlier.merge(&record.earlier);
            self.earlier.add(record.revision, &record.version, record.phase);
        }
    }

    /// Returns whether a declaration read after a restore of the store is this roll-out's, written again, or
    /// an earlier one's from the copy. Neither starts a roll-out.
    fn find_again(
        &mut self,
        version: &Arc<str>,
        time_limit: Duration,
        revision: Version,
        now: Duration,
    ) -> bool {
        let is_new_era = revision.era > self.revision.era;
        let is_rewriting =
            self.found_again_at.is_some_and(|at| now.saturating_sub(at) < REWRITE_TIME);
        if !is_new_era && !is_rewriting {
            return false;
        }
        let is_earlier = self.declared.contains(&(revision.number, version.clone(), time_limit));
        let is_this = self.version == *version && self.time_limit == time_limit;
        if is_this {
            self.revision = revision;
            self.found_again_at = Some(now);
        }
        is_this || is_earlier
    }

    fn own_evidence(&self) -> (Evidence, u32) {
        (self.own.clone(), u32::from(!self.own.is_empty()))
    }

    /// Reverts the roll-out if the new version is significantly worse than tolerated.
    fn revert_if_bad(&mut self, analysis: Analysis, now: Duration) -> Option<Judgment> {
        if self.phase != Phase::InProgress {
            return None;
        }
        let excess = self.total_evidence().worst_excess(analysis)?;
        excess.is_significant(analysis).then(|| self.revert(&excess, now))
    }

    fn revert(&mut self, excess: &Excess, now: Duration) -> Judgment {
        self.phase = Phase::Reverted;
        log::warn!(
            "shift: event=reverted version={} {excess} share={:.2} elapsed_ms={} {}",
            self.version,
            self.share(),
            self.elapsed(now).as_millis(),
            self.provenance(now)
        );
        Judgment { reason: excess.symptom.name() }
    }

    /// Returns where the evidence comes from, for the log.
    fn provenance(&self, now: Duration) -> String {
        let (_, nodes) = self.evidence(|_| true);
        let ages = self.peers.values().map(|peer| now.saturating_sub(peer.received_at));
        format!("nodes={nodes} oldest_ms={}", ages.max().unwrap_or_default().as_millis())
    }

    fn share(&self) -> f64 {
        match self.stage {
            Stage::Canary => self.canary_share,
            Stage::Ramp => self.canary_share * RAMP_FACTOR,
            Stage::Full => 1.0,
        }
    }

    /// Updates the stage, or reverts the roll-out if the new version must not get all requests.
    fn update_stage(&mut self, exposure: &Exposure, now: Duration) -> Option<Judgment> {
        if self.phase != Phase::InProgress {
            return None;
        }
        let evidence = self.total_evidence();
        let elapsed = self.elapsed(now);
        let fraction = self.elapsed_fraction(now);
        let is_rate_known =
            fraction >= RATE_TIME && now.saturating_sub(self.read_at) >= EVIDENCE_TIME;
        if !self.is_share_set && is_rate_known {
            let (new, old) = evidence.responses();
            let requests_per_s = f64::from(new + old) / elapsed.as_secs_f64();
            self.canary_share = exposure.canary_share(requests_per_s, self.time_limit);
            self.is_share_set = true;
        }
        let has_enough_responses = evidence.good_responses() >= MIN_GOOD_RESPONSES;
        let stage = if fraction >= FULL_START && has_enough_responses {
            Stage::Full
        } else if fraction >= RAMP_START && has_ramp(self.canary_share) {
            Stage::Ramp
        } else {
            Stage::Canary
        };
        let is_new_stage = stage != self.stage;
        // The steps that can hardly be undone.
        let is_step = is_new_stage || fraction >= COMPLETION_START;
        if stage == Stage::Full
            && is_step
            && let Some(judgment) = self.revert_if_bad(Analysis::Final, now)
        {
            return Some(judgment);
        }
        if !is_new_stage {
            return None;
        }
        self.stage = stage;
        self.log_evidence(now);
        None
    }

    /// Logs what the next stage of the roll-out is based on.
    fn log_evidence(&self, now: Duration) {
        let evidence = self.total_evidence();
        let (new, old) = evidence.responses();
        let excess = evidence.worst_excess(Analysis::Interim);
        let excess = excess.map_or_else(|| "reason=none".to_owned(), |excess| excess.to_string());
        log::info!(
            "shift: event=evidence version={} stage={:?} share={:.2} elapsed_ms={} new={new} old={old} worst=\"{excess}\" {}",
            self.version,
            self.stage,
            self.share(),
            self.elapsed(now).as_millis(),
            self.provenance(now)
        );
    }

    /// Returns the phase that this node decides on. A version that has not proved itself within the time
    /// limit, or of which no endpoint is left then, is taken back.
    fn decide_phase(&self, has_endpoint: bool, now: Duration) -> Phase {
        let fraction = self.elapsed_fraction(now);
        if self.phase == Phase::InProgress && self.is_unreadable {
            return Phase::Reverted;
        }
        if self.phase != Phase::InProgress || fraction < COMPLETION_START {
            return self.phase;
        }
        let has_enough_responses = self.total_evidence().good_responses() >= MIN_GOOD_RESPONSES;
        // A node that has just started doesn't know the evidence of its peers.
        let is_late = fraction >= 1.0 && now.saturating_sub(self.read_at) >= EVIDENCE_TIME;
        match (has_enough_responses && has_endpoint, is_late) {
            (true, _) => Phase::Completed,
            (false, true) => Phase::Reverted,
            (false, false) => Phase::InProgress,
        }
    }

    fn elapsed_fraction(&self, now: Duration) -> f64 {
        self.elapsed(now).as_secs_f64() / self.time_limit.as_secs_f64().max(0.001)
    }

    /// Adopts the phase that a peer reports. A peer may revert a roll-out before that is recorded, but completes
    /// it only with the record.
    fn apply_reported_phase(&mut self, report: &Report) {
        if report.completed {
            self.apply_recorded_phase(Phase::Completed);
        } else if report.reverted && self.phase == Phase::InProgress {
            self.phase = Phase::Reverted;
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

    /// Adopts a recorded phase. An end of the roll-out that operators have read holds, whatever this node has
    /// decided: the platform stops the endpoints of one version at once.
    fn apply_recorded_phase(&mut self, phase: Phase) {
        if phase != Phase::InProgress && !self.is_recorded {
            (self.phase, self.is_recorded) = (phase, true);
        }
    }

    /// Returns whether a record is of this roll-out. A declaration that was read again after a restore of the store
    /// has another era.
    fn is_recorded_by(&self, record: &Record) -> bool {
        record.revision.number == self.revision.number && record.version == self.version
    }
}

/// Version of a service that is selected for a request.
#[derive(Debug, Clone)]
pub struct Selection {
    version: Arc<str>,
    selects_new: bool,
    allows_fallback: bool,
    earlier: Earlier,
    /// Stage of the roll-out in which the version was selected.
    pub stage: Stage,
}

impl Selection {
    pub fn admits(&self, version: &str) -> bool {
        (*self.version == *version) == self.selects_new && !self.is_rejected(version)
    }

    /// Returns whether an endpoint of any version that was not rejected may serve if none of the selected one is
    /// listed, because new endpoints are still starting or old ones have been stopped. A reverted
    /// version never serves.
    pub fn allows_fallback(&self) -> bool {
        self.allows_fallback
    }

    /// Returns whether an earlier roll-out has introduced a version without completing it.
    pub fn is_rejected(&self, version: &str) -> bool {
        *self.version != *version && self.earlier.is_rejected(version)
    }
}

#[derive(Debug, Default)]
pub struct Shifts {
    exposure: Exposure,
    shifts: HashMap<Arc<str>, Shift>,
    /// Reports restored from the store before the declarations were read, with the restore time.
    restored: HashMap<Arc<str>, (Report, Duration)>,
    /// Services whose roll-out was declared and whose record has not been read since.
    unread: HashSet<Arc<str>>,
    judgments: Vec<Judgment>,
}

impl Shifts {
    pub fn new(exposure: Exposure) -> Shifts {
        Shifts { exposure, ..Shifts::default() }
    }

    /// Starts a roll-out that an operator has declared, unless its revision or a later one is
    /// known; returns whether it was started.
    pub fn start(
        &mut self,
        service: Arc<str>,
        version: Arc<str>,
        time_limit: Duration,
        revision: Version,
        now: Duration,
    ) -> bool {
        let (mut declared, mut earlier) = (Vec::new(), Earlier::default());
        if let Some(shift) = self.shifts.get_mut(&service) {
            if shift.revision >= revision || shift.find_again(&version, time_limit, revision, now) {
                return false;
            }
            earlier = std::mem::take(&mut shift.earlier);
            if !shift.version.is_empty() {
                earlier.add(shift.revision, &shift.version, shift.phase);
            }
            declared = std::mem::take(&mut shift.declared);
            declared.push((shift.revision.number, shift.version.clone(), shift.time_limit));
            declared.drain(..declared.len().saturating_sub(MAX_DECLARED));
        }
        let mut shift = Shift {
            version,
            is_unreadable: false,
            time_limit,
            revision,
            read_at: now,
            found_again_at: None,
            declared,
            prior_elapsed: Duration::ZERO,
            own: Evidence::default(),
            peers: HashMap::new(),
            phase: Phase::InProgress,
            is_recorded: false,
            earlier,
            stage: Stage::Canary,
            canary_share: MIN_CANARY_SHARE,
            is_share_set: false,
        };
        if let Some((report, restored_at)) = self.restored.remove(&service)
            && report.revision.number == revision.number
        {
            // A snapshot and a declaration from one copy of the store have the same number.
            shift.adopt_elapsed(&report, restored_at);
            shift.prior_elapsed += now.saturating_sub(restored_at);
            shift.apply_reported_phase(&report);
        }
        self.shifts.insert(service, shift);
        true
    }

    /// Ends the roll-out before an order that can't be read, unless its revision or a later one is known; returns
    /// whether it did.
    ///
    /// Neither the order nor the one that it replaces can be carried out. If the version of the order is known, it is
    /// recorded as reverted, so that operators are told.
    pub fn start_unreadable(
        &mut self,
        service: Arc<str>,
        version: Option<Arc<str>>,
        revision: Version,
        now: Duration,
    ) -> bool {
        let version = version.unwrap_or_default();
        let is_started = self.start(service.clone(), version, Duration::ZERO, revision, now);
        if let Some(shift) = self.shifts.get_mut(&service).filter(|_| is_started) {
            shift.is_unreadable = true;
        }
        is_started
    }

    /// Gives the new version of a service no requests until the record of its roll-out has been read.
    pub fn await_record(&mut self, service: &Arc<str>) {
        self.unread.insert(service.clone());
    }

    /// Returns the services whose records have to be read.
    pub fn awaited_records(&self) -> HashSet<Arc<str>> {
        self.unread.clone()
    }

    /// Returns the revision of a service's newest roll-out.
    pub fn revision(&self, service: &str) -> Option<Version> {
        self.shifts.get(service).map(|shift| shift.revision)
    }

    /// Adopts the records of all known roll-outs. `awaited` are the services that were awaited when the read was
    /// sent; `find` returns the record of a service.
    pub fn adopt_records<'a>(
        &mut self,
        awaited: &HashSet<Arc<str>>,
        find: impl Fn(&str) -> Option<&'a Record>,
    ) {
        for (service, shift) in &mut self.shifts {
            if let Some(record) = find(service) {
                shift.adopt_record(record);
            }
        }
        self.unread.retain(|service| !awaited.contains(service));
    }

    /// Selects the version for a request by its hash; returns `None` if no roll-out of the service
    /// is known.
    pub fn select(&self, service: &str, hash: u64) -> Option<Selection> {
        let shift = self.shifts.get(service)?;
        let version = shift.version.clone();
        let selects_new = match shift.phase {
            Phase::Completed => true,
            Phase::Reverted => false,
            Phase::InProgress if shift.is_unreadable || self.unread.contains(service) => false,
            Phase::InProgress => {
                let position = xxh3::xxh3_64_with_seed(&hash.to_le_bytes(), shift.revision.number);
                (position as f64 / u64::MAX as f64) < shift.share()
            }
        };
        let allows_fallback = shift.phase != Phase::Reverted;
        let earlier = shift.earlier.clone();
        Some(Selection { version, selects_new, allows_fallback, earlier, stage: shift.stage })
    }

    /// Returns whether endpoints of a version serve a service outside of its roll-out: the new version once it is
    /// completed, until then all that were not rejected. Without a roll-out all versions serve.
    pub fn is_serving(&self, service: &str, version: &str) -> bool {
        self.shifts.get(service).is_none_or(|shift| {
            let is_new = *shift.version == *version;
            is_new == (shift.phase == Phase::Completed) && !shift.is_rejected(version)
        })
    }

    /// Returns the new version of a service and the phase of its roll-out.
    pub fn phase(&self, service: &str) -> Option<(&Arc<str>, Phase)> {
        let shift = self.shifts.get(service).filter(|shift| !shift.version.is_empty())?;
        Some((&shift.version, shift.phase))
    }

    /// Counts a sample of an endpoint's version.
    pub fn record(&mut self, service: &str, version: &str, conditions: Conditions, sample: Sample) {
        let Some(shift) = self.shifts.get_mut(service) else { return };
        if shift.phase == Phase::InProgress && !shift.is_rejected(version) {
            shift.own.record(conditions, *shift.version == *version, sample);
        }
    }

    /// Reverts the roll-outs whose new version is bad by the evidence of all nodes.
    pub fn judge(&mut self, now: Duration) {
        for shift in self.shifts.values_mut() {
            self.judgments.extend(shift.revert_if_bad(Analysis::Interim, now));
        }
    }

    /// Returns the verdicts since the last call.
    pub fn take_judgments(&mut self) -> Vec<Judgment> {
        std::mem::take(&mut self.judgments)
    }

    /// Updates the stages; `now` is on the clock passed to `start`.
    pub fn update_stages(&mut self, now: Duration) {
        for shift in self.shifts.values_mut() {
            self.judgments.extend(shift.update_stage(&self.exposure, now));
        }
    }

    /// Applies a phase that has been recorded, if the revision matches.
    pub fn apply_phase(&mut self, service: &str, revision: Version, phase: Phase) {
        if let Some(shift) = self.shifts.get_mut(service)
            && shift.revision == revision
        {
            shift.apply_recorded_phase(phase);
        }
    }

    /// Returns service, version, revision and phase of each roll-out whose record is known; a phase that ends the
    /// roll-out takes effect with `apply_phase`. `has_endpoint` returns whether an endpoint of a service and version
    /// takes requests.
    pub fn phases(
        &self,
        now: Duration,
        has_endpoint: impl Fn(&str, &str) -> bool,
    ) -> Vec<(Arc<str>, Arc<str>, Version, Phase)> {
        let entry = |(service, shift): (&Arc<str>, &Shift)| {
            let phase = shift.decide_phase(has_endpoint(service, &shift.version), now);
            (service.clone(), shift.version.clone(), shift.revision, phase)
        };
        self.shifts
            .iter()
            .filter(|(service, shift)| !self.unread.contains(*service) && !shift.version.is_empty())
            .map(entry)
            .collect()
    }

    /// Returns service and record of each roll-out whose record is known, as this node would write it now.
    pub fn records(
        &self,
        now: Duration,
        has_endpoint: impl Fn(&str, &str) -> bool,
    ) -> Vec<(Arc<str>, Record)> {
        let record = |(service, version, revision, phase): (Arc<str>, Arc<str>, Version, Phase)| {
            let earlier = self.shifts.get(&service).map(|shift| shift.earlier.clone());
            let earlier = earlier.unwrap_or_default();
            (service, Record { revision, version, phase, earlier })
        };
        self.phases(now, has_endpoint).into_iter().map(record).collect()
    }

    /// Returns the reports on all roll-outs for the peers and for nodes that start later.
    pub fn reports(&self, now: Duration) -> Vec<Report> {
        let report = |(service, shift): (&Arc<str>, &Shift)| {
            shift.report(service, shift.own_evidence(), now)
        };
        self.shifts.iter().map(report).collect()
    }

    /// Returns the reports on all roll-outs for other failure domains, with the sums of this node and its
    /// direct peers.
    pub fn domain_reports(&self, now: Duration) -> Vec<Report> {
        let report = |(service, shift): (&Arc<str>, &Shift)| {
            shift.report(service, shift.evidence(|start| start != DOMAIN_START), now)
        };
        self.shifts.iter().map(report).collect()
    }

    /// Returns reports without evidence, to be stored for a restart after the loss of all nodes.
    pub fn reports_without_evidence(&self, now: Duration) -> Vec<Report> {
        let mut reports = self.reports(now);
        for report in &mut reports {
            (report.evidence, report.nodes) = (Evidence::default(), 0);
            // The record of the roll-out holds them.
            report.earlier = Earlier::default();
        }
        reports
    }

    /// Restores reports that `reports_without_evidence` returned `age` ago, for roll-outs whose
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
            shift.apply_reported_phase(&report);
            shift.earlier.merge(&report.earlier);
            let Report { evidence, nodes, .. } = report;
            let received = PeerEvidence { evidence, nodes, received_at: now };
            shift.peers.insert((peer.clone(), start), received);
        }
    }
}
