//! Quarantine of prompt parts that crash endpoints.
//!
//! An engine may crash on one part of a prompt, whatever else the request holds. Such requests end one
//! endpoint after the other, with all streams that run there. The part is found by what the requests share
//! that waited for their first events when endpoints crashed, and with which no answer has begun since. All
//! nodes hear of each crash, so that a few crashes in the whole fleet suffice.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::gateway::platform::{Endpoint, Prompt};

/// Crashes after which a part with which no answer has ever begun is quarantined.
const MIN_CRASHES: usize = 3;
/// Crashes for a part with which answers began before the first of them, and for several parts between
/// which the crashes don't decide.
const MIN_CRASHES_AMBIGUOUS: usize = 5;
/// Endpoints that crash within this time of each other may have a common cause, such as the loss of a rack,
/// and count as one crash.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(200);
/// Time after which a crash is no evidence any more.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);
/// Time after its last crash for which a part stays in quarantine. Then one request at a time tries it, on one
/// node, and without such a trial the part is forgotten after the same time.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Time within which a trial ends in a start or a crash.
const TRIAL_TIME: Duration = Duration::from_secs(30);
/// Age up to which crashes are sent to peers.
const REPORT_TIME: Duration = Duration::from_secs(10);
/// Bounds on the memory that callers can fill.
const MAX_CRASHES: usize = 64;
const MAX_REPORTED_CRASHES: usize = 16;
const MAX_PARTS_PER_CRASH: usize = 32;
const MAX_QUARANTINED: usize = 64;
const MAX_STARTS: usize = 4_096;

/// Hashes of prompt parts.
type Parts = SmallVec<[u64; 8]>;

/// Endpoint, with its start in Unix milliseconds.
type Run = (Arc<str>, u64);

/// Crash of an endpoint, with the shared parts of the requests whose answers had not begun.
#[derive(Debug)]
struct Crash {
    run: Run,
    at: Duration,
    parts: Parts,
}

#[derive(Debug)]
struct Entry {
    /// Time of the last crash.
    since: Duration,
    /// Start of the running trial.
    trial: Option<Duration>,
}

/// What a node knows about crashes, for its peers. Ages are in milliseconds.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    crashes: Vec<(Run, u64, Parts)>,
    /// Last start of an answer with a part that the crashes name or that was released.
    starts: Vec<(u64, u64)>,
    quarantined: Vec<(u64, u64)>,
}

/// Parts that crash endpoints, and the evidence for it.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Parts of the requests that failed on an endpoint which may have crashed.
    suspected: HashMap<Run, Parts>,
    /// In the order in which this node heard of them.
    crashes: Vec<Crash>,
    /// Time at which an answer last began with a part.
    starts: HashMap<u64, Duration>,
    quarantined: HashMap<u64, Entry>,
    /// Parts that peers have to release, with the time since which this node tells them.
    released: Vec<(u64, Duration)>,
}

/// Returns the hashes of the parts that other requests may share: all but the last.
fn shared_parts(prompt: &Prompt) -> impl Iterator<Item = u64> {
    let shared = &prompt.parts[..prompt.parts.len().saturating_sub(1)];
    shared.iter().map(|part| part.hash)
}

/// Adds a part to those of a crash. If there are too many, the parts with which answers began last are left out,
/// as they are the least likely to crash endpoints.
fn add_part(parts: &mut Parts, part: u64, starts: &HashMap<u64, Duration>) {
    if parts.contains(&part) {
        return;
    }
    if parts.len() < MAX_PARTS_PER_CRASH {
        parts.push(part);
        return;
    }
    let latest = parts.iter_mut().max_by_key(|known| starts.get(known));
    if let Some(latest) = latest.filter(|latest| starts.get(&part) < starts.get(latest)) {
        *latest = part;
    }
}

impl Quarantine {
    /// Notes that a request failed on an endpoint before its answer had begun; returns whether the caller
    /// has to check if the endpoint crashed, and to pass the result to `conclude`.
    pub fn suspect(&mut self, endpoint: &Endpoint, prompt: &Prompt) -> bool {
        let run = (endpoint.id.clone(), endpoint.started_ms);
        if let Some(crash) = self.crashes.iter_mut().find(|crash| crash.run == run) {
            shared_parts(prompt).for_each(|part| add_part(&mut crash.parts, part, &self.starts));
            return false;
        }
        let is_new = !self.suspected.contains_key(&run);
        let parts = self.suspected.entry(run).or_default();
        shared_parts(prompt).for_each(|part| add_part(parts, part, &self.starts));
        is_new
    }

    /// Records whether a suspected endpoint has crashed; returns the parts that are quarantined for it.
    pub fn conclude(&mut self, endpoint: &Endpoint, has_crashed: bool, now: Duration) -> Parts {
        let run = (endpoint.id.clone(), endpoint.started_ms);
        match self.suspected.remove(&run) {
            Some(parts) if has_crashed => {
                self.add_crash(Crash { run, at: now, parts });
                self.judge(now)
            }
            _ => Parts::new(),
        }
    }

    /// Records that an answer to a prompt has begun; returns the parts that this releases from quarantine.
    pub fn record_start(&mut self, prompt: &Prompt, now: Duration) -> Parts {
        let parts: Parts = shared_parts(prompt).filter(|part| self.add_start(*part, now)).collect();
        parts.iter().for_each(|part| self.announce_release(*part, now));
        self.limit_starts();
        parts
    }

    /// Returns the time until which a request is refused because of a part of its prompt. Once it has
    /// passed, `may_try` permits a trial.
    pub fn refusal(&self, prompt: &Prompt, may_try: bool, now: Duration) -> Option<Duration> {
        let entries = || shared_parts(prompt).filter_map(|part| self.quarantined.get(&part));
        let end = entries().map(|entry| entry.since + QUARANTINE_TIME).max()?;
        let is_tried =
            |entry: &Entry| entry.trial.is_some_and(|trial| now.saturating_sub(trial) < TRIAL_TIME);
        let is_refused = now < end || !may_try || entries().any(is_tried);
        is_refused.then(|| end.max(now + TRIAL_TIME))
    }

    /// Notes that a request is sent that `refusal` admitted, so that no other one tries the same part.
    pub fn start_trial(&mut self, prompt: &Prompt, now: Duration) {
        for part in shared_parts(prompt) {
            if let Some(entry) = self.quarantined.get_mut(&part) {
                entry.trial = Some(now);
            }
        }
    }

    /// Returns whether another attempt at a failed request might crash one more endpoint.
    pub fn is_suspect(&self, prompt: &Prompt) -> bool {
        shared_parts(prompt).any(|part| {
            let is_unproven = !self.starts.contains_key(&part);
            let is_in_crash = || self.crashes.iter().any(|crash| crash.parts.contains(&part));
            self.quarantined.contains_key(&part) || is_unproven && is_in_crash()
        })
    }

    pub fn quarantined_count(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns what the peers have to know.
    pub fn report(&mut self, now: Duration) -> Report {
        self.expire(now);
        let age = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let is_recent = |crash: &&Crash| now.saturating_sub(crash.at) < REPORT_TIME;
        let recent = self.crashes.iter().rev().filter(is_recent).take(MAX_REPORTED_CRASHES);
        let crashes: Vec<_> =
            recent.map(|crash| (crash.run.clone(), age(crash.at), crash.parts.clone())).collect();
        let mut named: Vec<u64> =
            crashes.iter().flat_map(|(.., parts)| parts.iter().copied()).collect();
        named.extend(self.released.iter().map(|(part, _)| *part));
        named.sort_unstable();
        named.dedup();
        let start = |part: u64| Some((part, age(*self.starts.get(&part)?)));
        let starts = named.into_iter().filter_map(start).collect();
        Report { crashes, starts, quarantined: self.stored(now) }
    }

    /// Merges the report of a peer; returns the parts that are quarantined by it.
    pub fn merge(&mut self, report: &Report, now: Duration) -> Parts {
        let at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        for (part, age_ms) in &report.starts {
            self.add_start(*part, at(*age_ms));
        }
        for (run, age_ms, parts) in &report.crashes {
            let parts = parts.iter().take(MAX_PARTS_PER_CRASH).copied().collect();
            self.add_crash(Crash { run: run.clone(), at: at(*age_ms), parts });
        }
        let mut added = self.restore(&report.quarantined, now);
        if !report.crashes.is_empty() {
            added.extend(self.judge(now));
        }
        added
    }

    /// Returns the parts in quarantine with their ages in milliseconds, to be stored for a restart after
    /// the loss of all nodes.
    pub fn stored(&self, now: Duration) -> Vec<(u64, u64)> {
        let age = |entry: &Entry| now.saturating_sub(entry.since).as_millis() as u64;
        self.quarantined.iter().map(|(part, entry)| (*part, age(entry))).collect()
    }

    /// Restores parts that `stored` returned; returns those that are new.
    pub fn restore(&mut self, stored: &[(u64, u64)], now: Duration) -> Parts {
        let mut added = Parts::new();
        for (part, age_ms) in stored.iter().take(MAX_QUARANTINED) {
            let age = Duration::from_millis(*age_ms);
            let since = now.saturating_sub(age);
            let has_started = self.starts.get(part).is_some_and(|start| *start > since);
            if has_started {
                self.announce_release(*part, now);
            } else if age < 2 * QUARANTINE_TIME && self.add_quarantined(*part, since) {
                added.push(*part);
            }
        }
        added
    }

    fn add_crash(&mut self, crash: Crash) {
        for part in &crash.parts {
            if let Some(entry) = self.quarantined.get_mut(part) {
                entry.since = entry.since.max(crash.at);
                entry.trial = None;
            }
        }
        if let Some(known) = self.crashes.iter_mut().find(|known| known.run == crash.run) {
            let parts = crash.parts.into_iter();
            parts.for_each(|part| add_part(&mut known.parts, part, &self.starts));
            return;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
    }

    /// Records a start; returns whether it releases the part from quarantine.
    fn add_start(&mut self, part: u64, at: Duration) -> bool {
        let start = self.starts.entry(part).or_default();
        *start = (*start).max(at);
        let is_released = self.quarantined.get(&part).is_some_and(|entry| at > entry.since);
        if is_released {
            self.quarantined.remove(&part);
        }
        is_released
    }

    /// Sends the start of a part that was released to the peers for some time.
    fn announce_release(&mut self, part: u64, now: Duration) {
        self.released.retain(|(released, _)| *released != part);
        if self.released.len() < MAX_QUARANTINED {
            self.released.push((part, now));
        }
    }

    /// Drops the older half of the starts when there are too many.
    fn limit_starts(&mut self) {
        if self.starts.len() > MAX_STARTS {
            let mut times: Vec<Duration> = self.starts.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(MAX_STARTS / 2);
            let median = *median;
            self.starts.retain(|_, at| *at > median);
        }
    }

    /// Puts a part into quarantine or extends it; returns whether the part is new.
    fn add_quarantined(&mut self, part: u64, since: Duration) -> bool {
        if let Some(entry) = self.quarantined.get_mut(&part) {
            entry.since = entry.since.max(since);
            return false;
        }
        if self.quarantined.len() == MAX_QUARANTINED {
            let oldest = self.quarantined.iter().min_by_key(|(_, entry)| entry.since);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.quarantined.remove(&oldest);
            }
        }
        self.quarantined.insert(part, Entry { since, trial: None });
        true
    }

    /// Quarantines the parts that the crashes point at. Crashes that a quarantined part explains are no
    /// evidence against the others in the same requests.
    fn judge(&mut self, now: Duration) -> Parts {
        self.expire(now);
        let mut added = Parts::new();
        loop {
            let counts = self.unexplained_crashes();
            let threshold = |part: &u64| match self.starts.contains_key(part) {
                true => MIN_CRASHES_AMBIGUOUS,
                false => MIN_CRASHES,
            };
            let blamed: Vec<_> =
                counts.iter().filter(|(part, count)| **count >= threshold(part)).collect();
            let Some(most) = blamed.iter().map(|(_, count)| **count).max() else { return added };
            let parts: Parts = blamed
                .iter()
                .filter(|(_, count)| **count == most)
                .map(|(part, _)| **part)
                .collect();
            if parts.len() > 1 && most < MIN_CRASHES_AMBIGUOUS {
                return added;
            }
            for part in parts {
                self.add_quarantined(part, now);
                added.push(part);
            }
        }
    }

    /// Returns for each part the number of crashes since its last start that no quarantined part explains.
    fn unexplained_crashes(&self) -> HashMap<u64, usize> {
        let is_explained =
            |crash: &&Crash| crash.parts.iter().any(|part| self.quarantined.contains_key(part));
        let mut crashes: Vec<&Crash> =
            self.crashes.iter().filter(|crash| !is_explained(crash)).collect();
        crashes.sort_by_key(|crash| crash.at);
        let mut counts: HashMap<u64, (usize, Duration)> = HashMap::new();
        for crash in crashes {
            for part in &crash.parts {
                if self.starts.get(part).is_some_and(|start| *start > crash.at) {
                    continue;
                }
                let (count, last) = counts.entry(*part).or_default();
                if *count == 0 || crash.at - *last >= COMMON_CAUSE_TIME {
                    (*count, *last) = (*count + 1, crash.at);
                }
            }
        }
        counts.into_iter().map(|(part, (count, _))| (part, count)).collect()
    }

    fn expire(&mut self, now: Duration) {
        self.crashes.retain(|crash| now.saturating_sub(crash.at) < CRASH_LIFETIME);
        self.released.retain(|(_, at)| now.saturating_sub(*at) < REPORT_TIME);
        let is_kept = |entry: &Entry| now.saturating_sub(entry.since) < 2 * QUARANTINE_TIME;
        self.quarantined.retain(|_, entry| is_kept(entry));
    }
}
