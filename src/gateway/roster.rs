//! Endpoints as the platform lists them, with the node's own evidence about each.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::platform::{Change, Endpoint};

/// Failures in a row after which an endpoint gets no requests for a while.
const FAILURES: u32 = 3;
/// Running share of failures above which an endpoint gets no requests for a while.
///
/// It answers endpoints that fail part of their requests while their health check is good.
const FAILURE_SHARE: f64 = 0.3;
/// Weight of one request in the running share of failures.
const SHARE_WEIGHT: f64 = 0.1;
/// Weight of one answer in the slowness of an endpoint; a node sees few answers of each, and most of
/// their differences come from what runs beside them.
const SPEED_WEIGHT: f64 = 0.07;
/// First and longest pause of a failing endpoint; it doubles from one to the other.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// Time without failures after which the pause starts small again.
const FORGIVE: Duration = Duration::from_secs(10);
/// Time after an outage of the store in which living endpoints register again; until then an entry
/// that has vanished is still believed.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Time for which a failing endpoint gets nothing, with what led to it.
#[derive(Debug, PartialEq)]
pub struct Pause {
    pub length: Duration,
    /// Failures in a row.
    pub failures: u32,
    /// Running share of failures.
    pub share: f64,
}

/// Holds what the node has seen of an endpoint itself.
#[derive(Debug, Default, Clone)]
pub struct Health {
    failures: u32,
    share: f64,
    pause: Duration,
    paused_until: Duration,
    /// Set from a pause to the next good answer.
    was_paused: bool,
    last_failure: Duration,
    /// Observed time to the first event against the one at the pace of the service; 1 until something
    /// was seen.
    slowness: f64,
}

impl Health {
    /// Counts a good answer; tells whether it is the first one after a pause.
    pub fn record_success(&mut self) -> bool {
        self.failures = 0;
        self.share *= 1.0 - SHARE_WEIGHT;
        std::mem::take(&mut self.was_paused)
    }

    /// Counts a failure of the endpoint itself: refused connections, resets, broken answers. Gives
    /// the pause that begins with it.
    pub fn record_failure(&mut self, now: Duration) -> Option<Pause> {
        self.failures += 1;
        self.share += (1.0 - self.share) * SHARE_WEIGHT;
        if now.saturating_sub(self.last_failure) > FORGIVE {
            self.pause = Duration::ZERO;
        }
        self.last_failure = now;
        if self.failures >= FAILURES || self.share > FAILURE_SHARE {
            self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
            self.paused_until = now + self.pause;
            self.was_paused = true;
            let pause = Pause { length: self.pause, failures: self.failures, share: self.share };
            self.failures = FAILURES - 1;
            self.share *= 0.7;
            return Some(pause);
        }
        None
    }

    /// Records how long the first event took against the time at the pace of the service.
    pub fn record_speed(&mut self, ratio: f64) {
        let ratio = ratio.clamp(0.25, 20.0);
        let slowness = self.slowness();
        self.slowness = slowness + (ratio - slowness) * SPEED_WEIGHT;
    }

    pub fn slowness(&self) -> f64 {
        if self.slowness == 0.0 { 1.0 } else { self.slowness }
    }

    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }
}

#[derive(Debug, Clone)]
pub struct Entry {
    pub endpoint: Endpoint,
    pub health: Health,
    /// Time at which the endpoint will be gone, once it is known to leave.
    pub leaves_at: Option<Duration>,
    /// Time until which an entry is believed that vanished after an outage of the store.
    missing_until: Option<Duration>,
}

impl Entry {
    /// Tells whether the endpoint may get new requests.
    pub fn is_usable(&self, now: Duration) -> bool {
        let believed = self.missing_until.is_none_or(|until| now < until);
        !self.endpoint.draining && believed && !self.health.is_paused(now)
    }

    /// Tells whether the endpoint is listed and not leaving, whatever its health.
    pub fn is_listed(&self) -> bool {
        !self.endpoint.draining && self.missing_until.is_none()
    }
}

#[derive(Debug, Default)]
pub struct Roster {
    entries: HashMap<Arc<str>, Entry>,
    /// Endpoints whose entries vanished, with the time at which they will be gone.
    departed: HashMap<Arc<str>, Duration>,
    last_trouble: Option<Duration>,
}

impl Roster {
    /// Records that the store didn't answer; entries that vanish soon after may come back.
    pub fn record_trouble(&mut self, now: Duration) {
        self.last_trouble = Some(now);
    }

    /// Takes a change and gives the endpoints that must get nothing more.
    ///
    /// An endpoint that doesn't tell when it will be gone is there for `drain` at least.
    pub fn apply(&mut self, change: Change, drain: Duration, now: Duration) -> Option<Arc<str>> {
        match change {
            Change::Seen(endpoint) => {
                let id = endpoint.id.clone();
                let leaves = endpoint.draining.then(|| id.clone());
                let entry = self.entries.entry(id).or_insert_with(|| Entry {
                    endpoint: endpoint.clone(),
                    health: Health::default(),
                    leaves_at: None,
                    missing_until: None,
                });
                if entry.endpoint.born_ms != endpoint.born_ms {
                    entry.health = Health::default();
                    entry.leaves_at = None;
                }
                if endpoint.draining {
                    let left = endpoint.leaves_in.unwrap_or(drain);
                    entry.leaves_at.get_or_insert(now + left);
                }
                entry.missing_until = None;
                entry.endpoint = endpoint;
                leaves
            }
            Change::Gone(id) => {
                let until = self.last_trouble.map(|trouble| trouble + RETURN_TIME);
                let until = until.filter(|until| now < *until);
                if let Some(until) = until
                    && let Some(entry) = self.entries.get_mut(&id)
                {
                    entry.missing_until = Some(until);
                } else if let Some(entry) = self.entries.remove(&id) {
                    let leaves_at = entry.leaves_at.unwrap_or(now + drain);
                    self.departed.insert(id.clone(), leaves_at);
                }
                Some(id)
            }
        }
    }

    /// Takes a complete list: what it doesn't hold is gone.
    pub fn replace(&mut self, changes: Vec<Change>, drain: Duration, now: Duration) {
        let mut listed: Vec<Arc<str>> = Vec::new();
        for change in changes {
            if let Change::Seen(endpoint) = &change {
                listed.push(endpoint.id.clone());
            }
            self.apply(change, drain, now);
        }
        let missing: Vec<_> =
            self.entries.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in missing {
            self.apply(Change::Gone(id), drain, now);
        }
    }

    /// Gives the time at which an endpoint will be gone; `None` while it stays.
    ///
    /// Some endpoints leave without saying so: their entry vanishes, and they go on for as long as
    /// one that drains.
    pub fn leaves_at(&self, id: &str, born_ms: u64) -> Option<Duration> {
        match self.entries.get(id) {
            Some(entry) if entry.endpoint.born_ms == born_ms => entry.leaves_at,
            _ => self.departed.get(id).copied(),
        }
    }

    /// Drops entries that did not come back after an outage of the store, and what is long gone.
    pub fn expire(&mut self, now: Duration) {
        self.departed.retain(|_, leaves_at| now < *leaves_at + FORGIVE);
        self.entries.retain(|_, entry| entry.missing_until.is_none_or(|until| now < until));
    }

    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    pub fn health(&mut self, id: &str) -> Option<&mut Health> {
        self.entries.get_mut(id).map(|entry| &mut entry.health)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Gives the endpoints of a service, in no particular order.
    pub fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Entry> {
        self.entries.values().filter(move |entry| &*entry.endpoint.service == service)
    }
}
