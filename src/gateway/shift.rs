//! Roll-outs: how the traffic of a service moves to a new version, and when it is taken back.
//!
//! A version may be bad at once, later, under load or on one route. So its share stays small for
//! most of the time given, each node takes it back on its own evidence and on that of the peers it
//! hears, and the rest of the traffic moves over only close to the deadline.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::gateway::platform::Phase;

/// Share of the canary; the bound on a bad version's exposure is a tenth.
const CANARY: f64 = 0.04;
/// Share in the last test under load, and when it begins, as a part of the time given.
const RAMP: f64 = 0.12;
const RAMP_AT: f64 = 0.62;
/// Part of the time given after which a good version gets all requests, and after which the move is
/// reported as done. What runs on the old version ends in between, since it is stopped then.
const FULL_AT: f64 = 0.86;
const COMPLETE_AT: f64 = 0.95;
/// Standard deviations from which a difference is no chance, although it is looked at with each
/// answer: more of them as long as there are few answers, since those come in coarse steps. A service
/// that fails one request in seven by itself, and three in ten on its bad version, shows it after
/// about a hundred answers.
const DEVIATIONS: f64 = 3.3;
const DEVIATIONS_OF_FEW: f64 = 4.5;
const FEW_ANSWERS: f64 = 60.0;
/// Answers that the old version is believed to give before any are known.
const PRIOR: Tally = Tally { good: 19, bad: 1 };
/// Good answers without which a version is not taken in.
const EVIDENCE: u64 = 8;
/// Share of bad answers, beyond that of the old version, which is tolerated.
const BAD_SHARE: f64 = 0.05;
/// The same once all requests go to the new version: its endpoints have cold caches then, and there
/// are no answers of the old version at the same time to compare with.
const FULL_BAD_SHARE: f64 = 0.15;

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

    fn answers(self) -> f64 {
        (self.good + self.bad) as f64
    }

    /// Gives by how much the share of bad answers exceeds another one's, and how many standard
    /// deviations of a difference by chance that is.
    fn excess(self, other: Tally) -> (f64, f64) {
        let share = |tally: Tally| tally.bad as f64 / tally.answers().max(1.0);
        let mut both = self;
        both.add(other);
        let spread = 1.0 / self.answers().max(1.0) + 1.0 / other.answers().max(1.0);
        let deviation = (share(both) * (1.0 - share(both)) * spread).sqrt();
        let excess = share(self) - share(other);
        (excess, excess / deviation.max(1e-9))
    }
}

/// What a node tells its peers about one roll-out.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Told {
    service: Arc<str>,
    revision: u64,
    new: Tally,
    old: Tally,
    reverted: bool,
    completed: bool,
    /// Time since the roll-out was ordered.
    elapsed_ms: u64,
}

#[derive(Debug)]
struct Shift {
    version: Arc<str>,
    within: Duration,
    revision: u64,
    began: Duration,
    /// Time for which the roll-out had run when this node read the order.
    lead: Duration,
    new: Tally,
    old: Tally,
    peers: HashMap<(Arc<str>, u64), (Tally, Tally)>,
    phase: Phase,
    /// Part of the traffic that the new version gets, from 0 to 1.
    share: f64,
}

impl Shift {
    /// Gives the answers of both versions over all nodes, the new version first.
    fn evidence(&self) -> (Tally, Tally) {
        let (mut new, mut old) = (self.new, self.old);
        for (peer_new, peer_old) in self.peers.values() {
            new.add(*peer_new);
            old.add(*peer_old);
        }
        (new, old)
    }

    /// Takes the version back when the evidence is against it.
    fn judge(&mut self) {
        if self.phase != Phase::InProgress {
            return;
        }
        let (new, mut old) = self.evidence();
        old.add(PRIOR);
        let slack = if self.share < 1.0 { BAD_SHARE } else { FULL_BAD_SHARE };
        let (excess, deviations) = new.excess(old);
        let are_few = new.answers() < FEW_ANSWERS;
        let least = if are_few { DEVIATIONS_OF_FEW } else { DEVIATIONS };
        if excess > slack && deviations > least {
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

    fn step(&mut self, now: Duration) {
        if self.phase == Phase::InProgress {
            let part = self.part(now);
            let is_proved = self.evidence().0.good >= EVIDENCE;
            self.share = match part {
                part if part < RAMP_AT => CANARY,
                part if part < FULL_AT || !is_proved => RAMP,
                _ => 1.0,
            };
        }
    }

    /// Tells whether the new version has stood the test and its time has come.
    fn is_due(&self, now: Duration) -> bool {
        self.part(now) >= COMPLETE_AT && self.evidence().0.good >= EVIDENCE
    }

    fn part(&self, now: Duration) -> f64 {
        self.elapsed(now).as_secs_f64() / self.within.as_secs_f64().max(0.001)
    }

    fn take_phase(&mut self, told: &Told) {
        if told.reverted {
            self.settle(Phase::Reverted);
        } else if told.completed {
            self.settle(Phase::Completed);
        }
    }

    fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.began) + self.lead
    }

    /// Takes the time from a node that read the order earlier.
    fn take_time(&mut self, told: &Told, now: Duration) {
        let elapsed = Duration::from_millis(told.elapsed_ms);
        self.lead += elapsed.saturating_sub(self.elapsed(now));
    }

    /// Takes what another node found or has recorded. A version that was taken back stays so, unless
    /// it is recorded as done: at that the platform stops the endpoints of the old version.
    fn settle(&mut self, phase: Phase) {
        if self.phase == Phase::InProgress || phase == Phase::Completed {
            self.phase = phase;
        }
    }
}

/// Says which versions of a service a request may go to.
#[derive(Debug, Clone)]
pub struct Side {
    version: Arc<str>,
    wants_new: bool,
    allows_other: bool,
}

impl Side {
    pub fn admits(&self, version: &str) -> bool {
        (*self.version == *version) == self.wants_new
    }

    /// Tells whether an endpoint of the other side may serve where this one has none listed: the new
    /// ones are still starting, or the old ones have been stopped. A version that was taken back
    /// serves nothing.
    pub fn allows_other(&self) -> bool {
        self.allows_other
    }
}

#[derive(Debug, Default)]
pub struct Shifts {
    shifts: HashMap<Arc<str>, Shift>,
    /// What the store knew of roll-outs before their orders were read, with the time of that.
    remembered: HashMap<Arc<str>, (Told, Duration)>,
}

impl Shifts {
    /// Takes the operators' wish to move a service to a version.
    pub fn order(
        &mut self,
        service: Arc<str>,
        version: Arc<str>,
        within: Duration,
        revision: u64,
        now: Duration,
    ) {
        if self.shifts.get(&service).is_some_and(|shift| shift.revision >= revision) {
            return;
        }
        let mut shift = Shift {
            version,
            within,
            revision,
            began: now,
            lead: Duration::ZERO,
            new: Tally::default(),
            old: Tally::default(),
            peers: HashMap::new(),
            phase: Phase::InProgress,
            share: CANARY,
        };
        if let Some((told, then)) = self.remembered.remove(&service)
            && told.revision == revision
        {
            shift.take_time(&told, then);
            shift.lead += now.saturating_sub(then);
            shift.take_phase(&told);
        }
        self.shifts.insert(service, shift);
    }

    /// Chooses the side of a roll-out for a request; `None` when the service has none open.
    pub fn version(&self, service: &str, hash: u64) -> Option<Side> {
        let shift = self.shifts.get(service)?;
        let version = shift.version.clone();
        let wants_new = match shift.phase {
            Phase::Completed => true,
            Phase::Reverted => false,
            Phase::InProgress => {
                let slot = xxh3::xxh3_64_with_seed(&hash.to_le_bytes(), shift.revision);
                (slot as f64 / u64::MAX as f64) < shift.share
            }
        };
        let allows_other = shift.phase != Phase::Reverted;
        Some(Side { version, wants_new, allows_other })
    }

    /// Gives the new version of a service with the phase of its roll-out.
    pub fn phase(&self, service: &str) -> Option<(&Arc<str>, Phase)> {
        self.shifts.get(service).map(|shift| (&shift.version, shift.phase))
    }

    /// Records how an endpoint of a version answered; a late answer counts as bad.
    pub fn record(&mut self, service: &str, version: &str, is_good: bool) {
        let Some(shift) = self.shifts.get_mut(service) else { return };
        let tally = if *shift.version == *version { &mut shift.new } else { &mut shift.old };
        if is_good {
            tally.good += 1
        } else {
            tally.bad += 1
        }
        shift.judge();
    }

    /// Moves the shares on; `now` is on the clock of `order`.
    pub fn step(&mut self, now: Duration) {
        for shift in self.shifts.values_mut() {
            shift.step(now);
        }
    }

    /// Takes in a good version, or one whose state another node has recorded.
    pub fn settle(&mut self, service: &str, revision: u64, phase: Phase) {
        if let Some(shift) = self.shifts.get_mut(service)
            && shift.revision == revision
        {
            shift.settle(phase);
        }
    }

    /// Gives the roll-outs with their phases as the evidence demands them now.
    pub fn phases(&self, now: Duration) -> Vec<(Arc<str>, Arc<str>, u64, Phase)> {
        let phase = |shift: &Shift| match shift.phase {
            Phase::InProgress if shift.is_due(now) => Phase::Completed,
            phase => phase,
        };
        let entry = |(service, shift): (&Arc<str>, &Shift)| {
            (service.clone(), shift.version.clone(), shift.revision, phase(shift))
        };
        self.shifts.iter().map(entry).collect()
    }

    /// Gives what peers, and nodes that start later, have to know.
    pub fn told(&self, now: Duration) -> Vec<Told> {
        let tell = |(service, shift): (&Arc<str>, &Shift)| Told {
            service: service.clone(),
            revision: shift.revision,
            new: shift.new,
            old: shift.old,
            reverted: shift.phase == Phase::Reverted,
            completed: shift.phase == Phase::Completed,
            elapsed_ms: shift.elapsed(now).as_millis() as u64,
        };
        self.shifts.iter().map(tell).collect()
    }

    /// Gives times and phases without evidence, for a start after all nodes were lost.
    pub fn times(&self, now: Duration) -> Vec<Told> {
        let mut told = self.told(now);
        for told in &mut told {
            (told.new, told.old) = (Tally::default(), Tally::default());
        }
        told
    }

    /// Takes what `times` gave `age` ago, for roll-outs whose orders this node has read or will read.
    pub fn remember(&mut self, times: Vec<Told>, age: Duration, now: Duration) {
        for mut told in times {
            told.elapsed_ms += age.as_millis() as u64;
            match self.shifts.get_mut(&told.service) {
                Some(shift) if shift.revision == told.revision => {
                    shift.take_time(&told, now);
                    shift.take_phase(&told);
                }
                _ => {
                    self.remembered.insert(told.service.clone(), (told, now));
                }
            }
        }
    }

    /// Takes what a peer told at `now`.
    pub fn hear(&mut self, peer: &Arc<str>, start: u64, told: Vec<Told>, now: Duration) {
        for told in told {
            let Some(shift) = self.shifts.get_mut(&told.service) else { continue };
            if shift.revision != told.revision {
                continue;
            }
            shift.take_time(&told, now);
            shift.peers.insert((peer.clone(), start), (told.new, told.old));
            shift.take_phase(&told);
            shift.judge();
        }
    }
}
