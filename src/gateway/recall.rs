//! Row in the store from which nodes recall what was counted before all of them were killed.
//!
//! Quotas and usage are counted in memory and told between nodes; without this row, a loss of all
//! nodes at once would let each tenant begin a new window, and the usage of the last windows would
//! be unknown. The holder of the duties writes it.

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
/// Time between two writes.
pub const PERIOD: Duration = Duration::from_millis(500);
/// Longest time that may lie between what is counted and the row: the period and one slow write.
const UNRECORDED: Duration = Duration::from_millis(1_200);
/// Windows of usage kept in the row.
const WINDOWS: usize = 3;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

#[derive(Debug, Serialize, Deserialize)]
struct Recent {
    true_ms: u64,
    /// Units of each tenant in the window of the quotas, over all nodes.
    window_sums: Vec<(Arc<str>, u64)>,
    usage: Vec<(Source, u64, BTreeMap<Arc<str>, u64>)>,
    /// Roll-outs with the time for which they have run.
    #[serde(default)]
    shifts: Vec<shift::Report>,
}

/// Writes the row; one value lives as long as this node holds the duties.
#[derive(Debug, Default)]
pub struct Writer {
    version: Option<u64>,
    is_known: bool,
}

impl Writer {
    /// Writes what is counted now; a failed write is made good by the next.
    pub async fn write(&mut self, node: &Rc<Node>) {
        if !self.is_known {
            let Ok(rows) = (node.platform.rows)(KEY.to_owned()).await else { return };
            self.version = rows.rows.iter().find(|row| row.key == KEY).map(|row| row.version);
            self.is_known = true;
        }
        let recent = Recent {
            true_ms: node.unix_ms(),
            window_sums: node.quotas.borrow_mut().sums(clock::now()),
            usage: node.usage.borrow().all_counts(&node.source(), WINDOWS),
            shifts: node.shifts.borrow().reports_without_tallies(clock::now()),
        };
        let value = match serde_json::to_value(&recent) {
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
            _ => self.is_known = false,
        }
    }
}

/// Reads the row after a start, until it is known or a peer has told the counts.
pub async fn load(node: Rc<Node>) {
    if node.settings.first_start {
        return;
    }
    let mut remembered = false;
    while node.quotas.borrow().is_unsure() || !remembered {
        let rows = (node.platform.rows)(KEY.to_owned()).await;
        let Ok(rows) = rows else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let row = rows.rows.iter().find(|row| row.key == KEY);
        let recent = row.and_then(|row| Recent::deserialize(&row.value).ok());
        let Some(recent) = recent else {
            log::warn!("recall: event=no_row note=\"quotas count as used up\"");
            return;
        };
        if !remembered {
            remember_shifts(&node, recent.shifts.clone(), recent.true_ms);
            remembered = true;
        }
        if take(&node, &recent) {
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn remember_shifts(node: &Node, shifts: Vec<shift::Report>, true_ms: u64) {
    let age = Duration::from_millis(node.unix_ms().saturating_sub(true_ms));
    node.shifts.borrow_mut().restore(shifts, age, clock::now());
}

/// Takes the counts, once the tenants are known.
fn take(node: &Rc<Node>, recent: &Recent) -> bool {
    for (source, window, counts) in &recent.usage {
        node.usage.borrow_mut().restore(source.clone(), *window, counts.clone());
    }
    let now = node.unix_ms();
    let Some(age) = now.checked_sub(recent.true_ms).map(Duration::from_millis) else {
        // The clocks of this node and the writer differ, so the age isn't known.
        return true;
    };
    let mut quotas = node.quotas.borrow_mut();
    let taken = quotas.recall(&recent.window_sums, age, UNRECORDED, clock::now());
    if taken {
        log::info!("recall: event=recalled age_ms={}", age.as_millis());
    }
    taken
}
