//! Rate limits that endpoints name, kept by all nodes together.
//!
//! An endpoint in need names the requests per second that it takes from all nodes. The limit may be lower
//! than the number of nodes, so equal parts would allow no node a request. Instead a few nodes use a limited
//! endpoint, the fewer the lower its limit, and each spends an equal part of it from a token bucket of its
//! own. All nodes derive the users from the live nodes in the same way, and leave the part of silent ones
//! unused. See "Rate limits of endpoints" in `docs/platform.md` for the bounds on the sum.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::division::Bucket;
pub use crate::gateway::division::{Fleet, Permit};
use crate::gateway::platform::{Endpoint, RateLimit};

/// Least requests per second for which one more node uses an endpoint.
const MIN_USER_RATE: f64 = 1.5;
/// Requests that a node may send at once after a pause, or those of this time if that is more.
const BURST: f64 = 2.0;
const BURST_TIME: Duration = Duration::from_millis(250);
/// Requests per second to an endpoint that takes fewer or none. Only its responses show that the limit
/// has ended.
const PROBE_RATE: f64 = 0.5;
/// Time for which a changed limit is reported in each datagram, in case some are lost.
const REPORT_TIME: Duration = Duration::from_millis(950);
/// Time for which the end of a limit is reported to nodes that may not have received it.
const ENDED_TIME: Duration = Duration::from_secs(60);
/// Most limits that are accepted from one datagram.
const MAX_REPORTS: usize = 2_000;
/// Longest advised time before a retry when the limits are used up.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Limit of one endpoint as a node knows it, for its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    endpoint: Arc<str>,
    /// Start of the endpoint in Unix milliseconds; another start has another limit.
    started_ms: u64,
    /// Requests per second; `None` if the endpoint has ended its limit.
    rate: Option<f64>,
    /// Time since the response that stated it, in milliseconds.
    age_ms: u64,
}

impl Report {
    pub fn endpoint(&self) -> &Arc<str> {
        &self.endpoint
    }

    /// Returns the endpoint and its start if the report names a limit.
    pub fn limited_start(&self) -> Option<(&Arc<str>, u64)> {
        self.rate.map(|_| (&self.endpoint, self.started_ms))
    }
}

/// Which limits a node reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Those that have changed lately in responses to this node.
    Changed,
    /// All that responses to this node have stated.
    Own,
    /// All that responses to the nodes of this failure domain have stated.
    Domain,
    /// All, for a peer that has just started.
    All,
}

/// Who has told this node of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    /// The endpoint, in a response to this node.
    Response,
    Peer,
    OtherDomain,
}

/// What is known of an endpoint that has named a limit.
#[derive(Debug)]
struct Entry {
    started_ms: u64,
    domain: Arc<str>,
    rate: Option<f64>,
    /// Time of the response that stated it.
    stated_at: Option<Duration>,
    /// Time at which this node learned of the last change.
    changed_at: Duration,
    source: Source,
    bucket: Bucket,
    has_unreadable: bool,
}

impl Entry {
    /// Updates the part of the limit that this node may use.
    fn assign(&mut self, endpoint: &str, fleet: &Fleet, now: Duration) {
        let Some(rate) = self.usable_rate() else { return };
        let own_rate = fleet.own_rate(endpoint, &self.domain, rate, MIN_USER_RATE);
        self.bucket.assign(own_rate, now);
    }

    /// Returns the limit with the requests that probe for its end.
    fn usable_rate(&self) -> Option<f64> {
        self.rate.map(|rate| rate.max(PROBE_RATE))
    }
}

/// Result of a statement that is logged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    Unchanged,
    /// The limit before and now.
    Changed(Option<f64>, Option<f64>),
    /// The first limit of an endpoint that can't be read.
    Unreadable,
}

/// Limits of all endpoints that have named one.
#[derive(Debug, Default)]
pub struct Limits {
    entries: HashMap<Arc<str>, Entry>,
    /// Live nodes by which the limits are divided; without any, this node has no part.
    fleet: Fleet,
    /// Time up to which callers were advised to come back, by service.
    advised: HashMap<Arc<str>, Duration>,
}

impl Limits {
    /// Returns whether no endpoint has named a limit lately.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records what a response that began at `now` states about an endpoint.
    pub fn record(&mut self, endpoint: &Endpoint, limit: RateLimit, now: Duration) -> Outcome {
        let rate = match limit {
            RateLimit::Absent => None,
            RateLimit::PerSecond(rate) => Some(rate),
            RateLimit::Unstated => return Outcome::Unchanged,
            RateLimit::Unreadable => return self.record_unreadable(endpoint, now),
        };
        if rate.is_none() && !self.entries.contains_key(&endpoint.id) {
            return Outcome::Unchanged;
        }
        let Endpoint { id, started_ms, domain, .. } = endpoint;
        self.set(id, *started_ms, domain, rate, now, Source::Response, now)
    }

    /// Notes a limit that can't be read: what is known holds.
    fn record_unreadable(&mut self, endpoint: &Endpoint, now: Duration) -> Outcome {
        let Endpoint { id, started_ms, domain, .. } = endpoint;
        let entry = Limits::entry(&mut self.entries, id, *started_ms, domain, now);
        match std::mem::replace(&mut entry.has_unreadable, true) {
            true => Outcome::Unchanged,
            false => Outcome::Unreadable,
        }
    }

    fn entry<'a>(
        entries: &'a mut HashMap<Arc<str>, Entry>,
        id: &Arc<str>,
        started_ms: u64,
        domain: &Arc<str>,
        now: Duration,
    ) -> &'a mut Entry {
        let new = || Entry {
            started_ms,
            domain: domain.clone(),
            rate: None,
            stated_at: None,
            changed_at: now,
            source: Source::OtherDomain,
            bucket: Bucket::new(BURST, BURST_TIME, now),
            has_unreadable: false,
        };
        let entry = entries.entry(id.clone()).or_insert_with(new);
        if entry.started_ms != started_ms {
            *entry = new();
        }
        entry
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one statement")]
    fn set(
        &mut self,
        id: &Arc<str>,
        started_ms: u64,
        domain: &Arc<str>,
        rate: Option<f64>,
        stated_at: Duration,
        source: Source,
        now: Duration,
    ) -> Outcome {
        let entry = Limits::entry(&mut self.entries, id, started_ms, domain, now);
        if Some(stated_at) <= entry.stated_at {
            return Outcome::Unchanged;
        }
        let before = entry.rate;
        entry.bucket.refill(now);
        entry.stated_at = Some(stated_at);
        entry.source = if before == rate { entry.source.min(source) } else { source };
        entry.rate = rate;
        if before == rate {
            return Outcome::Unchanged;
        }
        entry.changed_at = now;
        // A first limit lets the users send a burst, while the load moves to other endpoints.
        if before.is_none() || rate.is_none() {
            entry.bucket.set_tokens(BURST, now);
        }
        entry.assign(id, &self.fleet, now);
        Outcome::Changed(before, rate)
    }

    /// Merges the reports of a peer, or of another failure domain, that were sent `delay` ago; returns the
    /// endpoints whose limits have changed, with the limits before and now. `find` returns the failure domain of an endpoint if this node knows that start of it.
    pub fn merge<'a>(
        &mut self,
        reports: &[Report],
        is_other_domain: bool,
        find: impl Fn(&str, u64) -> Option<&'a Arc<str>>,
        delay: Duration,
        now: Duration,
    ) -> Vec<(Arc<str>, Option<f64>, Option<f64>)> {
        let source = if is_other_domain { Source::OtherDomain } else { Source::Peer };
        let mut changed = Vec::new();
        for report in reports.iter().take(MAX_REPORTS) {
            let rate = match report.rate {
                Some(rate) if !rate.is_finite() || rate < 0.0 => continue,
                rate => rate,
            };
            let Some(domain) = find(&report.endpoint, report.started_ms) else { continue };
            if rate.is_none() && !self.entries.contains_key(&report.endpoint) {
                continue;
            }
            // Rounded up, so that no report makes a statement younger on its way through several nodes.
            let age = Duration::from_millis(report.age_ms.saturating_add(1)) + delay;
            let stated_at = now.saturating_sub(age);
            let Report { endpoint, started_ms, .. } = report;
            let outcome = self.set(endpoint, *started_ms, domain, rate, stated_at, source, now);
            if let Outcome::Changed(before, rate) = outcome {
                changed.push((endpoint.clone(), before, rate));
            }
        }
        changed
    }

    /// Returns what the peers have to know.
    pub fn reports(&self, scope: Scope, now: Duration) -> Vec<Report> {
        let is_due = |entry: &Entry| {
            let age = now.saturating_sub(entry.changed_at);
            let is_in_scope = match scope {
                Scope::Changed => entry.source == Source::Response && age < REPORT_TIME,
                Scope::Own => entry.source == Source::Response,
                Scope::Domain => entry.source != Source::OtherDomain,
                Scope::All => true,
            };
            is_in_scope && (entry.rate.is_some() || age < ENDED_TIME)
        };
        let due = self.entries.iter().filter(|(_, entry)| is_due(entry));
        let report = |(endpoint, entry): (&Arc<str>, &Entry)| Report {
            endpoint: endpoint.clone(),
            started_ms: entry.started_ms,
            rate: entry.rate,
            age_ms: now.saturating_sub(entry.stated_at.unwrap_or_default()).as_millis() as u64,
        };
        due.map(report).collect()
    }

    /// Sets the live nodes. Only a change of them divides all limits again, so that endpoints that name
    /// limits at once cost each a pass over the nodes of the domain, and not over each other.
    pub fn set_fleet(&mut self, fleet: Fleet, now: Duration) {
        if fleet == self.fleet {
            return;
        }
        self.fleet = fleet;
        for (endpoint, entry) in &mut self.entries {
            entry.assign(endpoint, &self.fleet, now);
        }
    }

    /// Returns whether this node may send an endpoint one more request now.
    pub fn permit(&self, endpoint: &str, now: Duration) -> Permit {
        let Some(entry) = self.entries.get(endpoint).filter(|entry| entry.rate.is_some()) else {
            return Permit::Granted;
        };
        entry.bucket.permit(now)
    }

    /// Spends one request to an endpoint. What may not wait is paid later.
    pub fn spend(&mut self, endpoint: &str, now: Duration) {
        if let Some(entry) = self.entries.get_mut(endpoint).filter(|entry| entry.rate.is_some()) {
            entry.bucket.spend(now);
        }
    }

    /// Returns the requests per second that an endpoint takes from all nodes; `None` without a limit.
    pub fn rate(&self, endpoint: &str) -> Option<f64> {
        self.entries.get(endpoint)?.usable_rate()
    }

    /// Returns the requests per second that this node may send to an endpoint; `None` without a limit.
    pub fn own_rate(&self, endpoint: &str) -> Option<f64> {
        let entry = self.entries.get(endpoint)?;
        entry.rate.map(|_| entry.bucket.own_rate())
    }

    /// Returns the number of endpoints with a limit.
    pub fn limited_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.rate.is_some()).count()
    }

    /// Returns the time after which a caller should retry whose request found the limits of a service used
    /// up, at least `min`. `rate` is the sum of the limits, of which each of `nodes` nodes hands out an equal
    /// part, so that callers come back as fast as the endpoints take them.
    pub fn advise(
        &mut self,
        service: &Arc<str>,
        rate: f64,
        nodes: usize,
        min: Duration,
        now: Duration,
    ) -> Duration {
        let step = Duration::from_secs_f64(nodes as f64 / rate.max(PROBE_RATE));
        let advised = self.advised.entry(service.clone()).or_default();
        *advised = (*advised).max(now).min(now + MAX_RETRY_AFTER) + step.min(MAX_RETRY_AFTER);
        (*advised - now).max(min).min(MAX_RETRY_AFTER)
    }

    /// Ends the limit of an endpoint.
    pub fn remove(&mut self, endpoint: &str) {
        self.entries.remove(endpoint);
    }

    /// Drops the endpoints for which `keep`, which gets the start too, returns `false`, and limits that
    /// ended long ago.
    pub fn retain(&mut self, keep: impl Fn(&str, u64) -> bool, now: Duration) {
        self.entries.retain(|id, entry| {
            let is_told = now.saturating_sub(entry.changed_at) >= ENDED_TIME;
            keep(id, entry.started_ms) && (entry.rate.is_some() || !is_told)
        });
    }
}
