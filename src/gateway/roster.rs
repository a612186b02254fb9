//! Endpoints that the platform lists, with the health of each as this node observes it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::cold;
use crate::gateway::evacuation::Evacuations;
use crate::gateway::platform::{Change, Endpoint};
use crate::gateway::rate_limit::Report;
use crate::gateway::statement::Memory;

/// Consecutive failures after which an endpoint is paused.
const MAX_FAILURES: u32 = 3;
/// Moving average of the failure share above which an endpoint is paused.
///
/// It catches endpoints that fail part of their requests while they pass their health check.
const MAX_FAILURE_SHARE: f64 = 0.3;
/// Weight of one request in the moving average of the failure share.
const FAILURE_WEIGHT: f64 = 0.1;
/// Weight of one response in the slowness of an endpoint. A node sees few responses of each endpoint, and
/// most of their differences come from other requests in the same batch.
const SLOWNESS_WEIGHT: f64 = 0.07;
/// First pause of a failing endpoint; further pauses double up to `MAX_PAUSE`.
const MIN_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// Time without failures after which the next pause is the shortest again, and time for which an
/// endpoint that has left is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Time for which the start of an endpoint that has left is remembered. A store that is restored from a copy
/// lists the endpoint again.
const REMEMBER_GONE: Duration = Duration::from_secs(60);
/// Time after a store outage within which live endpoints register again; until then an endpoint whose
/// entry has disappeared is still used.
const REREGISTER_TIME: Duration = Duration::from_secs(2);

/// Time for which a failing endpoint gets no requests, with the failures that caused it.
#[derive(Debug, PartialEq)]
pub struct Pause {
    pub length: Duration,
    /// Consecutive failures.
    pub failures: u32,
    /// Moving average of the share of failures.
    pub failure_share: f64,
}

/// Health of an endpoint as this node observes it.
#[derive(Debug, Default, Clone)]
pub struct Health {
    failures: u32,
    failure_share: f64,
    pause: Duration,
    paused_until: Duration,
    /// Set by a pause and cleared by the next success.
    was_paused: bool,
    last_failure: Duration,
    /// Moving average of the observed time to the first event relative to the prediction with the
    /// service's slowdown; 0 until the first observation.
    slowness: f64,
}

impl Health {
    /// Records a success; returns whether it is the first one after a pause.
    pub fn record_success(&mut self) -> bool {
        self.failures = 0;
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        std::mem::take(&mut self.was_paused)
    }

    /// Records a failure of the endpoint, such as a refused connection, a reset or a broken response;
    /// returns the pause that it triggers, if any.
    pub fn record_failure(&mut self, now: Duration) -> Option<Pause> {
        self.failures += 1;
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
        if now.saturating_sub(self.last_failure) > FORGET_AFTER {
            self.pause = Duration::ZERO;
        }
        self.last_failure = now;
        if self.failures >= MAX_FAILURES || self.failure_share > MAX_FAILURE_SHARE {
            self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
            self.paused_until = now + self.pause;
            self.was_paused = true;
            let pause = Pause {
                length: self.pause,
                failures: self.failures,
                failure_share: self.failure_share,
            };
            self.failures = MAX_FAILURES - 1;
            self.failure_share *= 0.7;
            return Some(pause);
        }
        None
    }

    /// Records the time to the first event as a ratio to the prediction with the service's slowdown.
    pub fn record_slowness(&mut self, ratio: f64) {
        let ratio = ratio.clamp(0.25, 20.0);
        let slowness = self.slowness();
        self.slowness = slowness + (ratio - slowness) * SLOWNESS_WEIGHT;
    }

    /// Returns the moving average of the recorded ratios; 1 before the first one.
    pub fn slowness(&self) -> f64 {
        if self.slowness == 0.0 { 1.0 } else { self.slowness }
    }

    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }
}

/// A listed endpoint with its health and departure.
#[derive(Debug, Clone)]
pub struct Entry {
    pub endpoint: Endpoint,
    pub health: Health,
    /// Time at which the endpoint will be gone; `None` unless it is draining.
    pub leaves_at: Option<Duration>,
    /// Whether `leaves_at` is an assumption, as the endpoint itself has not said when it will be gone.
    is_departure_assumed: bool,
    /// Time until which the endpoint is still used although its entry disappeared after a store outage.
    missing_until: Option<Duration>,
}

impl Entry {
    /// Returns whether the endpoint may get new requests.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.avoidance(now).is_none()
    }

    /// Returns the reason for which the endpoint may not get new requests, if any.
    pub fn avoidance(&self, now: Duration) -> Option<&'static str> {
        if self.endpoint.draining {
            Some("leaving")
        } else if self.is_given_up(now) {
            Some("missing")
        } else if self.health.is_paused(now) {
            Some("failing")
        } else {
            None
        }
    }

    /// Returns whether the endpoint's entry disappeared after a store outage.
    pub fn is_missing(&self) -> bool {
        self.missing_until.is_some()
    }

    /// Returns whether the endpoint's entry disappeared after a store outage and did not come back in time.
    pub fn is_given_up(&self, now: Duration) -> bool {
        self.missing_until.is_some_and(|until| now >= until)
    }

    /// Returns whether the endpoint is listed and not draining, whatever its health.
    pub fn is_listed(&self) -> bool {
        !self.endpoint.draining && self.missing_until.is_none()
    }
}

/// The listed endpoints by identifier.
#[derive(Debug, Default)]
pub struct Roster {
    entries: HashMap<Arc<str>, Entry>,
    /// Endpoints whose entries were removed, with the time at which they will be gone.
    departed: HashMap<Arc<str>, Duration>,
    /// Starts of endpoints that have left, with the time at which their entries were removed.
    gone: HashMap<(Arc<str>, u64), Duration>,
    /// What the endpoints have stated about themselves, whether they have an entry or not.
    pub stated: Memory,
    /// Failure domains whose endpoints get no requests.
    pub evacuations: Evacuations,
    last_outage: Option<Duration>,
}

impl Roster {
    /// Records a failed read of the store; entries that disappear soon after may come back.
    pub fn record_store_outage(&mut self, now: Duration) {
        self.last_outage = Some(now);
    }

    /// Returns the time of this node's last failed read of the store.
    pub fn last_outage(&self) -> Option<Duration> {
        self.last_outage
    }

    /// Applies a change; returns the endpoint if it is leaving or its entry has disappeared.
    ///
    /// An endpoint that doesn't report when it will be gone is assumed to stay for `drain`.
    pub fn apply(&mut self, change: Change, drain: Duration, now: Duration) -> Option<Arc<str>> {
        self.apply_read(change, self.last_outage, drain, now)
    }

    /// Applies a change that was read by a node whose last failed read of the store was at `outage`.
    ///
    /// Only that node knows whether an entry disappeared because of an outage: another one may have been
    /// cut off from a store that works.
    pub fn apply_read(
        &mut self,
        change: Change,
        outage: Option<Duration>,
        drain: Duration,
        now: Duration,
    ) -> Option<Arc<str>> {
        match change {
            Change::Updated(mut endpoint) => {
                let id = endpoint.id.clone();
                self.stated.observe(&endpoint);
                let known = self.entries.get(&id);
                let is_new = known.is_none_or(|known| {
                    known.is_missing() || known.endpoint.started_ms < endpoint.started_ms
                });
                if self.stated.cold.observe(&endpoint, is_new, now) {
                    cold::log_cold(&id, "list");
                }
                self.keep_leaving(&mut endpoint);
                if !endpoint.draining {
                    self.gone.remove(&(id.clone(), endpoint.started_ms));
                }
                let leaving = endpoint.draining.then(|| id.clone());
                let entry = self.entries.entry(id).or_insert_with(|| Entry {
                    endpoint: endpoint.clone(),
                    health: Health::default(),
                    leaves_at: None,
                    is_departure_assumed: false,
                    missing_until: None,
                });
                if entry.endpoint.started_ms != endpoint.started_ms {
                    entry.health = Health::default();
                    entry.leaves_at = None;
                }
                if endpoint.draining {
                    if entry.is_departure_assumed && endpoint.leaves_in.is_some() {
                        entry.leaves_at = None;
                    }
                    entry.is_departure_assumed = endpoint.leaves_in.is_none();
                    let remaining = endpoint.leaves_in.unwrap_or(drain);
                    entry.leaves_at.get_or_insert(now + remaining);
                }
                entry.missing_until = None;
                entry.endpoint = endpoint;
                leaving
            }
            Change::Removed(id) => {
                let until = outage.map(|outage| outage + REREGISTER_TIME);
                let until = until.filter(|until| now < *until);
                if let Some(until) = until
                    && let Some(entry) = self.entries.get_mut(&id)
                {
                    entry.missing_until = Some(until);
                } else if let Some(started_ms) = self.depart(&id, drain, now) {
                    self.gone.insert((id.clone(), started_ms), now);
                }
                Some(id)
            }
            // No outage explains a row that is there. It may be mended, so this start isn't known to be gone.
            Change::Unreadable { id, .. } => {
                self.depart(&id, drain, now)?;
                Some(id)
            }
        }
    }

    /// Drops an endpoint, which serves what it runs for as long as a draining one; returns its start if it was known.
    fn depart(&mut self, id: &Arc<str>, drain: Duration, now: Duration) -> Option<u64> {
        let entry = self.entries.remove(id)?;
        let leaves_at = entry.leaves_at.unwrap_or(now + drain);
        self.departed.insert(id.clone(), leaves_at);
        Some(entry.endpoint.started_ms)
    }

    /// Sets an endpoint that the list shows as ready to leaving if this start of it is known to leave: a leaving
    /// endpoint never stays, whatever an older row says.
    pub fn keep_leaving(&self, endpoint: &mut Endpoint) {
        if endpoint.draining || !self.stated.is_leaving(&endpoint.id, endpoint.started_ms) {
            return;
        }
        endpoint.draining = true;
        let known = self.entries.get(&endpoint.id).map(|entry| &entry.endpoint);
        let known = known.filter(|known| known.started_ms == endpoint.started_ms);
        endpoint.leaves_in = known.and_then(|known| known.leaves_in);
    }

    /// Returns whether the list shows a later start of an endpoint.
    pub fn has_later_start(&self, endpoint: &Endpoint) -> bool {
        let listed = self.entries.get(&endpoint.id);
        listed.is_some_and(|entry| entry.endpoint.started_ms > endpoint.started_ms)
    }

    /// Records that an endpoint itself has said that it leaves; returns whether its entry shows that only now. It
    /// holds for the life of this start of the endpoint, whatever the list says.
    pub fn record_leaving(
        &mut self,
        id: &str,
        started_ms: u64,
        drain: Duration,
        now: Duration,
    ) -> bool {
        let listed = self.entries.get_mut(id);
        if listed.as_ref().is_some_and(|entry| entry.endpoint.started_ms > started_ms) {
            return false;
        }
        self.stated.record_leaving(&id.into(), started_ms);
        let Some(entry) = listed.filter(|entry| !entry.endpoint.draining) else { return false };
        entry.endpoint.draining = true;
        entry.leaves_at = Some(now + drain);
        entry.is_departure_assumed = true;
        true
    }

    /// Merges the limits that a peer, or another failure domain, reports of listed endpoints; returns those that
    /// have changed, with the limits before and now. `delay` is the time that the datagram took.
    pub fn merge_limits(
        &mut self,
        reports: &[Report],
        is_other_domain: bool,
        delay: Duration,
        now: Duration,
    ) -> Vec<(Arc<str>, Option<f64>, Option<f64>)> {
        let find = |id: &str, started_ms: u64| {
            let endpoint = &self.entries.get(id)?.endpoint;
            (endpoint.started_ms == started_ms).then_some(&endpoint.domain)
        };
        self.stated.merge_limits(reports, is_other_domain, find, delay, now)
    }

    /// Merges the suspicions that a peer, or another failure domain, reports of listed endpoints; returns those that
    /// are newly cold. `delay` is the time that the datagram took.
    pub fn merge_cold(
        &mut self,
        reports: &[cold::Report],
        is_other_domain: bool,
        delay: Duration,
        now: Duration,
    ) -> Vec<Arc<str>> {
        let find = |id: &str| self.entries.get(id).map(|entry| &entry.endpoint);
        self.stated.cold.merge(reports, is_other_domain, find, delay, now)
    }

    /// Removes from a complete list the endpoints that had left before the store was restored from a copy.
    /// One that is alive after all reports again.
    pub fn drop_gone(&self, changes: &mut Vec<Change>) {
        changes.retain(|change| match change {
            Change::Updated(endpoint) => {
                let start = (endpoint.id.clone(), endpoint.started_ms);
                self.entries.contains_key(&endpoint.id) || !self.gone.contains_key(&start)
            }
            Change::Removed(_) | Change::Unreadable { .. } => true,
        });
    }

    /// Applies a complete list: endpoints that it doesn't hold are gone.
    pub fn replace(&mut self, changes: Vec<Change>, drain: Duration, now: Duration) {
        let mut listed: Vec<Arc<str>> = Vec::new();
        for change in changes {
            if let Change::Updated(endpoint) = &change {
                listed.push(endpoint.id.clone());
            }
            self.apply(change, drain, now);
        }
        let missing: Vec<_> =
            self.entries.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in missing {
            self.apply(Change::Removed(id), drain, now);
        }
        self.stated.cold.record_list();
    }

    /// Returns the time at which an endpoint will be gone; `None` while it isn't leaving.
    ///
    /// Some endpoints leave without draining first: their entry disappears, and they run on for as long
    /// as a draining endpoint.
    pub fn leaves_at(&self, id: &str, started_ms: u64) -> Option<Duration> {
        match self.entries.get(id) {
            Some(entry) if entry.endpoint.started_ms == started_ms => entry.leaves_at,
            _ => self.departed.get(id).copied(),
        }
    }

    /// Drops entries that did not come back after a store outage, and what is known of endpoints that are long
    /// gone.
    pub fn expire(&mut self, now: Duration) {
        self.gone.retain(|_, removed_at| now.saturating_sub(*removed_at) < REMEMBER_GONE);
        self.departed.retain(|_, leaves_at| now < *leaves_at + FORGET_AFTER);
        self.entries.retain(|_, entry| entry.missing_until.is_none_or(|until| now < until));
        self.stated.refresh(|id| self.entries.contains_key(id), now);
    }

    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    pub fn health(&mut self, id: &str) -> Option<&mut Health> {
        self.entries.get_mut(id).map(|entry| &mut entry.health)
    }

    /// Returns whether an endpoint is in an evacuated failure domain.
    pub fn is_evacuated(&self, endpoint: &Endpoint) -> bool {
        self.evacuations.is_evacuated(&endpoint.domain)
    }

    /// Returns the failure domains with endpoints that don't leave.
    pub fn listed_domains(&self) -> BTreeSet<Arc<str>> {
        let listed = self.entries.values().filter(|entry| entry.is_listed());
        listed.map(|entry| entry.endpoint.domain.clone()).collect()
    }

    /// Applies the end of a domain's evacuation: its endpoints have idled, so that each is suspected to be cold and
    /// gets no burst of requests. Returns those that are newly cold.
    pub fn resume_domain(&mut self, domain: &str, now: Duration) -> Vec<Arc<str>> {
        let entries = self.entries.values().filter(|entry| *entry.endpoint.domain == *domain);
        let cold = &mut self.stated.cold;
        let cooled = entries.filter(|entry| cold.suspect(&entry.endpoint, now));
        cooled.map(|entry| entry.endpoint.id.clone()).collect()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the endpoints of a service, in no particular order.
    pub fn for_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Entry> {
        self.entries.values().filter(move |entry| &*entry.endpoint.service == service)
    }
}
