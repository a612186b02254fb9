//! Counts and latencies of the two versions of a move.
//!
//! Evidence is kept per share of the move (a stratum). While the share is constant, both versions
//! run under the same conditions, so an outage of the whole service cannot look like a fault of the
//! version that received more traffic at that time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rollout::{Key, Targets};

/// Most routes that are counted separately; requests to all further routes count as one route.
pub const MAX_ROUTES: usize = 8;
/// Name under which requests to routes beyond `MAX_ROUTES` are counted.
pub const OVERFLOW_ROUTE: &str = "*";
/// Requests to the less used version after which a new recent window begins.
///
/// The two recent windows are compared as well as the total, so that 20 failures of a version that
/// turns bad are not outweighed by a long time without failures.
const WINDOW_REQUESTS: u32 = 100;
/// Weight of one request in the moving average of the old version's failure rate, and the rates at
/// which an outage of the service begins and ends.
///
/// A new window begins at both ends of an outage, so that a fault of the new version that is masked
/// by the outage shows as soon as the old version works again.
const FAILURE_RATE_WEIGHT: f32 = 1.0 / 32.0;
const OUTAGE_BEGIN_RATE: f32 = 0.3;
const OUTAGE_END_RATE: f32 = 0.1;
/// Most strata kept; a move has five shares, the first of which sends nothing to the new version.
const MAX_STRATA: usize = 4;
/// Most nodes whose reports are kept for one move; the system is designed for 330.
const MAX_NODES: usize = 1_024;
/// Time in which all reachable nodes report to a new lease holder; they report every second.
const SETTLE_MS: u64 = 2_500;
/// Age up to which a report is fresh, and age up to which its node is counted for the quorum.
const FRESH_REPORT_MS: u64 = 5_000;
const KNOWN_NODE_MS: u64 = 60_000;
/// Fixed-point scale in which the logarithm of a latency is stored.
const LOG_SCALE: f64 = 64.0;

/// Identifies the version of a move that served a request.
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
    /// Set for error statuses of the endpoint (400 and above), broken and incomplete responses.
    ///
    /// Errors caused by callers may be counted too: they are equally frequent on both versions.
    pub failed: bool,
    pub first_byte: Duration,
    /// Mean time between tokens; `None` for responses that are not streams.
    pub token_gap: Option<Duration>,
}

/// Holds the moments of the logarithm of latencies, which limits the influence of outliers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moments {
    pub count: u32,
    sum: u64,
    squares: u64,
}

impl Moments {
    fn record(&mut self, latency: Duration) {
        let tenths_ms = (latency.as_secs_f64() * 10_000.0).max(1.0);
        let units = (tenths_ms.ln() * LOG_SCALE).round() as u64;
        self.count = self.count.saturating_add(1);
        self.sum = self.sum.saturating_add(units);
        self.squares = self.squares.saturating_add(units * units);
    }

    fn add(&mut self, other: &Moments) {
        self.count = self.count.saturating_add(other.count);
        self.sum = self.sum.saturating_add(other.sum);
        self.squares = self.squares.saturating_add(other.squares);
    }

    /// Returns the mean of the natural logarithm of the latency in tenths of a millisecond.
    pub fn mean_log(&self) -> f64 {
        self.sum as f64 / f64::from(self.count.max(1)) / LOG_SCALE
    }

    /// Returns the variance of the natural logarithm of the latency.
    pub fn variance_log(&self) -> f64 {
        let mean = self.mean_log();
        let squares = self.squares as f64 / f64::from(self.count.max(1)) / LOG_SCALE.powi(2);
        (squares - mean * mean).max(0.0)
    }

    /// Returns the geometric mean of the latency in milliseconds.
    pub fn geometric_mean_ms(&self) -> f64 {
        self.mean_log().exp() / 10.0
    }
}

/// Counts the responses of one version on one route, with their latencies.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    pub good: u32,
    pub failed: u32,
    /// Good responses that missed a latency target of the service; `good` includes them.
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

/// Holds the tallies since the share changed and in the two most recent windows.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Windows {
    /// All requests at this share, those of the recent windows included.
    pub total: Tally,
    pub current: Tally,
    pub previous: Tally,
}

impl Windows {
    pub(super) fn add(&mut self, other: &Windows) {
        self.total.add(&other.total);
        self.current.add(&other.current);
        self.previous.add(&other.previous);
    }
}

/// Holds the evidence about both versions on one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub name: Arc<str>,
    pub new: Windows,
    pub old: Windows,
}

impl Route {
    pub(super) fn new(name: &str) -> Route {
        Route { name: name.into(), new: Windows::default(), old: Windows::default() }
    }

    fn side_mut(&mut self, side: Side) -> &mut Windows {
        match side {
            Side::New => &mut self.new,
            Side::Old => &mut self.old,
        }
    }
}

/// Holds the evidence that was recorded while a move had one share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stratum {
    pub share_permille: u32,
    pub routes: Vec<Route>,
}

impl Stratum {
    /// Returns the sum over all routes.
    pub fn overall(&self) -> Route {
        let mut overall = Route::new("all routes");
        for route in &self.routes {
            overall.new.add(&route.new);
            overall.old.add(&route.old);
        }
        overall
    }

    /// Finds or adds a route; beyond `MAX_ROUTES` returns the overflow route for unknown names.
    fn route_mut(&mut self, name: &str) -> &mut Route {
        let known = self.routes.iter().position(|route| &*route.name == name);
        let name = if self.routes.len() < MAX_ROUTES { name } else { OVERFLOW_ROUTE };
        let index = known
            .or_else(|| self.routes.iter().position(|route| &*route.name == name))
            .unwrap_or_else(|| {
                self.routes.push(Route::new(name));
                self.routes.len() - 1
            });
        &mut self.routes[index]
    }

    fn is_window_full(&self) -> bool {
        let requests = |side: fn(&Route) -> &Windows| -> u32 {
            self.routes.iter().map(|route| side(route).current.requests()).sum()
        };
        requests(|route| &route.new).min(requests(|route| &route.old)) >= WINDOW_REQUESTS
    }

    fn rotate_windows(&mut self) {
        for windows in self.routes.iter_mut().flat_map(|route| [&mut route.new, &mut route.old]) {
            windows.previous = std::mem::take(&mut windows.current);
        }
    }
}

/// Holds the evidence about one move, recorded by one node or summed over nodes.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Sorted by share, which only rises, so the newest is last.
    pub strata: Vec<Stratum>,
    /// Requests since the move was accepted, at all shares.
    pub new_requests: u64,
    pub old_requests: u64,
    #[serde(skip)]
    old_failure_rate: f32,
    #[serde(skip)]
    is_outage: bool,
}

impl Evidence {
    pub fn record(&mut self, side: Side, sample: &Sample<'_>, targets: &Targets) {
        match side {
            Side::New => self.new_requests += 1,
            Side::Old => self.old_requests += 1,
        }
        let outage_changed = side == Side::Old && self.track_outage(sample.failed);
        let Some(stratum) = self.stratum_mut(sample.share_permille, MAX_STRATA) else { return };
        let windows = stratum.route_mut(sample.route).side_mut(side);
        windows.total.record(sample, targets);
        windows.current.record(sample, targets);
        if stratum.is_window_full() || outage_changed {
            stratum.rotate_windows();
        }
    }

    /// Updates the failure rate of the old version and reports whether an outage began or ended.
    fn track_outage(&mut self, failed: bool) -> bool {
        let failed = if failed { 1.0 } else { 0.0 };
        self.old_failure_rate += (failed - self.old_failure_rate) * FAILURE_RATE_WEIGHT;
        let threshold = if self.is_outage { OUTAGE_END_RATE } else { OUTAGE_BEGIN_RATE };
        let was_outage = std::mem::replace(&mut self.is_outage, self.old_failure_rate >= threshold);
        was_outage != self.is_outage
    }

    /// Adds the evidence of another node, share by share and route by route.
    pub fn merge(&mut self, other: &Evidence) {
        self.new_requests += other.new_requests;
        self.old_requests += other.old_requests;
        for added in &other.strata {
            // Nodes can briefly be one step apart, so the sum may span one more share.
            let Some(stratum) = self.stratum_mut(added.share_permille, MAX_STRATA + 1) else {
                continue;
            };
            for route in &added.routes {
                let sum = stratum.route_mut(&route.name);
                sum.new.add(&route.new);
                sum.old.add(&route.old);
            }
        }
    }

    pub fn stratum(&self, share_permille: u32) -> Option<&Stratum> {
        self.strata.iter().find(|stratum| stratum.share_permille == share_permille)
    }

    /// Finds or adds a stratum; returns `None` for a share older than the `max_strata` that are
    /// kept.
    ///
    /// Shares only rise, so the lowest one is the oldest.
    fn stratum_mut(&mut self, share_permille: u32, max_strata: usize) -> Option<&mut Stratum> {
        let found = self.strata.binary_search_by_key(&share_permille, |known| known.share_permille);
        let index = match found {
            Ok(index) => index,
            Err(0) if self.strata.len() >= max_strata => return None,
            Err(index) => {
                self.strata.insert(index, Stratum { share_permille, routes: Vec::new() });
                if self.strata.len() > max_strata {
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
/// Each report holds all evidence of the node, so the next one replaces a lost report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub node: Arc<str>,
    /// Grows with each report of a node, also across restarts: a node counts from its start time in
    /// milliseconds.
    pub sequence: u64,
    pub key: Key,
    pub evidence: Evidence,
}

/// Keeps the latest report of each node for one move.
#[derive(Debug, Default, Clone)]
pub struct Reports {
    latest: BTreeMap<Arc<str>, Received>,
    /// Time at which the first report was received.
    first_received_ms: Option<u64>,
}

#[derive(Debug, Clone)]
struct Received {
    sequence: u64,
    received_ms: u64,
    evidence: Evidence,
}

impl Reports {
    /// Stores a report unless it is a repeat, older than the stored one, or of a node beyond the
    /// bound; reports whether it was stored.
    pub fn accept(&mut self, report: Report, now_ms: u64) -> bool {
        let known = self.latest.get(&report.node);
        if known.is_some_and(|known| report.sequence <= known.sequence) {
            return false;
        }
        if known.is_none() && self.latest.len() >= MAX_NODES {
            return false;
        }
        self.first_received_ms.get_or_insert(now_ms);
        let Report { node, sequence, evidence, .. } = report;
        self.latest.insert(node, Received { sequence, received_ms: now_ms, evidence });
        true
    }

    /// Reports whether most known nodes have reported recently, so that a share may be raised.
    ///
    /// A new lease holder first has to receive reports from the nodes. A holder that receives them
    /// from a minority only is partitioned, and would not learn of faults that other nodes observe.
    pub fn has_quorum(&self, now_ms: u64) -> bool {
        let nodes_within = |age_ms: u64| {
            let received = self.latest.values();
            received.filter(|received| received.received_ms + age_ms >= now_ms).count()
        };
        let settled = self.first_received_ms.is_some_and(|first| now_ms >= first + SETTLE_MS);
        settled && nodes_within(FRESH_REPORT_MS) * 2 > nodes_within(KNOWN_NODE_MS)
    }

    pub fn sum(&self) -> Evidence {
        let mut sum = Evidence::default();
        for received in self.latest.values() {
            sum.merge(&received.evidence);
        }
        sum
    }
}
