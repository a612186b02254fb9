//! Snapshot of the nodes' counters in the store, read back by nodes that start.
//!
//! Quotas and usage are counted in memory and gossiped between the nodes. Without the snapshot, a loss of
//! all nodes at once would let each tenant start an empty quota window, and the usage of the last windows
//! would be unknown. The holder of the duties lease writes it, in as many rows as its size requires. While no
//! live holder is known, which takes seconds after a loss of all nodes, the reader of the direct peers does.
//! Two sides of a partition may both write: each keeps the units of the other that it can't know.

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
use crate::gateway::usage::{self, Source};
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

/// Time after a heartbeat within which its sender may have written units that the heartbeat lacks and that
/// the extension of the quota window covers; see `gateway::quota`.
const HEARD_MARGIN: Duration = Duration::from_millis(300);
/// Age below which the snapshot of another writer that this node hears needs no replacement.
const FRESH_TIME: Duration = Duration::from_millis(1_000);

/// Units that one writer knew and that the writer of the snapshot, which didn't hear it, may lack.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Section {
    pub writer: Source,
    pub domain: Arc<str>,
    /// Corrected Unix time up to which the units were admitted, in milliseconds.
    pub true_ms: u64,
    pub window: Vec<(Arc<str>, quota::Profile)>,
}

impl Section {
    /// Leaves out the quarters of the window whose units were all admitted by `known_ms`; `None` if no
    /// units are left.
    fn without_known(mut self, known_ms: u64, window: Duration) -> Option<Section> {
        let quarter_ms = quarter_ms(window);
        let count = quota::Profile::default().len() as u64;
        for (index, units) in self.window.iter_mut().flat_map(|(_, it)| it.iter_mut().enumerate()) {
            let end_ms = self.true_ms.saturating_sub((count - 1 - index as u64) * quarter_ms);
            if end_ms <= known_ms {
                *units = 0;
            }
        }
        self.window.retain(|(_, profile)| profile.iter().any(|units| *units > 0));
        (!self.window.is_empty()).then_some(self)
    }
}

fn quarter_ms(window: Duration) -> u64 {
    (window.as_millis() as u64 / quota::Profile::default().len() as u64).max(1)
}

/// Counters of all nodes, or a part of them.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Corrected Unix time of the write, in milliseconds; equal in all parts.
    pub true_ms: u64,
    /// Number of parts.
    #[serde(default)]
    pub parts: usize,
    #[serde(default)]
    pub writer: Source,
    /// Failure domain of the writer.
    #[serde(default)]
    pub domain: Arc<str>,
    /// Quota units that all nodes have admitted for each tenant in the quota window, by age.
    pub window: Vec<(Arc<str>, quota::Profile)>,
    pub usage: Vec<(Source, u64, BTreeMap<Arc<str>, u64>)>,
    /// Phase and elapsed time of each roll-out, without its response counts.
    #[serde(default)]
    pub shifts: Vec<shift::Report>,
    /// Prompt parts in quarantine with the milliseconds since their last crash.
    #[serde(default)]
    pub quarantined: Vec<(u64, u64)>,
    /// Units of other writers that are not in `window`.
    #[serde(default)]
    pub others: Vec<Section>,
}

impl Snapshot {
    /// Splits the snapshot into parts that each fit into a row.
    pub fn split(self) -> Vec<Snapshot> {
        let empty = Snapshot {
            true_ms: self.true_ms,
            writer: self.writer.clone(),
            domain: self.domain.clone(),
            ..Snapshot::default()
        };
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
        for section in self.others {
            for chunk in section.window.chunks(MAX_PART_TENANTS) {
                let bytes = chunk.iter().map(|(tenant, _)| tenant.len() + ENTRY_BYTES);
                let bytes = section.writer.0.len() + 2 * ENTRY_BYTES + bytes.sum::<usize>();
                let section = Section { window: chunk.to_vec(), ..section.clone() };
                place(bytes, &mut |part| part.others.push(section.clone()));
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
            snapshot.others.extend(part.others);
            for (source, window, counts) in part.usage {
                match snapshot.usage.iter_mut().find(|it| (&it.0, it.1) == (&source, window)) {
                    Some((.., known)) => known.extend(counts),
                    None => snapshot.usage.push((source, window, counts)),
                }
            }
        }
        Some(snapshot)
    }

    /// Returns the units of other writers than `own` that a node lacks which knows everything that a writer
    /// knew up to the Unix time `known_ms`. A section without such units is left out.
    pub fn unknown_sections(
        &self,
        own: &Source,
        window: Duration,
        known_ms: impl Fn(&Section) -> u64,
    ) -> Vec<Section> {
        let main = Section {
            writer: self.writer.clone(),
            domain: self.domain.clone(),
            true_ms: self.true_ms,
            window: self.window.clone(),
        };
        let sections = std::iter::once(main).chain(self.others.iter().cloned());
        let foreign = sections.filter(|section| section.writer != *own);
        foreign
            .filter_map(|section| {
                let known_ms = known_ms(&section);
                section.without_known(known_ms, window)
            })
            .collect()
    }

    /// Returns the units that all writers know, by age at the time of the write. Ages of older sections are
    /// rounded down, so that no unit expires early.
    pub fn all_units(&self, window: Duration) -> Vec<(Arc<str>, quota::Profile)> {
        let mut sums: BTreeMap<Arc<str>, quota::Profile> = self.window.iter().cloned().collect();
        for section in &self.others {
            let age_ms = self.true_ms.saturating_sub(section.true_ms);
            let shift = (age_ms / quarter_ms(window)) as usize;
            for (tenant, profile) in &section.window {
                let sum = sums.entry(tenant.clone()).or_default();
                for (index, units) in profile.iter().enumerate().skip(shift) {
                    sum[index - shift] += units;
                }
            }
        }
        sums.into_iter().collect()
    }
}

/// Returns the key of the row that holds a part.
pub fn part_key(index: usize) -> String {
    if index == 0 { KEY.to_owned() } else { format!("{KEY}/{index}") }
}

/// Reports whether this node writes the snapshot now. `holds_lease` states that it holds the duties lease.
///
/// A node that lacks the history would overwrite it. A holder writes from its grant on, since its peers stop
/// then; the write is conditional and doesn't need the lease.
pub fn is_writer(node: &Node, holds_lease: bool, now: Duration) -> bool {
    let is_whole_window_seen = now.saturating_sub(node.started_at) > window(node) + MAX_LAG;
    let is_restored = node.recalled_ms.get().is_some();
    let is_missing_history = node.quotas.borrow().is_missing_history();
    if !is_restored || is_missing_history && !is_whole_window_seen {
        return false;
    }
    let peers = node.peers.borrow();
    // Before it has heard its peers, each node takes itself for the reader.
    let awaits_peers =
        || node.listed_at.get().is_none_or(|at| peers.awaits_first_heartbeat(at, now));
    holds_lease || peers.is_reader(now) && !peers.has_live_holder(now) && !awaits_peers()
}

/// Returns the length of the quota windows, which profiles divide into quarters.
fn window(node: &Node) -> Duration {
    node.quotas.borrow().length()
}

/// Returns the Unix time up to which this node knows what the writer of a section knew: when it last heard the
/// writer, or when the snapshot was written that it restored. Units older than a window have expired.
fn known_ms(node: &Node, section: &Section, now: Duration) -> u64 {
    let now_ms = node.unix_ms();
    let expired_ms = now_ms.saturating_sub(window(node).as_millis() as u64);
    let restored_ms = node.recalled_ms.get().filter(|restored_ms| section.true_ms <= *restored_ms);
    let ((writer, incarnation), domain) = (&section.writer, &section.domain);
    let heard = node.peers.borrow().last_heard(writer, *incarnation, domain);
    let heard_ms = heard.map(|heard| {
        let age = now.saturating_sub(heard + HEARD_MARGIN);
        now_ms.saturating_sub(age.as_millis() as u64)
    });
    expired_ms.max(restored_ms.unwrap_or(0)).max(heard_ms.unwrap_or(0))
}

/// Writes the snapshot while this node is the writer; a new one starts with a new writer.
#[derive(Debug, Default)]
pub struct Writer {
    version: Option<u64>,
    is_version_known: bool,
    /// Snapshot that this node replaces.
    stored: Option<Snapshot>,
}

impl Writer {
    /// Writes the current counters; a failed write is not repeated, as the next one replaces it.
    pub async fn write(&mut self, node: &Rc<Node>) {
        if !self.is_version_known {
            let Ok(rows) = (node.platform.rows)(KEY.to_owned()).await else { return };
            self.version = rows.rows.iter().find(|row| row.key == KEY).map(|row| row.version);
            self.stored = Snapshot::join(&rows.rows);
            if self.stored.is_none() && self.version.is_some() {
                log::warn!(
                    "recall: event=bad_row note=\"the snapshot can't be read and is replaced\""
                );
            }
            if self.is_written_by_peer(node) {
                return;
            }
            self.is_version_known = true;
        }
        let snapshot = self.snapshot(node);
        let mut transaction = Transaction::default();
        for (index, part) in snapshot.clone().split().into_iter().enumerate() {
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
        let outcome = (node.platform.transact)(transaction).await;
        node.metrics.record_snapshot_write(match &outcome {
            Ok(Outcome::Done(_)) => "done",
            Ok(Outcome::Rejected(_)) => "conflict",
            _ => "failed",
        });
        match outcome {
            Ok(Outcome::Done(version)) => {
                (self.version, self.stored) = (Some(version), Some(snapshot));
            }
            outcome => {
                log::debug!("recall: event=unwritten result={outcome:?}");
                self.is_version_known = false;
            }
        }
    }

    /// Reports whether another node that this one hears has just written the snapshot: several groups of
    /// direct peers would replace each other's otherwise. The holder of the lease doesn't stand back.
    fn is_written_by_peer(&self, node: &Node) -> bool {
        let Some(stored) = &self.stored else { return false };
        let ((writer, incarnation), now) = (&stored.writer, clock::now());
        let age_ms = node.unix_ms().saturating_sub(stored.true_ms);
        let heard = node.peers.borrow().last_heard(writer, *incarnation, &stored.domain);
        let is_heard = heard.is_some_and(|heard| now.saturating_sub(heard) < HEARD_MARGIN);
        is_heard && age_ms < FRESH_TIME.as_millis() as u64 && !node.holds_duties.get()
    }

    fn snapshot(&self, node: &Node) -> Snapshot {
        let (now, own) = (clock::now(), node.source());
        let stored = self.stored.as_ref();
        let others = stored.map_or(Vec::new(), |stored| {
            stored.unknown_sections(&own, window(node), |it| known_ms(node, it, now))
        });
        let mut usage = node.usage.borrow().all_counts(&own, USAGE_WINDOWS);
        // The sums of other failure domains overlap with the counts of their nodes.
        if let Some(stored) =
            stored.filter(|_| !others.is_empty() && !node.peers.borrow().is_split())
        {
            let oldest = node.report_window().saturating_sub(USAGE_WINDOWS as u64);
            for (source, window, counts) in &stored.usage {
                let is_known = usage.iter().any(|it| (&it.0, it.1) == (source, *window));
                if *window >= oldest && source.1 != usage::DOMAIN_START && !is_known {
                    usage.push((source.clone(), *window, counts.clone()));
                }
            }
        }
        Snapshot {
            true_ms: node.unix_ms(),
            writer: own,
            domain: node.settings.failure_domain.clone(),
            window: node.quotas.borrow_mut().profiles(now),
            usage,
            shifts: node.shifts.borrow().reports_without_evidence(now),
            quarantined: node.quarantine.borrow().stored(now),
            others,
            ..Snapshot::default()
        }
    }
}

/// Restores the snapshot after a start. Retries until the roll-outs are restored and the quota sums are
/// known, from the snapshot or from a peer; stops if there is no snapshot.
pub async fn restore(node: Rc<Node>) {
    let restored_ms = if node.settings.first_start { 0 } else { read_history(&node).await };
    node.recalled_ms.set(Some(restored_ms));
}

/// Returns the time of the snapshot whose quota units this node has restored; 0 if it has them from elsewhere.
async fn read_history(node: &Rc<Node>) -> u64 {
    let mut has_rollouts = false;
    while node.quotas.borrow().is_missing_history() || !has_rollouts {
        let rows = (node.platform.rows)(KEY.to_owned()).await;
        let Ok(rows) = rows else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let Some(snapshot) = Snapshot::join(&rows.rows) else {
            log::warn!("recall: event=no_row note=\"no snapshot; quotas count as exhausted\"");
            return 0;
        };
        if !has_rollouts {
            restore_rollouts(node, snapshot.shifts.clone(), snapshot.true_ms);
            restore_quarantine(node, &snapshot);
            has_rollouts = true;
        }
        let was_missing_history = node.quotas.borrow().is_missing_history();
        if apply(node, &snapshot) {
            return if was_missing_history { snapshot.true_ms } else { 0 };
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    0
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

/// Applies the counters of the snapshot; returns `false` while the quotas are not configured yet, or the
/// snapshot seems to be from the future.
fn apply(node: &Rc<Node>, snapshot: &Snapshot) -> bool {
    for (source, window, counts) in &snapshot.usage {
        node.usage.borrow_mut().restore(source.clone(), *window, counts.clone());
    }
    let now = node.unix_ms();
    let Some(age) = now.checked_sub(snapshot.true_ms).map(Duration::from_millis) else {
        // The clocks of this node and the writer differ and the age is unknown, so the history is not
        // known unless a peer has provided it.
        return !node.quotas.borrow().is_missing_history();
    };
    let units = snapshot.all_units(window(node));
    let mut quotas = node.quotas.borrow_mut();
    let is_applied = quotas.restore(&units, age, MAX_LAG, clock::now());
    if is_applied {
        log::info!("recall: event=recalled age_ms={}", age.as_millis());
    }
    is_applied
}
