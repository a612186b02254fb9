//! Snapshot of the nodes' counters in the store, read back by nodes that start.
//!
//! Quotas and usage are counted in memory and gossiped between the nodes. Without the snapshot, a loss of
//! all nodes at once would let each tenant start an empty quota window, and the usage of the last windows
//! would be unknown. The holder of the duties lease writes it, in as many rows as its size requires.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::clock;
use crate::gateway::crash;
use crate::gateway::node::Node;
use crate::gateway::quota;
use crate::gateway::shift;
use crate::gateway::usage::Source;
use crate::platform::{Outcome, Row, Transaction, Write};

/// Key of the row with the first part; the others have their number as a suffix.
const KEY: &str = "recent";
/// Largest size of a part, in bytes of JSON. The platform's rows hold 64 KiB.
const MAX_PART_BYTES: usize = 40_000;
/// Most tenants in one entry of the usage, so that an entry fits into a part.
const MAX_PART_TENANTS: usize = 500;
/// Size of a roll-out's report in JSON.
const MAX_REPORT_BYTES: usize = 400;
/// Size of an entry in JSON besides the tenants' names: quotes, digits and separators.
const ENTRY_BYTES: usize = 60;
/// Interval between writes.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time by which the snapshot lags behind the counters: the write interval and one slow write.
const MAX_LAG: Duration = Duration::from_millis(1_200);
/// Number of usage windows in the snapshot.
const USAGE_WINDOWS: usize = 3;
/// Delay after a read that failed or whose counters could not be applied yet.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Counters of all nodes, or a part of them.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Corrected Unix time of the write, in milliseconds; equal in all parts.
    pub true_ms: u64,
    /// Number of parts.
    #[serde(default)]
    pub parts: usize,
    /// Quota units that all nodes have admitted for each tenant in the quota window, by age.
    pub window: Vec<(Arc<str>, quota::Profile)>,
    pub usage: Vec<(Source, u64, BTreeMap<Arc<str>, u64>)>,
    /// Phase and elapsed time of each roll-out, without its response counts.
    #[serde(default)]
    pub shifts: Vec<shift::Report>,
    /// Prompt parts in quarantine with the milliseconds since their last crash.
    #[serde(default)]
    pub quarantined: Vec<(u64, u64)>,
}

impl Snapshot {
    /// Splits the snapshot into parts that each fit into a row.
    pub fn split(self) -> Vec<Snapshot> {
        let empty = Snapshot { true_ms: self.true_ms, ..Snapshot::default() };
        let mut size = self.shifts.len() * MAX_REPORT_BYTES + self.quarantined.len() * ENTRY_BYTES;
        let first =
            Snapshot { shifts: self.shifts, quarantined: self.quarantined, ..empty.clone() };
        let mut parts = vec![first];
        let mut place = |bytes: usize, add: &mut dyn FnMut(&mut Snapshot)| {
            if size > 0 && size + bytes > MAX_PART_BYTES {
                parts.push(empty.clone());
                size = 0;
            }
            size += bytes;
            parts.last_mut().map(add);
        };
        for (tenant, profile) in self.window {
            place(tenant.len() + ENTRY_BYTES, &mut |part| {
                part.window.push((tenant.clone(), profile))
            });
        }
        for ((node, start), window, counts) in self.usage {
            let counts: Vec<_> = counts.into_iter().collect();
            for chunk in counts.chunks(MAX_PART_TENANTS) {
                let bytes = chunk.iter().map(|(tenant, _)| tenant.len() + ENTRY_BYTES);
                let bytes = node.len() + 2 * ENTRY_BYTES + bytes.sum::<usize>();
                let source = (node.clone(), start);
                let counts: BTreeMap<_, _> = chunk.iter().cloned().collect();
                place(bytes, &mut |part| part.usage.push((source.clone(), window, counts.clone())));
            }
        }
        let count = parts.len();
        parts.iter_mut().for_each(|part| part.parts = count);
        parts
    }

    /// Joins the parts in a list of rows; `None` if the first is missing or another one is of a different
    /// write.
    pub fn join(rows: &[Row]) -> Option<Snapshot> {
        let part = |index: usize| {
            let row = rows.iter().find(|row| row.key == part_key(index))?;
            Snapshot::deserialize(&row.value).ok()
        };
        let mut snapshot = part(0)?;
        for index in 1..snapshot.parts {
            let part = part(index).filter(|part| part.true_ms == snapshot.true_ms)?;
            snapshot.window.extend(part.window);
            for (source, window, counts) in part.usage {
                match snapshot.usage.iter_mut().find(|it| (&it.0, it.1) == (&source, window)) {
                    Some((.., known)) => known.extend(counts),
                    None => snapshot.usage.push((source, window, counts)),
                }
            }
        }
        Some(snapshot)
    }
}

/// Returns the key of the row that holds a part.
pub fn part_key(index: usize) -> String {
    if index == 0 { KEY.to_owned() } else { format!("{KEY}/{index}") }
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
            window: node.quotas.borrow_mut().profiles(clock::now()),
            usage: node.usage.borrow().all_counts(&node.source(), USAGE_WINDOWS),
            shifts: node.shifts.borrow().reports_without_evidence(clock::now()),
            quarantined: node.quarantine.borrow().stored(clock::now()),
            ..Snapshot::default()
        };
        let mut transaction = Transaction::default();
        for (index, part) in snapshot.split().into_iter().enumerate() {
            let value = match serde_json::to_value(&part) {
                Ok(value) => value,
                Err(error) => {
                    log::error!("recall: event=encode_failed error=\"{error}\"");
                    return;
                }
            };
            match index {
                0 => transaction.put(KEY, self.version, value),
                // The condition on the first part covers the others, as all are written at once.
                _ => transaction.writes.push(Write { key: part_key(index), value: Some(value) }),
            }
        }
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
        let Some(snapshot) = Snapshot::join(&rows.rows) else {
            log::warn!("recall: event=no_row note=\"no snapshot; quotas count as exhausted\"");
            return;
        };
        if !has_rollouts {
            restore_rollouts(&node, snapshot.shifts.clone(), snapshot.true_ms);
            restore_quarantine(&node, &snapshot);
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

fn restore_quarantine(node: &Node, snapshot: &Snapshot) {
    let age_ms = node.unix_ms().saturating_sub(snapshot.true_ms);
    let aged = |(part, part_age_ms): &(u64, u64)| (*part, part_age_ms.saturating_add(age_ms));
    let stored: Vec<_> = snapshot.quarantined.iter().map(aged).collect();
    let parts = node.quarantine.borrow_mut().restore(&stored, clock::now());
    crash::record_quarantined(node, &parts, "snapshot");
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
    let is_applied = quotas.restore(&snapshot.window, age, MAX_LAG, clock::now());
    if is_applied {
        log::info!("recall: event=recalled age_ms={}", age.as_millis());
    }
    is_applied
}
