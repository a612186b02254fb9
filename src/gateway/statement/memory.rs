//! What endpoints have stated about themselves, kept by identifier and start.
//!
//! A statement holds for the life of the endpoint's start and not for that of its row: rows run out in an outage of
//! the store, and a restored store lists earlier ones. It ends when a later start is listed, or when the list has
//! not shown the endpoint for [`ABSENT_TIME`]. See "What endpoints state about themselves" in `docs/platform.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::cold::Cold;
use crate::gateway::division::Permit;
use crate::gateway::pause::{self, Pauses};
use crate::gateway::platform::{Endpoint, Pause, RateLimit};
use crate::gateway::rate_limit::{self, Limits, Report, Scope};

/// Time for which the statements of an endpoint are kept that the list doesn't show. One that was cut off for less
/// comes back as the same start; an asked pause is kept to its end in any case.
pub const ABSENT_TIME: Duration = Duration::from_secs(600);
/// Most endpoints that the list doesn't show whose statements are kept.
pub const MAX_ABSENT: usize = 1_000;

/// The newest start of an endpoint that has stated something.
#[derive(Debug)]
struct Start {
    started_ms: u64,
    /// Whether this start leaves; nothing takes that back.
    is_leaving: bool,
    /// Time since which the list doesn't show the endpoint.
    absent_since: Option<Duration>,
}

/// Statements of all endpoints that have made one.
#[derive(Debug, Default)]
pub struct Memory {
    starts: HashMap<Arc<str>, Start>,
    pub pauses: Pauses,
    pub limits: Limits,
    pub cold: Cold,
}

impl Memory {
    /// Returns whether a statement of this start counts, as none of a later start is known. Ends the statements of
    /// earlier starts.
    fn admit(&mut self, id: &Arc<str>, started_ms: u64) -> bool {
        if let Some(start) = self.starts.get(id) {
            if started_ms < start.started_ms {
                return false;
            }
            if started_ms > start.started_ms {
                self.forget(id);
            }
        }
        let new = || Start { started_ms, is_leaving: false, absent_since: None };
        self.starts.entry(id.clone()).or_insert_with(new);
        true
    }

    fn forget(&mut self, id: &str) {
        self.starts.remove(id);
        self.pauses.remove(id);
        self.limits.remove(id);
    }

    /// Records that a start of an endpoint leaves, by its own word or its row.
    pub fn record_leaving(&mut self, id: &Arc<str>, started_ms: u64) {
        if self.admit(id, started_ms)
            && let Some(start) = self.starts.get_mut(id)
        {
            start.is_leaving = true;
        }
    }

    /// Records what a response at `now` asks for.
    pub fn record_pause(
        &mut self,
        endpoint: &Endpoint,
        pause: Pause,
        now: Duration,
    ) -> pause::Outcome {
        if pause == Pause::Absent || !self.admit(&endpoint.id, endpoint.started_ms) {
            return pause::Outcome::Unchanged;
        }
        self.pauses.record(endpoint, pause, now)
    }

    /// Records the limit that a response at `now` names, or its end.
    pub fn record_limit(
        &mut self,
        endpoint: &Endpoint,
        limit: RateLimit,
        now: Duration,
    ) -> rate_limit::Outcome {
        let is_silent = matches!(limit, RateLimit::Absent | RateLimit::Unstated);
        let is_new = !self.starts.contains_key(&endpoint.id);
        if is_silent && is_new || !self.admit(&endpoint.id, endpoint.started_ms) {
            return rate_limit::Outcome::Unchanged;
        }
        self.limits.record(endpoint, limit, now)
    }

    /// Merges the limits that a peer reports; see [`Limits::merge`].
    pub fn merge_limits<'a>(
        &mut self,
        reports: &[Report],
        is_other_domain: bool,
        find: impl Fn(&str, u64) -> Option<&'a Arc<str>>,
        delay: Duration,
        now: Duration,
    ) -> Vec<(Arc<str>, Option<f64>, Option<f64>)> {
        for (id, started_ms) in reports.iter().filter_map(Report::limited_start) {
            if find(id, started_ms).is_some() {
                self.admit(id, started_ms);
            }
        }
        let starts = &self.starts;
        let is_newest = |id: &str, started_ms: u64| {
            starts.get(id).is_some_and(|start| start.started_ms == started_ms)
        };
        let find =
            |id: &str, started_ms: u64| find(id, started_ms).filter(|_| is_newest(id, started_ms));
        self.limits.merge(reports, is_other_domain, find, delay, now)
    }

    /// Notes that the list shows an endpoint. A later start than the known one has stated nothing yet, and an
    /// earlier one is that of a row which is out of date.
    pub fn observe(&mut self, endpoint: &Endpoint) {
        let known = self.starts.get(&endpoint.id).map(|start| start.started_ms);
        if known.is_some_and(|known| known < endpoint.started_ms) {
            log::info!(
                "statement: event=forgotten endpoint={} reason=\"it has started again\"",
                endpoint.id
            );
            self.forget(&endpoint.id);
        }
        if endpoint.draining {
            self.record_leaving(&endpoint.id, endpoint.started_ms);
        }
    }

    /// Returns whether an endpoint leaves whose row shows this start. The row may be that of an earlier start than
    /// the one that runs.
    pub fn is_leaving(&self, id: &str, started_ms: u64) -> bool {
        self.starts.get(id).is_some_and(|start| start.is_leaving && start.started_ms >= started_ms)
    }

    /// Returns whether the limit of an endpoint and its being cold allow this node one more request now.
    pub fn permit(&self, id: &str, now: Duration) -> Permit {
        self.limits.permit(id, now).and(self.cold.permit(id, now))
    }

    /// Returns the requests per second that an endpoint takes from all nodes, and from this one; `None` without a
    /// limit.
    pub fn rates(&self, id: &str, now: Duration) -> Option<(f64, f64)> {
        let limit = self.limits.rate(id).zip(self.limits.own_rate(id));
        let lower = |(rate, own): (f64, f64), (other, other_own): (f64, f64)| {
            (rate.min(other), own.min(other_own))
        };
        match (limit, self.cold.rates(id, now)) {
            (Some(limit), Some(cold)) => Some(lower(limit, cold)),
            (limit, cold) => limit.or(cold),
        }
    }

    /// Ends the statements of endpoints that the list has not shown for long; `is_listed` tells which it shows.
    pub fn refresh(&mut self, is_listed: impl Fn(&str) -> bool, now: Duration) {
        let mut absent = Vec::new();
        for (id, start) in &mut self.starts {
            start.absent_since = match is_listed(id) {
                true => None,
                false => Some(start.absent_since.unwrap_or(now)),
            };
            absent.extend(start.absent_since.map(|since| (since, id.clone())));
        }
        let is_old = |(since, id): &&(Duration, Arc<str>)| {
            now.saturating_sub(*since) >= ABSENT_TIME && !self.pauses.is_paused(id, now)
        };
        let mut ended: Vec<_> = absent.iter().filter(is_old).map(|(_, id)| id.clone()).collect();
        let excess = absent.len().saturating_sub(MAX_ABSENT);
        if excess > 0 {
            absent.sort_unstable();
            ended.extend(absent.drain(..excess).map(|(_, id)| id));
        }
        for id in ended {
            log::info!("statement: event=forgotten endpoint={id} reason=\"it is not listed\"");
            self.forget(&id);
        }
        let is_known = |id: &str, started_ms: u64| {
            self.starts.get(id).is_some_and(|start| start.started_ms == started_ms)
        };
        self.limits.retain(is_known, now);
        self.cold.expire(now);
        self.pauses.retain(is_known);
    }

    /// Returns what the peers have to know of the limits of listed endpoints.
    pub fn limit_reports(&self, scope: Scope, now: Duration) -> Vec<Report> {
        let mut reports = self.limits.reports(scope, now);
        reports.retain(|report| self.is_listed(report.endpoint()));
        reports
    }

    /// Returns the number of listed endpoints with a limit.
    pub fn limited_count(&self) -> usize {
        self.starts.keys().filter(|id| self.is_listed(id) && self.limits.rate(id).is_some()).count()
    }

    fn is_listed(&self, id: &str) -> bool {
        self.starts.get(id).is_some_and(|start| start.absent_since.is_none())
    }

    /// Returns the number of endpoints that have stated something.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }
}
