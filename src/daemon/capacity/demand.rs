//! Demand of this node, written to the table, and the sum over all nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use prometheus::core::Collector;
use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::platform::{Row, Transaction, Write};
use crate::resource::{Catalog, Protocol};

/// Starts the keys of the demand rows, one row per node.
pub const PREFIX: &str = "capacity/demand/";
/// Period of the demand rows; at 330 nodes they take 11 writes/s of the table.
pub const PERIOD: Duration = Duration::from_secs(30);
/// Age up to which the row of a silent node counts: its callers have not gone away.
const FRESH: Duration = Duration::from_secs(600);
/// Age from which the row of a node that is gone is deleted.
const OLD: Duration = Duration::from_secs(86_400);
/// Result label of a request that was answered in full.
const COMPLETE: &str = "complete";
/// Largest factor by which refused requests raise the tokens that were served.
const REFUSED_LIMIT: f64 = 4.0;

/// Holds the demand of one service per second.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    pub requests: f64,
    pub tokens: f64,
}

/// Holds what a node reports.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub services: BTreeMap<Arc<str>, Demand>,
    /// VMs that this node sends no new work because they are drained.
    pub drained: BTreeSet<Arc<str>>,
}

/// Counts since the start of the process.
#[derive(Debug, Default, Clone)]
struct Count {
    requests: f64,
    complete: f64,
}

/// Turns the counters of the node into rates.
#[derive(Debug, Default)]
pub struct Meter {
    last: Option<(Duration, BTreeMap<Arc<str>, Count>, u64)>,
}

impl Meter {
    /// Gives the demand since the last call; nothing at the first one.
    pub fn read(&mut self, node: &Node, catalog: &Catalog) -> BTreeMap<Arc<str>, Demand> {
        let (now, counts, tokens) = (node.now(), counts(node), node.metrics.tokens.get());
        let Some((since, old, old_tokens)) = self.last.replace((now, counts.clone(), tokens))
        else {
            return BTreeMap::new();
        };
        let seconds = now.saturating_sub(since).as_secs_f64().max(1e-3);
        let new = |name: &Arc<str>, count: &Count| {
            let old = old.get(name).cloned().unwrap_or_default();
            let requests = (count.requests - old.requests).max(0.0);
            Count { requests, complete: (count.complete - old.complete).max(0.0) }
        };
        let counts: BTreeMap<_, _> =
            counts.iter().map(|(name, count)| (name.clone(), new(name, count))).collect();
        let is_model = |name: &str| {
            catalog.service(name).is_some_and(|service| service.protocol == Protocol::Model)
        };
        let sum = |part: fn(&Count) -> f64| -> f64 {
            counts.iter().filter(|(name, _)| is_model(name)).map(|(_, count)| part(count)).sum()
        };
        let (requests, complete) = (sum(|count| count.requests), sum(|count| count.complete));
        // The node counts tokens of all services together, and only those that were served.
        let refused = (requests / complete.max(1.0)).clamp(1.0, REFUSED_LIMIT);
        let tokens = tokens.saturating_sub(old_tokens) as f64 * refused;
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

fn counts(node: &Node) -> BTreeMap<Arc<str>, Count> {
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
            if label("result") == Some(COMPLETE) {
                count.complete += value;
            }
        }
    }
    counts
}

/// Writes the report of this node; a lost one is made up for by the next.
pub async fn write(node: &Node, report: &Report) {
    let Ok(value) = serde_json::to_value(report) else { return };
    let key = format!("{PREFIX}{}", node.settings.node);
    let writes = vec![Write { key, value: Some(value) }];
    node.client.transact(&Transaction { conditions: Vec::new(), writes }).await;
}

/// Gives the reports of the nodes that were heard of lately, and the keys of rows to be deleted.
pub fn collect(rows: &BTreeMap<String, Row>, now: Duration) -> (Vec<Report>, Vec<String>) {
    let (mut reports, mut old) = (Vec::new(), Vec::new());
    for (key, row) in rows.iter().filter(|(key, _)| key.starts_with(PREFIX)) {
        let Ok(report) = Report::deserialize(&row.value) else { continue };
        let age = now.saturating_sub(Duration::from_millis(report.at_ms));
        if age > OLD {
            old.push(key.clone());
        } else if age <= FRESH {
            reports.push(report);
        }
    }
    (reports, old)
}

/// Sums the demand of all nodes by service.
pub fn sum(reports: &[Report]) -> BTreeMap<Arc<str>, Demand> {
    let mut sums: BTreeMap<Arc<str>, Demand> = BTreeMap::new();
    for (name, demand) in reports.iter().flat_map(|report| &report.services) {
        let sum = sums.entry(name.clone()).or_default();
        sum.requests += demand.requests;
        sum.tokens += demand.tokens;
    }
    sums
}
