//! Snapshot of the nodes' counters in the store, read back by nodes that start.
//!
//! Quotas and usage are counted in memory and gossiped between the nodes. Without the snapshot, a loss of
//! all nodes at once would let each tenant start an empty quota window, and the usage of the last windows
//! would be unknown. The holder of the duties lease writes it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::clock;
use crate::gateway::node::Node;
use crate::gateway::shift;
use crate::gateway::usage::Source;
use crate::platform::{Outcome, Transaction};

const KEY: &str = "recent";
/// Interval between writes.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time by which the snapshot lags behind the counters: the write interval and one slow write.
const MAX_LAG: Duration = Duration::from_millis(1_200);
/// Number of usage windows in the snapshot.
const USAGE_WINDOWS: usize = 3;
/// Delay after a read that failed or whose counters could not be applied yet.
const RETRY_DELAY: Duration = Duration::from_millis(300);

#[derive(Debug, Serialize, Deserialize)]
struct Snapshot {
    /// Corrected Unix time of the write, in milliseconds.
    true_ms: u64,
    /// Quota units that all nodes have admitted for each tenant in the quota window.
    window_sums: Vec<(Arc<str>, u64)>,
    usage: Vec<(Source, u64, BTreeMap<Arc<str>, u64>)>,
    /// Phase and elapsed time of each roll-out, without its response counts.
    #[serde(default)]
    shifts: Vec<shift::Report>,
}

/// Writes the snapshot while this node holds the duties lease; a new holder starts with a new writer.
#[derive(Debug, Default)]
pub struct Writer {
    version: Option<u64>,
    is_version_known: bool,
}

impl Writer {
    /// Writes the current counters; a failed write is not repeated, as the next one replaces it.
    pub async fn write(&mut self, node: &Rc<Node>) {
        if !self.is_version_known {
            let Ok(rows) = (node.platform.rows)(KEY.to_owned()).await else { return };
            self.version = rows.rows.iter().find(|row| row.key == KEY).map(|row| row.version);
            self.is_version_known = true;
        }
        let snapshot = Snapshot {
            true_ms: node.unix_ms(),
            window_sums: node.quotas.borrow_mut().sums(clock::now()),
            usage: node.usage.borrow().all_counts(&node.source(), USAGE_WINDOWS),
            shifts: node.shifts.borrow().reports_without_tallies(clock::now()),
        };
        let value = match serde_json::to_value(&snapshot) {
            Ok(value) => value,
            Err(error) => {
                log::error!("recall: event=encode_failed error=\"{error}\"");
                return;
            }
        };
        let mut transaction = Transaction::default();
        transaction.put(KEY, self.version, value);
        match (node.platform.transact)(transaction).await {
            Ok(Outcome::Done(version)) => self.version = Some(version),
            _ => self.is_version_known = false,
        }
    }
}

/// Restores the snapshot after a start. Retries until the roll-outs are restored and the quota sums are
/// known, from the snapshot or from a peer; stops if there is no snapshot.
pub async fn restore(node: Rc<Node>) {
    if node.settings.first_start {
        return;
    }
    let mut has_rollouts = false;
    while node.quotas.borrow().is_missing_history() || !has_rollouts {
        let rows = (node.platform.rows)(KEY.to_owned()).await;
        let Ok(rows) = rows else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let row = rows.rows.iter().find(|row| row.key == KEY);
        let snapshot = row.and_then(|row| Snapshot::deserialize(&row.value).ok());
        let Some(snapshot) = snapshot else {
            log::warn!("recall: event=no_row note=\"no snapshot; quotas count as exhausted\"");
            return;
        };
        if !has_rollouts {
            restore_rollouts(&node, snapshot.shifts.clone(), snapshot.true_ms);
            has_rollouts = true;
        }
        if apply(&node, &snapshot) {
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn restore_rollouts(node: &Node, rollouts: Vec<shift::Report>, true_ms: u64) {
    let age = Duration::from_millis(node.unix_ms().saturating_sub(true_ms));
    node.shifts.borrow_mut().restore(rollouts, age, clock::now());
}

/// Applies the counters of the snapshot; returns `false` while the quotas are not configured yet.
fn apply(node: &Rc<Node>, snapshot: &Snapshot) -> bool {
    for (source, window, counts) in &snapshot.usage {
        node.usage.borrow_mut().restore(source.clone(), *window, counts.clone());
    }
    let now = node.unix_ms();
    let Some(age) = now.checked_sub(snapshot.true_ms).map(Duration::from_millis) else {
        // The snapshot is from the future, so the clocks of this node and the writer differ and the
        // age is unknown.
        return true;
    };
    let mut quotas = node.quotas.borrow_mut();
    let is_applied = quotas.restore(&snapshot.window_sums, age, MAX_LAG, clock::now());
    if is_applied {
        log::info!("recall: event=recalled age_ms={}", age.as_millis());
    }
    is_applied
}
