//! Counts and latencies of the two versions of a move.
//!
//! Evidence is kept per share of the move (a stratum). While the share is constant both versions
//! meet the same conditions, so an outage of the whole service cannot look like a fault of the
//! version that happened to get more traffic at that time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rollout::{Key, Targets};

/// Most routes with counts of their own; requests to further routes count as one route.
pub const ROUTES: usize = 8;
/// Names the route that takes the requests beyond the bound.
pub const OVERFLOW_ROUTE: &str = "*";
/// Requests of the less used version after which the recent windows alternate.
///
/// A version that turns bad is compared over at most two windows, so that 20 failures are not
/// hidden by a long good past.
const WINDOW_REQUESTS: u32 = 100;
/// Weight of one request in the running failure rate of the old version, and the rates between
/// which an outage of the service begins and ends.
///
/// Windows alternate at both ends of an outage, so that a fault of the new version that is hidden
/// by the outage shows as soon as the old version works again.
const RATE_WEIGHT: f32 = 1.0 / 32.0;
const OUTAGE_BEGINS: f32 = 0.3;
const OUTAGE_ENDS: f32 = 0.1;
/// Strata kept; a move has five shares, of which the first sends nothing to the new version.
const STRATA: usize = 4;
/// Nodes whose reports are kept for one move; the design size is 330.
const NODES: usize = 1_024;
/// Time in which all reachable nodes report to a new lease holder; they report every second.
const SETTLE_MS: u64 = 2_500;
/// Age up to which a report is fresh, and up to which its node counts as part of the service.
const FRESH_MS: u64 = 5_000;
const KNOWN_MS: u64 = 60_000;
/// Resolution of the logarithm of a latency.
const LOG_UNITS: f64 = 64.0;

/// Tells which version of a move served a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    New,
    Old,
}

/// Describes one finished request.
#[derive(Debug, Clone, Copy)]
pub struct Sample<'a> {
    pub route: &'a str,
    /// Share in effect when the version was chosen.
    pub share_permille: u32,
    /// Set for error statuses of the endpoint (from 400), broken and incomplete responses.
    ///
    /// Mistakes of callers may be counted as well: they are equally frequent on both versions.
    pub failed: bool,
    pub first_byte: Duration,
    /// Mean time between tokens; `None` for responses that are not streams.
    pub token_gap: Option<Duration>,
}

/// Sums the logarithm of latencies, which keeps single outliers from deciding.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moments {
    pub count: u32,
    sum: u64,
    squares: u64,
}

impl Moments {
    fn record(&mut self, latency: Duration) {
        let tenths = (latency.as_secs_f64() * 10_000.0).max(1.0);
        let units = (tenths.ln() * LOG_UNITS).round() as u64;
        self.count = self.count.saturating_add(1);
        self.sum = self.sum.saturating_add(units);
        self.squares = self.squares.saturating_add(units * units);
    }

    fn add(&mut self, other: &Moments) {
        self.count = self.count.saturating_add(other.count);
        self.sum = self.sum.saturating_add(other.sum);
        self.squares = self.squares.saturating_add(other.squares);
    }

    /// Mean of the natural logarithm of the latency in tenths of a millisecond.
    pub fn mean_log(&self) -> f64 {
        self.sum as f64 / f64::from(self.count.max(1)) / LOG_UNITS
    }

    /// Variance of the logarithm of the latency.
    pub fn variance_log(&self) -> f64 {
        let mean = self.mean_log();
        let squares = self.squares as f64 / f64::from(self.count.max(1)) / LOG_UNITS.powi(2);
        (squares - mean * mean).max(0.0)
    }

    /// Geometric mean of the latency in milliseconds.
    pub fn typical_ms(&self) -> f64 {
        self.mean_log().exp() / 10.0
    }
}

/// Counts the outcomes of one version on one route.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    pub good: u32,
    pub failed: u32,
    /// Good responses that missed a latency target of the service.
    pub late: u32,
    pub first_byte: Moments,
    pub token_gap: Moments,
}

impl Tally {
    pub fn requests(&self) -> u32 {
        self.good.saturating_add(self.failed)
    }

    fn record(&mut self, sample: &Sample<'_>, targets: &Targets) {
        if sample.failed {
            self.failed = self.failed.saturating_add(1);
            return;
        }
        self.good = self.good.saturating_add(1);
        let late_gap = sample.token_gap.is_some_and(|gap| gap > targets.token_gap);
        if late_gap || sample.first_byte > targets.first_byte {
            self.late = self.late.saturating_add(1);
        }
        self.first_byte.record(sample.first_byte);
        if let Some(gap) = sample.token_gap {
            self.token_gap.record(gap);
        }
    }

    pub(super) fn add(&mut self, other: &Tally) {
        self.good = self.good.saturating_add(other.good);
        self.failed = self.failed.saturating_add(other.failed);
        self.late = self.late.saturating_add(other.late);
        self.first_byte.add(&other.first_byte);
        self.token_gap.add(&other.token_gap);
    }
}

/// Holds the same requests at three ranges: since the share changed, and two recent windows.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranges {
    pub total: Tally,
    pub current: Tally,
    pub older: Tally,
}

impl Ranges {
    pub(super) fn add(&mut self, other: &Ranges) {
        self.total.add(&other.total);
        self.current.add(&other.current);
        self.older.add(&other.older);
    }
}

/// Holds both versions on one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub name: Arc<str>,
    pub new: Ranges,
    pub old: Ranges,
}

impl Route {
    pub(super) fn named(name: &str) -> Route {
        Route { name: name.into(), new: Ranges::default(), old: Ranges::default() }
    }

    fn side(&mut self, side: Side) -> &mut Ranges {
        match side {
            Side::New => &mut self.new,
            Side::Old => &mut self.old,
        }
    }
}

/// Holds what was seen while the move had one share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stratum {
    pub share_permille: u32,
    pub routes: Vec<Route>,
}

impl Stratum {
    /// Sums all routes.
    pub fn overall(&self) -> Route {
        let mut overall = Route::named("all routes");
        for route in &self.routes {
            overall.new.add(&route.new);
            overall.old.add(&route.old);
        }
        overall
    }

    fn route(&mut self, name: &str) -> &mut Route {
        let known = self.routes.iter().position(|route| &*route.name == name);
        let name = if self.routes.len() < ROUTES { name } else { OVERFLOW_ROUTE };
        let index = known
            .or_else(|| self.routes.iter().position(|route| &*route.name == name))
            .unwrap_or_else(|| {
                self.routes.push(Route::named(name));
                self.routes.len() - 1
            });
        &mut self.routes[index]
    }

    fn is_full(&self) -> bool {
        let used = |side: fn(&Route) -> &Ranges| -> u32 {
            self.routes.iter().map(|route| side(route).current.requests()).sum()
        };
        used(|route| &route.new).min(used(|route| &route.old)) >= WINDOW_REQUESTS
    }

    fn rotate(&mut self) {
        for ranges in self.routes.iter_mut().flat_map(|route| [&mut route.new, &mut route.old]) {
            ranges.older = std::mem::take(&mut ranges.current);
        }
    }
}

/// Holds the evidence of one move, of one node or summed over nodes.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Newest share last.
    pub strata: Vec<Stratum>,
    /// Requests since the move was accepted, at any share.
    pub new_requests: u64,
    pub old_requests: u64,
    #[serde(skip)]
    old_failure_rate: f32,
    #[serde(skip)]
    outage: bool,
}

impl Evidence {
    pub fn record(&mut self, side: Side, sample: &Sample<'_>, targets: &Targets) {
        match side {
            Side::New => self.new_requests += 1,
            Side::Old => self.old_requests += 1,
        }
        let outage_changed = side == Side::Old && self.track_outage(sample.failed);
        let Some(stratum) = self.stratum_mut(sample.share_permille, STRATA) else { return };
        let ranges = stratum.route(sample.route).side(side);
        ranges.total.record(sample, targets);
        ranges.current.record(sample, targets);
        if stratum.is_full() || outage_changed {
            stratum.rotate();
        }
    }

    /// Follows the failure rate of the old version; tells whether an outage began or ended.
    fn track_outage(&mut self, failed: bool) -> bool {
        let failed = if failed { 1.0 } else { 0.0 };
        self.old_failure_rate += (failed - self.old_failure_rate) * RATE_WEIGHT;
        let limit = if self.outage { OUTAGE_ENDS } else { OUTAGE_BEGINS };
        let before = std::mem::replace(&mut self.outage, self.old_failure_rate >= limit);
        before != self.outage
    }

    /// Adds the evidence of another node; shares and routes are added to their equals.
    pub fn merge(&mut self, other: &Evidence) {
        self.new_requests += other.new_requests;
        self.old_requests += other.old_requests;
        for theirs in &other.strata {
            // Nodes can briefly differ by a step, so that the sum spans one share more.
            let Some(stratum) = self.stratum_mut(theirs.share_permille, STRATA + 1) else {
                continue;
            };
            for route in &theirs.routes {
                let sum = stratum.route(&route.name);
                sum.new.add(&route.new);
                sum.old.add(&route.old);
            }
        }
    }

    pub fn stratum(&self, share_permille: u32) -> Option<&Stratum> {
        self.strata.iter().find(|stratum| stratum.share_permille == share_permille)
    }

    /// Finds or adds a stratum; `None` for a share that was given up for newer ones.
    ///
    /// Shares only rise, so the lowest one is the oldest.
    fn stratum_mut(&mut self, share_permille: u32, bound: usize) -> Option<&mut Stratum> {
        let found = self.strata.binary_search_by_key(&share_permille, |known| known.share_permille);
        let index = match found {
            Ok(index) => index,
            Err(0) if self.strata.len() >= bound => return None,
            Err(index) => {
                self.strata.insert(index, Stratum { share_permille, routes: Vec::new() });
                if self.strata.len() > bound {
                    self.strata.remove(0);
                    index - 1
                } else {
                    index
                }
            }
        };
        self.strata.get_mut(index)
    }
}

/// Carries the evidence of one node to the lease holder.
///
/// Evidence is sent whole, so a lost report is made good by the next one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub node: Arc<str>,
    /// Grows with each report of a node, also across restarts: a node starts at its start time in
    /// milliseconds.
    pub sequence: u64,
    pub key: Key,
    pub evidence: Evidence,
}

/// Keeps the newest report of each node for one move.
#[derive(Debug, Default, Clone)]
pub struct Reports {
    newest: BTreeMap<Arc<str>, Newest>,
    /// Time of the first report.
    since_ms: Option<u64>,
}

#[derive(Debug, Clone)]
struct Newest {
    sequence: u64,
    received_ms: u64,
    evidence: Evidence,
}

impl Reports {
    /// Takes a report unless it is a repeat or older than the known one; tells whether it did.
    pub fn accept(&mut self, report: Report, now_ms: u64) -> bool {
        let known = self.newest.get(&report.node);
        if known.is_some_and(|known| report.sequence <= known.sequence) {
            return false;
        }
        if known.is_none() && self.newest.len() >= NODES {
            return false;
        }
        self.since_ms.get_or_insert(now_ms);
        let Report { node, sequence, evidence, .. } = report;
        self.newest.insert(node, Newest { sequence, received_ms: now_ms, evidence });
        true
    }

    /// Tells whether the sum speaks for all nodes, so that a share may be raised.
    ///
    /// A new lease holder first has to hear from the nodes. One that hears only from a minority of
    /// them is cut off, and faults that the others see would not reach it.
    pub fn is_current(&self, now_ms: u64) -> bool {
        let heard = |within_ms: u64| {
            let newest = self.newest.values();
            newest.filter(|newest| newest.received_ms + within_ms >= now_ms).count()
        };
        let settled = self.since_ms.is_some_and(|since| now_ms >= since + SETTLE_MS);
        settled && heard(FRESH_MS) * 2 > heard(KNOWN_MS)
    }

    pub fn sum(&self) -> Evidence {
        let mut sum = Evidence::default();
        for newest in self.newest.values() {
            sum.merge(&newest.evidence);
        }
        sum
    }
}
