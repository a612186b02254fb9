//! Demand reports: each node writes its own to the table, and the lease holder sums them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use prometheus::core::Collector;
use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::platform::{Row, Transaction, Write};
use crate::resource::{Catalog, Protocol};

/// Prefix of the keys of the demand rows; each node has one row.
pub const KEY_PREFIX: &str = "capacity/demand/";
/// Interval between reports of a node; 330 nodes cause 11 writes/s to the table.
pub const REPORT_PERIOD: Duration = Duration::from_secs(30);
/// Age up to which the report of a node that stopped reporting counts, as its callers still exist.
const MAX_REPORT_AGE: Duration = Duration::from_secs(600);
/// Age after which the row of a node that no longer exists is deleted.
const DELETION_AGE: Duration = Duration::from_secs(86_400);
/// Result label of a request whose response was complete.
const COMPLETE_RESULT: &str = "complete";
/// Largest factor by which the served tokens are scaled up to account for refused requests.
const MAX_REFUSAL_FACTOR: f64 = 4.0;

/// Demand for one service, in requests and tokens per second.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    pub requests: f64,
    pub tokens: f64,
}

/// Report of one node, stored as the value of its row.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Time of the report in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub services: BTreeMap<Arc<str>, Demand>,
    /// VMs that this node sends no new requests because they are drained.
    pub drained: BTreeSet<Arc<str>>,
}

/// Requests to one service: all, and those with a complete response.
#[derive(Debug, Default, Clone)]
struct Count {
    requests: f64,
    completed: f64,
}

/// Derives rates from the cumulative counters of the node.
#[derive(Debug, Default)]
pub struct Meter {
    /// Time, request counts and token count of the previous measurement.
    last: Option<(Duration, BTreeMap<Arc<str>, Count>, u64)>,
}

impl Meter {
    /// Returns the mean demand since the previous call; the first call returns an empty map.
    pub fn measure(&mut self, node: &Node, catalog: &Catalog) -> BTreeMap<Arc<str>, Demand> {
        let (now, counts, tokens) = (node.now(), request_counts(node), node.metrics.tokens.get());
        let Some((since, old, old_tokens)) = self.last.replace((now, counts.clone(), tokens))
        else {
            return BTreeMap::new();
        };
        let seconds = now.saturating_sub(since).as_secs_f64().max(1e-3);
        let increase = |name: &Arc<str>, count: &Count| {
            let old = old.get(name).cloned().unwrap_or_default();
            let requests = (count.requests - old.requests).max(0.0);
            Count { requests, completed: (count.completed - old.completed).max(0.0) }
        };
        let counts: BTreeMap<_, _> =
            counts.iter().map(|(name, count)| (name.clone(), increase(name, count))).collect();
        let is_model = |name: &str| {
            catalog.service(name).is_some_and(|service| service.protocol == Protocol::Model)
        };
        let model_total = |field: fn(&Count) -> f64| -> f64 {
            counts.iter().filter(|(name, _)| is_model(name)).map(|(_, count)| field(count)).sum()
        };
        let (requests, completed) =
            (model_total(|count| count.requests), model_total(|count| count.completed));
        // The token counter covers all model services together and only tokens that were served, so
        // it is scaled up by the refused requests and divided among the services by their requests.
        let refusal_factor = (requests / completed.max(1.0)).clamp(1.0, MAX_REFUSAL_FACTOR);
        let tokens = tokens.saturating_sub(old_tokens) as f64 * refusal_factor;
        let demand = |name: &str, count: &Count| Demand {
            requests: count.requests / seconds,
            tokens: match is_model(name) && requests > 0.0 {
                true => tokens * count.requests / requests / seconds,
                false => 0.0,
            },
        };
        counts.iter().map(|(name, count)| (name.clone(), demand(name, count))).collect()
    }
}

fn request_counts(node: &Node) -> BTreeMap<Arc<str>, Count> {
    let mut counts: BTreeMap<Arc<str>, Count> = BTreeMap::new();
    for family in node.metrics.requests.collect() {
        for metric in family.get_metric() {
            let label = |name: &str| {
                metric.get_label().iter().find(|label| label.name() == name).map(|it| it.value())
            };
            let Some(service) = label("service") else { continue };
            let count = counts.entry(service.into()).or_default();
            let value = metric.get_counter().value();
            count.requests += value;
            if label("result") == Some(COMPLETE_RESULT) {
                count.completed += value;
            }
        }
    }
    counts
}

/// Writes the report of this node; a failed write isn't retried, as the next report replaces it.
pub async fn write_report(node: &Node, report: &Report) {
    let Ok(value) = serde_json::to_value(report) else { return };
    let key = format!("{KEY_PREFIX}{}", node.settings.node);
    let writes = vec![Write { key, value: Some(value) }];
    node.client.transact(&Transaction { conditions: Vec::new(), writes }).await;
}

/// Returns the reports that are recent enough to count, and the keys of rows to be deleted.
///
/// `now` is the time since the Unix epoch.
pub fn current_reports(rows: &BTreeMap<String, Row>, now: Duration) -> (Vec<Report>, Vec<String>) {
    let (mut reports, mut expired) = (Vec::new(), Vec::new());
    for (key, row) in rows.iter().filter(|(key, _)| key.starts_with(KEY_PREFIX)) {
        let Ok(report) = Report::deserialize(&row.value) else { continue };
        let age = now.saturating_sub(Duration::from_millis(report.at_ms));
        if age > DELETION_AGE {
            expired.push(key.clone());
        } else if age <= MAX_REPORT_AGE {
            reports.push(report);
        }
    }
    (reports, expired)
}

/// Sums the demand of all nodes by service.
pub fn sum_by_service(reports: &[Report]) -> BTreeMap<Arc<str>, Demand> {
    let mut sums: BTreeMap<Arc<str>, Demand> = BTreeMap::new();
    for (name, demand) in reports.iter().flat_map(|report| &report.services) {
        let sum = sums.entry(name.clone()).or_default();
        sum.requests += demand.requests;
        sum.tokens += demand.tokens;
    }
    sums
}
