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
/// Bad answers after which a version is taken back whatever its good ones.
const BAD_LIMIT: u64 = 15;
/// Answers before the share of bad ones tells anything.
const EVIDENCE: u64 = 8;
/// Share of bad answers, beyond that of the old version, which shows a bad version.
const BAD_SHARE: f64 = 0.15;

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

    fn bad_share(self) -> f64 {
        self.bad as f64 / (self.good + self.bad).max(1) as f64
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
}

#[derive(Debug)]
struct Shift {
    version: Arc<str>,
    within: Duration,
    revision: u64,
    began: Duration,
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
        let (new, old) = self.evidence();
        let excess = new.bad_share() - old.bad_share();
        let enough = new.good + new.bad >= EVIDENCE;
        if enough && excess > BAD_SHARE || new.bad >= BAD_LIMIT && excess > BAD_SHARE / 3.0 {
            log::warn!("shift: event=reverted version={} new={new:?} old={old:?}", self.version);
            self.settle(Phase::Reverted);
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
        let elapsed = now.saturating_sub(self.began).as_secs_f64();
        elapsed / self.within.as_secs_f64().max(0.001)
    }

    /// Ends the roll-out; a version that was taken back stays so.
    fn settle(&mut self, phase: Phase) {
        if self.phase != Phase::Reverted {
            self.phase = phase;
        }
    }
}

/// Says which versions of a service a request may go to.
#[derive(Debug, Clone)]
pub struct Side {
    version: Arc<str>,
    wants_new: bool,
}

impl Side {
    pub fn admits(&self, version: &str) -> bool {
        (*self.version == *version) == self.wants_new
    }
}

#[derive(Debug, Default)]
pub struct Shifts {
    shifts: HashMap<Arc<str>, Shift>,
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
        let shift = Shift {
            version,
            within,
            revision,
            began: now,
            new: Tally::default(),
            old: Tally::default(),
            peers: HashMap::new(),
            phase: Phase::InProgress,
            share: CANARY,
        };
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
        Some(Side { version, wants_new })
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

    pub fn told(&self) -> Vec<Told> {
        let tell = |(service, shift): (&Arc<str>, &Shift)| Told {
            service: service.clone(),
            revision: shift.revision,
            new: shift.new,
            old: shift.old,
            reverted: shift.phase == Phase::Reverted,
            completed: shift.phase == Phase::Completed,
        };
        self.shifts.iter().map(tell).collect()
    }

    pub fn hear(&mut self, peer: &Arc<str>, start: u64, told: Vec<Told>) {
        for told in told {
            let Some(shift) = self.shifts.get_mut(&told.service) else { continue };
            if shift.revision != told.revision {
                continue;
            }
            shift.peers.insert((peer.clone(), start), (told.new, told.old));
            if told.reverted {
                shift.settle(Phase::Reverted);
            } else if told.completed {
                shift.settle(Phase::Completed);
            }
            shift.judge();
        }
    }
}
