//! Records of roll-outs in the store.
//!
//! What the operators read about a roll-out and what nodes remember of it are written in one transaction, on
//! condition that the record hasn't changed. So an outcome that operators have read holds after a loss of all
//! nodes, and two holders of the duties can't report different outcomes. See `docs/platform.md`,
//! "Rules that decide the code".

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::clock;
use crate::gateway::node::Node;
use crate::gateway::platform::{Phase, Progress};
use crate::gateway::roster::Entry;
use crate::gateway::version::Version;
use crate::platform::{Failure, Outcome, Row, Transaction};

/// Key prefix of the records; the name of the service follows.
const KEY_PREFIX: &str = "rollout/";
/// Most versions that were ordered and not completed that are remembered. The platform removes the endpoints of a
/// version some seconds after its roll-out.
const MAX_UNCOMPLETED: usize = 16;
/// Delay after a read that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay after a read that showed a record which can't be read. A node that knows the roll-out replaces it.
const UNREADABLE_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Recorded state of the newest roll-out of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version of the operators' declaration in the store.
    pub revision: Version,
    /// Software version that the roll-out introduces.
    pub version: Arc<str>,
    pub phase: Phase,
    /// What earlier roll-outs have left.
    #[serde(default)]
    pub earlier: Earlier,
}

/// Versions of a service that roll-outs before the newest one have introduced.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Earlier {
    /// Version that was completed last, with the revision of its roll-out.
    completed: Option<(Version, Arc<str>)>,
    /// Versions that some node knows as ordered and not as completed. A node that was cut off may have missed the
    /// completion, so that `completed` takes precedence.
    uncompleted: Vec<Arc<str>>,
}

impl Earlier {
    /// Returns whether a version was ordered and not completed. It gets no requests.
    pub fn is_rejected(&self, version: &str) -> bool {
        let is_completed = self.completed.as_ref().is_some_and(|(_, it)| **it == *version);
        !is_completed && self.uncompleted.iter().any(|it| **it == *version)
    }

    /// Adds the version of a roll-out as it was when the next one came.
    pub fn add(&mut self, revision: Version, version: &Arc<str>, phase: Phase) {
        match phase {
            Phase::Completed => self.complete(revision, version),
            Phase::InProgress | Phase::Reverted => self.add_uncompleted(version),
        }
    }

    /// Adds what another node knows.
    pub fn merge(&mut self, other: &Earlier) {
        if let Some((revision, version)) = &other.completed {
            self.complete(*revision, version);
        }
        for version in &other.uncompleted {
            self.add_uncompleted(version);
        }
    }

    fn complete(&mut self, revision: Version, version: &Arc<str>) {
        if self.completed.as_ref().is_none_or(|(newest, _)| *newest < revision) {
            self.completed = Some((revision, version.clone()));
        }
    }

    fn add_uncompleted(&mut self, version: &Arc<str>) {
        if !self.uncompleted.contains(version) {
            self.uncompleted.push(version.clone());
            self.uncompleted.drain(..self.uncompleted.len().saturating_sub(MAX_UNCOMPLETED));
        }
    }
}

/// Record of a service with the version of its row; `None` if the record can't be read.
type Stored = (u64, Option<Record>);

/// Reads the records by service and adopts those of known roll-outs.
async fn read(node: &Node) -> Result<HashMap<Arc<str>, Stored>, Failure> {
    let mut awaited = node.shifts.borrow().awaited_records();
    let rows = (node.platform.rows)(KEY_PREFIX.to_owned()).await?;
    let record = |row: Row| {
        let service = row.key.strip_prefix(KEY_PREFIX)?.into();
        Some((service, (row.version, node.decode_own(&row))))
    };
    let records: HashMap<Arc<str>, Stored> = rows.rows.into_iter().filter_map(record).collect();
    let mut shifts = node.shifts.borrow_mut();
    // A record that can't be read may say how this roll-out has ended, unless it is older than the order.
    awaited.retain(|service| match records.get(service) {
        Some((version, None)) => {
            shifts.revision(service).is_none_or(|revision| Version::unpack(*version) < revision)
        }
        _ => true,
    });
    shifts.adopt_records(&awaited, |service| records.get(service)?.1.as_ref());
    drop(shifts);
    Ok(records)
}

/// Reads the record of each roll-out that this node has learned of from its declaration, until the process ends.
/// Until then the new version gets no requests, since the roll-out may have been reverted before this node started.
pub async fn watch_records(node: Rc<Node>) {
    loop {
        while !node.shifts.borrow().awaited_records().is_empty() {
            let delay = match read(&node).await {
                Ok(_) => UNREADABLE_RETRY_DELAY,
                Err(failure) => {
                    log::info!("rollout: event=records_unread reason=\"{failure}\"");
                    RETRY_DELAY
                }
            };
            if !node.shifts.borrow().awaited_records().is_empty() {
                let _ = tokio::time::timeout(delay, node.rollout_declared.notified()).await;
            }
        }
        node.rollout_declared.notified().await;
    }
}

/// Writes the records, and with each what operators read, while this node holds the duties lease.
#[derive(Debug, Default)]
pub struct Reporter {
    /// Fencing number and era of the store for which the records were read.
    read_for: Option<(u64, Option<u64>)>,
    stored: HashMap<Arc<str>, Stored>,
}

impl Reporter {
    /// Records each phase that has changed. `grant` returns the fencing number while the lease allows a call.
    pub async fn step(&mut self, node: &Node, grant: impl Fn() -> Option<u64>) {
        let Some(fence) = grant() else { return };
        let state = (fence, node.store_era.get());
        if self.read_for != Some(state) {
            match read(node).await {
                Ok(records) => self.stored = records,
                Err(failure) => {
                    log::info!("rollout: event=records_unread reason=\"{failure}\"");
                    return;
                }
            }
            self.read_for = Some(state);
        }
        for (service, record) in due_records(node) {
            let stored = self.stored.get(&service);
            let stored = stored.and_then(|(_, it)| it.as_ref());
            let is_known = stored.is_some_and(|it| *it == record);
            let is_outdated = stored.is_some_and(|it| it.revision > record.revision);
            if !is_known && !is_outdated && grant() == Some(fence) {
                self.write(node, service, record).await;
            }
        }
    }

    async fn write(&mut self, node: &Node, service: Arc<str>, record: Record) {
        let value = match serde_json::to_value(&record) {
            Ok(value) => value,
            Err(error) => {
                log::error!("rollout: event=encode_failed error=\"{error}\"");
                return;
            }
        };
        let mut transaction = Transaction::default();
        let row_version = self.stored.get(&service).map(|(version, _)| *version);
        transaction.put(&format!("{KEY_PREFIX}{service}"), row_version, value);
        let Record { version, phase, .. } = record.clone();
        let progress = Progress { service: service.clone(), version, phase, transaction };
        match (node.platform.progress)(progress).await {
            Ok(Outcome::Done(row_version)) => {
                log::info!("rollout: event=phase service={service} phase={phase:?}");
                node.shifts.borrow_mut().apply_phase(&service, record.revision, phase);
                self.stored.insert(service, (row_version, Some(record)));
            }
            outcome => {
                log::warn!(
                    "rollout: event=phase_untold service={service} phase={phase:?} outcome={outcome:?}"
                );
                // Unless the store did nothing, another node has written the record, or this write may still take
                // effect. What is stored decides.
                if !matches!(outcome, Ok(Outcome::NotRun)) {
                    self.read_for = None;
                }
            }
        }
    }
}

/// Returns the records of all roll-outs as this node would write them now.
fn due_records(node: &Node) -> Vec<(Arc<str>, Record)> {
    let roster = node.roster.borrow();
    let has_endpoint = |service: &str, version: &str| {
        let takes_requests = |it: &Entry| {
            it.is_listed() && !roster.is_evacuated(&it.endpoint) && *it.endpoint.version == *version
        };
        roster.for_service(service).any(takes_requests)
    };
    node.shifts.borrow().records(clock::now(), has_endpoint)
}
