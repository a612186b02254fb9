//! Cold endpoints: those that tolerate few requests for some seconds after a start, over all nodes together.
//!
//! The load that this addresses: the endpoints of a failure domain come back at once and look idle, so that all
//! nodes prefer them before they know that they are cold. A node therefore also limits an endpoint that it only
//! suspects: after a failure until its own next success, and when the list shows it for the first time, again or
//! with a later start. While an endpoint is cold or suspected, a few nodes use it, each with an equal part of the
//! rate; see [`division`](crate::gateway::division). A bucket holds one request and starts empty, so a second holds
//! at most rate + users requests for one view of the fleet.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::division::{Bucket, Fleet, Permit};
use crate::gateway::platform::Endpoint;
use crate::gateway::rate_limit::Scope;

/// Least requests per second for which one more node uses a cold endpoint.
const MIN_USER_RATE: f64 = 3.0;
/// Sides of a partition that use an endpoint at the same time, each with users of its own.
const MAX_SIDES: f64 = 3.0;
/// Requests that a user may send at once.
const BURST: f64 = 1.0;
/// Time added to what an endpoint states: clocks of endpoints and nodes run at different rates.
const STATED_MARGIN: Duration = Duration::from_millis(200);
/// Longest stated time that is kept; no endpoint is cold for longer.
const MAX_STATED: Duration = Duration::from_secs(60);
/// Time after a node's last failure at an endpoint for which it is suspected without a success, in addition to the
/// time for which the endpoint is cold after a start. A node that doesn't use the endpoint gets no success; losses
/// of a failure domain last up to 4.5 s.
const OPEN_TIME: Duration = Duration::from_secs(5);
/// Time from the charge of a request to its write after which it is charged again. Writes that waited for a
/// connection would otherwise reach the endpoint at once.
const CHARGE_TIME: Duration = Duration::from_millis(100);
/// Time for which a changed suspicion is reported in each datagram, in case some are lost.
const REPORT_TIME: Duration = Duration::from_millis(950);
/// Most suspicions that are accepted from one datagram.
const MAX_REPORTS: usize = 2_000;

/// Logs that an endpoint is cold from now on, with what showed it.
pub fn log_cold(id: &str, source: &str) {
    log::info!("cold: event=endpoint_cold endpoint={id} source={source}");
}

/// Declared behavior of the cold endpoints of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rule {
    /// Time for which an endpoint is cold after a start.
    pub start: Duration,
    /// Requests per second that a cold endpoint tolerates from all nodes; always positive.
    pub per_s: f64,
}

/// Excess that the users tolerate: in a second a cold endpoint gets at most its rate times `overshoot`, plus
/// `tolerance` requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    pub overshoot: f64,
    pub tolerance: f64,
}

impl Default for Excess {
    fn default() -> Excess {
        Excess { overshoot: 1.5, tolerance: 5.0 }
    }
}

impl Excess {
    /// Returns the least rate per user with which the users of several sides of a partition stay in the bound.
    fn min_user_rate(self, per_s: f64) -> f64 {
        let slack = per_s * self.overshoot + self.tolerance - per_s;
        let users = (slack / MAX_SIDES).floor().max(1.0);
        MIN_USER_RATE.max(per_s / users)
    }
}

/// Suspicion of one endpoint as a node knows it, for its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    endpoint: Arc<str>,
    /// Start of the endpoint in Unix milliseconds.
    started_ms: u64,
    /// Time for which the endpoint is suspected from the report on, in milliseconds.
    remaining_ms: u32,
}

#[derive(Debug)]
struct Entry {
    service: Arc<str>,
    domain: Arc<str>,
    started_ms: u64,
    /// End of the time that the row of the endpoint states.
    stated_until: Duration,
    /// Last failure at the endpoint, until this node's next success there.
    failed_at: Option<Duration>,
    /// End of the suspicion by this node's own evidence, by that of its direct peers too, and by all nodes'.
    own_until: Duration,
    domain_until: Duration,
    suspected_until: Duration,
    /// Time of the last change of the own evidence.
    changed_at: Duration,
    bucket: Bucket,
}

impl Entry {
    /// Returns the end of the suspicion by the own failures.
    fn open_until(&self, rule: Rule) -> Duration {
        self.failed_at.map_or(Duration::ZERO, |at| at + rule.start + OPEN_TIME)
    }

    /// Returns the time from which the endpoint counts as warm.
    fn ends_at(&self, rule: Rule) -> Duration {
        self.stated_until.max(self.suspected_until).max(self.open_until(rule))
    }

    fn assign(&mut self, id: &str, rule: Rule, excess: Excess, fleet: &Fleet, now: Duration) {
        let user_rate = excess.min_user_rate(rule.per_s);
        self.bucket.assign(fleet.own_rate(id, &self.domain, rule.per_s, user_rate), now);
    }
}

/// Endpoints that are cold or suspected to be.
#[derive(Debug, Default)]
pub struct Cold {
    rules: HashMap<Arc<str>, Rule>,
    excess: Excess,
    /// Set after the first complete list. What that list shows may have run for long.
    has_list: bool,
    entries: HashMap<Arc<str>, Entry>,
    fleet: Fleet,
}

impl Cold {
    /// Returns whether no endpoint has been cold lately.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Sets the rules by service.
    pub fn configure(&mut self, rules: HashMap<Arc<str>, Rule>, excess: Excess, now: Duration) {
        (self.rules, self.excess) = (rules, excess);
        self.assign_all(now);
    }

    /// Sets the live nodes, which share the rates. Only a change of them divides all rates again.
    pub fn set_fleet(&mut self, fleet: &Fleet, now: Duration) {
        if *fleet != self.fleet {
            self.fleet = fleet.clone();
            self.assign_all(now);
        }
    }

    fn assign_all(&mut self, now: Duration) {
        for (id, entry) in &mut self.entries {
            if let Some(rule) = self.rules.get(&entry.service) {
                entry.assign(id, *rule, self.excess, &self.fleet, now);
            }
        }
    }

    /// Notes that the first complete list has been applied.
    pub fn record_list(&mut self) {
        self.has_list = true;
    }

    /// Applies a change to the entry of an endpoint; returns whether the endpoint is newly cold. Changes to another
    /// start than the newest known one are ignored.
    fn update(
        &mut self,
        endpoint: &Endpoint,
        now: Duration,
        change: impl FnOnce(&mut Entry, Option<Rule>),
    ) -> bool {
        let rule = self.rules.get(&endpoint.service).copied();
        let new = || Entry {
            service: endpoint.service.clone(),
            domain: endpoint.domain.clone(),
            started_ms: endpoint.started_ms,
            stated_until: Duration::ZERO,
            failed_at: None,
            own_until: Duration::ZERO,
            domain_until: Duration::ZERO,
            suspected_until: Duration::ZERO,
            changed_at: now,
            bucket: Bucket::new(BURST, Duration::ZERO, now),
        };
        let entry = self.entries.entry(endpoint.id.clone()).or_insert_with(new);
        if entry.started_ms > endpoint.started_ms {
            return false;
        }
        if entry.started_ms < endpoint.started_ms {
            *entry = new();
        }
        let Some(rule) = rule else {
            change(entry, None);
            return false;
        };
        let was_cold = now < entry.ends_at(rule);
        change(entry, Some(rule));
        let is_new = !was_cold && now < entry.ends_at(rule);
        if is_new {
            // Nothing is saved up from a time in which the endpoint was not cold.
            entry.bucket = Bucket::new(BURST, Duration::ZERO, now);
            entry.assign(&endpoint.id, rule, self.excess, &self.fleet, now);
        }
        is_new
    }

    /// Applies a row of the list; `is_new` tells whether the list did not show this start of the endpoint before.
    /// Returns whether the endpoint is newly cold.
    pub fn observe(&mut self, endpoint: &Endpoint, is_new: bool, now: Duration) -> bool {
        let mut is_cold = false;
        if is_new && self.has_list {
            is_cold = self.suspect(endpoint, now);
        }
        let is_known = self.entries.contains_key(&endpoint.id);
        match endpoint.cold_for {
            Some(remaining) if !remaining.is_zero() => {
                let until = now + remaining.min(MAX_STATED) + STATED_MARGIN;
                let extend = |entry: &mut Entry, _| {
                    entry.stated_until = entry.stated_until.max(until);
                };
                is_cold |= self.update(endpoint, now, extend);
            }
            Some(_) if is_known => {
                self.update(endpoint, now, |entry, _| entry.stated_until = Duration::ZERO);
            }
            _ => {}
        }
        is_cold
    }

    /// Suspects an endpoint for the time after a start; returns whether it is newly cold.
    pub fn suspect(&mut self, endpoint: &Endpoint, now: Duration) -> bool {
        let Some(rule) = self.rules.get(&endpoint.service).copied() else { return false };
        self.update(endpoint, now, |entry, _| {
            entry.suspected_until = entry.suspected_until.max(now + rule.start);
        })
    }

    /// Records the remaining time that a response to this node states; returns whether the endpoint is newly cold.
    pub fn record_stated(
        &mut self,
        endpoint: &Endpoint,
        remaining: Duration,
        now: Duration,
    ) -> bool {
        if remaining.is_zero() {
            return false;
        }
        let until = now + remaining.min(MAX_STATED) + STATED_MARGIN;
        self.update(endpoint, now, |entry, _| {
            entry.own_until = entry.own_until.max(until);
            entry.domain_until = entry.domain_until.max(until);
            entry.suspected_until = entry.suspected_until.max(until);
            entry.changed_at = now;
        })
    }

    /// Records that a connection to an endpoint failed, timed out or was reset; returns whether the endpoint is
    /// newly cold.
    pub fn record_failure(&mut self, endpoint: &Endpoint, now: Duration) -> bool {
        if !self.rules.contains_key(&endpoint.service) {
            return false;
        }
        self.update(endpoint, now, |entry, _| {
            entry.failed_at = Some(now);
            entry.changed_at = now;
        })
    }

    /// Records a response to a request that was placed at `began`. It ends the suspicion by an earlier failure after
    /// the time of a start, as the endpoint may have come back with this request.
    pub fn record_success(&mut self, endpoint: &Endpoint, began: Duration, now: Duration) {
        let Some(entry) = self.entries.get_mut(&endpoint.id) else { return };
        let Some(rule) = self.rules.get(&entry.service) else { return };
        let is_later = entry.failed_at.is_some_and(|failed_at| failed_at <= began);
        if is_later && entry.started_ms == endpoint.started_ms {
            let until = now + rule.start;
            entry.failed_at = None;
            entry.own_until = entry.own_until.max(until);
            entry.domain_until = entry.domain_until.max(until);
            entry.suspected_until = entry.suspected_until.max(until);
            entry.changed_at = now;
        }
    }

    /// Returns what the peers have to know.
    pub fn reports(&self, scope: Scope, now: Duration) -> Vec<Report> {
        let report = |(id, entry): (&Arc<str>, &Entry)| {
            let rule = self.rules.get(&entry.service)?;
            // Peers get a time that each further report extends.
            let is_open = now < entry.open_until(*rule);
            let open_until = if is_open { now + rule.start } else { Duration::ZERO };
            let is_changed = now.saturating_sub(entry.changed_at) < REPORT_TIME;
            let until = match scope {
                Scope::Changed if !is_changed => return None,
                Scope::Changed | Scope::Own => entry.own_until,
                Scope::Domain => entry.domain_until,
                Scope::All => entry.suspected_until.max(entry.stated_until),
            };
            let remaining = until.max(open_until).checked_sub(now)?;
            (!remaining.is_zero()).then(|| Report {
                endpoint: id.clone(),
                started_ms: entry.started_ms,
                remaining_ms: remaining.as_millis() as u32,
            })
        };
        self.entries.iter().filter_map(report).collect()
    }

    /// Merges the reports of a peer, or of another failure domain, that were sent `delay` ago; returns the endpoints
    /// that are newly cold. `find` returns the listed endpoint with an identifier.
    pub fn merge<'a>(
        &mut self,
        reports: &[Report],
        is_other_domain: bool,
        find: impl Fn(&str) -> Option<&'a Endpoint>,
        delay: Duration,
        now: Duration,
    ) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        for report in reports.iter().take(MAX_REPORTS) {
            let Some(endpoint) = find(&report.endpoint) else { continue };
            let remaining = Duration::from_millis(u64::from(report.remaining_ms));
            let remaining = remaining.min(MAX_STATED + STATED_MARGIN).saturating_sub(delay);
            if endpoint.started_ms != report.started_ms || remaining.is_zero() {
                continue;
            }
            let is_new = self.update(endpoint, now, |entry, _| {
                entry.suspected_until = entry.suspected_until.max(now + remaining);
                if !is_other_domain {
                    entry.domain_until = entry.domain_until.max(now + remaining);
                }
            });
            if is_new {
                changed.push(endpoint.id.clone());
            }
        }
        changed
    }

    /// Returns the remaining time of a cold endpoint with its rule.
    fn cold(&self, id: &str, now: Duration) -> Option<(&Entry, Rule, Duration)> {
        let entry = self.entries.get(id)?;
        let rule = *self.rules.get(&entry.service)?;
        let remaining = entry.ends_at(rule).saturating_sub(now);
        (!remaining.is_zero()).then_some((entry, rule, remaining))
    }

    pub fn is_cold(&self, id: &str, now: Duration) -> bool {
        self.cold(id, now).is_some()
    }

    /// Returns whether this node may send an endpoint one more request now.
    pub fn permit(&self, id: &str, now: Duration) -> Permit {
        match self.cold(id, now) {
            None => Permit::Granted,
            // The endpoint is warm before the next token, unless something extends the time.
            Some((entry, _, remaining)) => match entry.bucket.permit(now) {
                Permit::Granted => Permit::Granted,
                Permit::After(wait) => Permit::After(wait.min(remaining)),
                Permit::Denied => Permit::Denied,
            },
        }
    }

    /// Spends one request to an endpoint; returns whether it is cold.
    pub fn spend(&mut self, id: &str, now: Duration) -> bool {
        let is_cold = self.is_cold(id, now);
        if let Some(entry) = self.entries.get_mut(id).filter(|_| is_cold) {
            entry.bucket.spend(now);
        }
        is_cold
    }

    /// Returns whether a request may be written that was charged at `charged_at`, if it was, and charges it if it
    /// has not been charged lately.
    pub fn admit(&mut self, id: &str, charged_at: Option<Duration>, now: Duration) -> bool {
        let is_charged = charged_at.is_some_and(|at| now.saturating_sub(at) < CHARGE_TIME);
        if is_charged || !self.is_cold(id, now) {
            return true;
        }
        let is_granted = self.permit(id, now) == Permit::Granted;
        if is_granted {
            self.spend(id, now);
        }
        is_granted
    }

    /// Returns the requests per second that a cold endpoint takes from all nodes, and from this one.
    pub fn rates(&self, id: &str, now: Duration) -> Option<(f64, f64)> {
        self.cold(id, now).map(|(entry, rule, _)| (rule.per_s, entry.bucket.own_rate()))
    }

    /// Returns the cold endpoints with the remaining time and the requests per second of this node.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = (&Arc<str>, Duration, f64)> {
        self.entries.keys().filter_map(move |id| {
            let (entry, _, remaining) = self.cold(id, now)?;
            Some((id, remaining, entry.bucket.own_rate()))
        })
    }

    /// Drops the endpoints that are no longer cold.
    pub fn expire(&mut self, now: Duration) {
        let rules = &self.rules;
        self.entries.retain(|_, entry| match rules.get(&entry.service) {
            Some(rule) => now < entry.ends_at(*rule),
            None => now < entry.stated_until.max(entry.suspected_until),
        });
    }
}
