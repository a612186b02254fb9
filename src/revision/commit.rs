//! Commits changes of the configuration as one conditional transaction each.
//!
//! Every commit depends on the head row, so commits are serialised by the table and an accepted
//! change is never lost or reverted by a concurrent one. The row `config/op/OPID` makes a repeated
//! operation take effect once, also when the answer to the write was lost.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::lease::Lease;
use crate::platform::{self, Condition, Outcome, Row, Transaction, Write};
use crate::resource::{Catalog, Id, Phase, Progress, Resource, Spec};
use crate::revision::{self, HEAD_KEY, RESOURCE_PREFIX};

/// Starts the key of each operation row.
pub const OPERATION_PREFIX: &str = "config/op/";
/// Most operation rows kept; at 1,100 changes a day this covers about a day of repeats.
pub const OPERATIONS_KEPT: usize = 1_000;

/// Revisions between two prunings; reading the operation rows on each commit would cost more than
/// the commit itself.
const PRUNE_EVERY: u64 = 64;
/// Attempts before a commit gives up; each lost attempt means that another commit succeeded.
const ATTEMPTS: u32 = 16;
/// Transactions with an unknown outcome after which the operator is told so.
const UNKNOWN_ATTEMPTS: u32 = 3;
/// Pause per attempt already made, before jitter.
const PAUSE_MS: u64 = 5;

/// Identifies one request of an operator, so that a repeat takes effect once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    pub id: Arc<str>,
    /// Digest of the request; a repeat with another content is refused.
    pub digest: Arc<str>,
    pub operator: Arc<str>,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Names the lease that a step depends on.
///
/// The time left on a lease can end between its check and the arrival of the write, for instance
/// when the process is paused; the table then still refuses the write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Guard {
    /// Key of the lease row.
    pub key: String,
    pub process: Arc<str>,
    pub fence: u64,
}

impl Guard {
    /// Takes the lease row out of the rows and gives the condition that it has not changed.
    fn condition(&self, rows: &mut BTreeMap<String, Row>) -> Result<Condition, String> {
        let row = rows.remove(&self.key);
        let lease = row.as_ref().and_then(|row| Lease::from_value(&row.value));
        let held = |lease: &Lease| lease.holder == self.process && lease.fence == self.fence;
        match row {
            Some(row) if lease.as_ref().is_some_and(held) => {
                Ok(Condition { key: row.key, version: Some(row.version) })
            }
            _ => Err(format!("{} is no longer held with fence {}", self.key, self.fence)),
        }
    }
}

/// Tells what happened to a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    Created,
    Changed,
    Reverted,
    Deleted,
}

impl Action {
    pub fn as_str(self) -> &'static str {
        match self {
            Action::Created => "created",
            Action::Changed => "changed",
            Action::Reverted => "reverted",
            Action::Deleted => "deleted",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    #[serde(flatten)]
    pub id: Id,
    pub action: Action,
}

/// Holds the result of a commit; a repeated operation gets the result of the first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Committed {
    pub revision: u64,
    /// Row version of every row that the commit wrote; 0 when it wrote nothing.
    pub version: u64,
    pub changes: Vec<Change>,
    pub repeated: bool,
}

/// Holds the configuration that an edit starts from.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Base {
    pub catalog: Catalog,
    /// Row versions, also of rows that do not parse and are absent from the catalog.
    pub versions: BTreeMap<Id, u64>,
    /// Version of the head row; `None` before the first commit.
    pub head: Option<u64>,
}

/// Names a rule that an edit would break.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    pub id: Id,
    pub field: &'static str,
    pub message: String,
}

/// Shows a resource that somebody else has changed.
#[derive(Debug, Clone, PartialEq)]
pub struct Conflict {
    pub id: Id,
    /// Holds the resource with its row version; `None` when it has been deleted.
    pub current: Option<(Resource, u64)>,
}

/// Tells why a commit did not succeed; only `Unknown` leaves open whether it took effect.
#[derive(Debug, Clone, PartialEq)]
pub enum Failure {
    Refused(Vec<Fault>),
    Conflict(Vec<Conflict>),
    /// The operation id was used before for another request.
    Mismatch,
    /// Other commits came first in every attempt.
    Busy,
    NotApplied(String),
    Unknown(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused(faults) => write!(f, "the change has {} mistakes", faults.len()),
            Failure::Conflict(conflicts) => {
                f.write_str("changed by somebody else:")?;
                conflicts.iter().try_for_each(|conflict| write!(f, " {}", conflict.id))
            }
            Failure::Mismatch => f.write_str("the operation id belongs to another request"),
            Failure::Busy => {
                f.write_str("too many concurrent changes; this attempt applied nothing")
            }
            Failure::NotApplied(reason) => write!(f, "this attempt applied nothing: {reason}"),
            Failure::Unknown(reason) => {
                write!(f, "the outcome is unknown, repeat the same operation: {reason}")
            }
        }
    }
}

impl std::error::Error for Failure {}

/// Holds the value of an operation row.
#[derive(Debug, Serialize, Deserialize)]
struct Recorded {
    digest: Arc<str>,
    operator: Arc<str>,
    accepted_ms: u64,
    revision: u64,
    changes: Vec<Change>,
}

/// Gives the catalog that should take effect, without regard to its revision.
pub type Edit<'a> = &'a (dyn Fn(&Base) -> Result<Catalog, Failure> + Send + Sync);

/// Gives the key of an operation row.
pub fn operation_key(id: &str) -> String {
    format!("{OPERATION_PREFIX}{id}")
}

/// Reads the configuration with its row versions.
///
/// # Errors
///
/// Fails as the platform call does.
pub async fn read_base(client: &platform::Client) -> Result<Base, platform::Failure> {
    Ok(split_rows(client.read(&query(None, None)).await?, None).0)
}

/// Applies an edit as one conditional transaction and records the operation.
///
/// An edit that changes nothing records the operation but no new revision. The edit runs once per
/// attempt and must not depend on anything but its argument.
///
/// # Errors
///
/// Fails with what the edit refuses, with a conflict when a resource that the edit touches changed
/// meanwhile, and with `Unknown` when neither the write nor the read after it got an answer.
pub async fn commit(
    client: &platform::Client,
    operation: &Operation,
    edit: Edit<'_>,
) -> Result<Committed, Failure> {
    run(client, Some(operation), None, edit).await
}

/// Records the progress of a move and, with `serving`, the version that serves its service.
///
/// Writes only statuses, so no generation grows. A repeat after a lost answer succeeds without a
/// second write.
///
/// # Errors
///
/// Fails with a conflict unless the move is in progress as `expected`; an operator may have
/// reverted it. Fails with `NotApplied` when the lease of `guard` is no longer held.
pub async fn record_progress(
    client: &platform::Client,
    guard: Option<&Guard>,
    id: &Id,
    expected: &Progress,
    new: &Progress,
    serving: Option<&Arc<str>>,
) -> Result<Committed, Failure> {
    let edit = |base: &Base| set_progress(base, id, expected, new, serving);
    run(client, None, guard, &edit).await
}

fn set_progress(
    base: &Base,
    id: &Id,
    expected: &Progress,
    new: &Progress,
    serving: Option<&Arc<str>>,
) -> Result<Catalog, Failure> {
    let mut catalog = base.catalog.clone();
    let conflict = || Failure::Conflict(vec![base.conflict(id)]);
    let resource = catalog.resources.get_mut(id).ok_or_else(conflict)?;
    let Spec::Move(spec) = &resource.spec else { return Err(conflict()) };
    let service = Id::new(crate::resource::Kind::Service, spec.service.clone());
    let current = resource.status.progress.as_ref();
    if current == Some(new) {
        return Ok(catalog);
    }
    if current != Some(expected) || expected.phase != Phase::InProgress {
        return Err(conflict());
    }
    resource.status.progress = Some(new.clone());
    if let Some(serving) = serving {
        let resource = catalog.resources.get_mut(&service).ok_or_else(conflict)?;
        resource.status.serving = Some(serving.clone());
    }
    Ok(catalog)
}

impl Base {
    /// Shows the current state of a resource to somebody who expected another.
    pub fn conflict(&self, id: &Id) -> Conflict {
        let version = self.versions.get(id).copied().unwrap_or(0);
        let current = self.catalog.resources.get(id).map(|found| (found.clone(), version));
        Conflict { id: id.clone(), current }
    }
}

/// Lists what differs between two catalogs.
pub fn changes(old: &Catalog, new: &Catalog) -> Vec<Change> {
    let mut changes = Vec::new();
    for (id, resource) in &new.resources {
        let action = match old.resources.get(id) {
            None => Action::Created,
            Some(before) if before == resource => continue,
            Some(before) if phase(before) != phase(resource) => match phase(resource) {
                Some(Phase::Reverted) => Action::Reverted,
                _ => Action::Changed,
            },
            Some(_) => Action::Changed,
        };
        changes.push(Change { id: id.clone(), action });
    }
    for id in old.resources.keys().filter(|id| !new.resources.contains_key(*id)) {
        changes.push(Change { id: id.clone(), action: Action::Deleted });
    }
    changes
}

fn phase(resource: &Resource) -> Option<Phase> {
    resource.status.progress.as_ref().map(|progress| progress.phase)
}

/// Remembers what earlier attempts of the same commit saw and sent.
#[derive(Debug, Default)]
struct History {
    /// Head version on which a transaction with an unknown outcome depends.
    unknown: Option<Option<u64>>,
    unknowns: u32,
    /// Specs that the first attempt was based on.
    seen: BTreeMap<Id, Option<Spec>>,
}

impl History {
    /// Reports a failure of this attempt, which hides nothing an earlier attempt may have done.
    fn fail(&self, reason: String) -> Failure {
        match self.unknown {
            Some(_) => Failure::Unknown(reason),
            None => Failure::NotApplied(reason),
        }
    }

    /// Notes a fresh read; a transaction that depends on an older head can no longer take effect.
    fn observe(&mut self, base: &Base) {
        if self.unknown.is_some_and(|head| head != base.head) {
            self.unknown = None;
        }
    }

    fn check_seen(&self, base: &Base) -> Result<(), Failure> {
        let changed = self.seen.iter().filter(|(id, spec)| {
            let now = base.catalog.resources.get(*id).map(|resource| &resource.spec);
            now != spec.as_ref()
        });
        let conflicts: Vec<_> = changed.map(|(id, _)| base.conflict(id)).collect();
        if conflicts.is_empty() { Ok(()) } else { Err(Failure::Conflict(conflicts)) }
    }

    fn remember(&mut self, base: &Base, changes: &[Change]) {
        for Change { id, .. } in changes {
            let spec = base.catalog.resources.get(id).map(|resource| resource.spec.clone());
            self.seen.entry(id.clone()).or_insert(spec);
        }
    }
}

async fn run(
    client: &platform::Client,
    operation: Option<&Operation>,
    guard: Option<&Guard>,
    edit: Edit<'_>,
) -> Result<Committed, Failure> {
    let mut history = History::default();
    for attempt in 0..ATTEMPTS {
        pause(attempt, operation).await;
        let mut rows = match client.read(&query(operation, guard)).await {
            Ok(rows) => rows,
            // The write may have taken effect, so its row is worth another read.
            Err(_) if history.unknown.is_some() && history.unknowns < UNKNOWN_ATTEMPTS => {
                history.unknowns += 1;
                continue;
            }
            Err(failure) => return Err(history.fail(failure.to_string())),
        };
        let held = guard.map(|guard| guard.condition(&mut rows)).transpose();
        let (base, recorded) = split_rows(rows, operation);
        if let (Some(row), Some(operation)) = (recorded, operation) {
            return first_result(&row, operation);
        }
        history.observe(&base);
        let held = held.map_err(|reason| history.fail(reason))?;
        if operation.is_some() {
            history.check_seen(&base)?;
        }
        let catalog = edit(&base)?;
        let changes = changes(&base.catalog, &catalog);
        if changes.is_empty() && operation.is_none() {
            let revision = base.catalog.revision;
            return Ok(Committed { revision, version: 0, changes, repeated: false });
        }
        history.remember(&base, &changes);
        let plan = plan(client, &base, &catalog, changes, operation).await;
        let (mut transaction, committed) = plan.map_err(|error| history.fail(error.to_string()))?;
        transaction.conditions.extend(held);
        match client.transact(&transaction).await {
            Outcome::Done(version) => return Ok(Committed { version, ..committed }),
            Outcome::Rejected(_) => {}
            Outcome::NotRun => {
                return Err(history.fail("the platform did not run the write".to_owned()));
            }
            Outcome::Unknown => {
                history.unknown = Some(base.head);
                history.unknowns += 1;
                if history.unknowns > UNKNOWN_ATTEMPTS {
                    return Err(history.fail("the platform does not answer".to_owned()));
                }
            }
        }
    }
    Err(if history.unknown.is_some() {
        history.fail("other changes keep coming first".to_owned())
    } else {
        Failure::Busy
    })
}

/// Spreads the attempts of competing writers; the jitter comes from the operation id.
async fn pause(attempt: u32, operation: Option<&Operation>) {
    if attempt == 0 {
        return;
    }
    let seed = operation.map_or(0, |operation| {
        xxhash_rust::xxh3::xxh3_64_with_seed(operation.id.as_bytes(), u64::from(attempt))
    });
    let most = PAUSE_MS * u64::from(attempt);
    tokio::time::sleep(Duration::from_millis(most + seed % most)).await;
}

fn query(operation: Option<&Operation>, guard: Option<&Guard>) -> platform::Query {
    let mut keys = vec![HEAD_KEY.to_owned()];
    keys.extend(guard.map(|guard| guard.key.clone()));
    keys.extend(operation.map(|operation| operation_key(&operation.id)));
    platform::Query { keys, prefixes: vec![RESOURCE_PREFIX.to_owned()] }
}

fn split_rows(
    mut rows: BTreeMap<String, Row>,
    operation: Option<&Operation>,
) -> (Base, Option<Row>) {
    let recorded = operation.and_then(|operation| rows.remove(&operation_key(&operation.id)));
    let head = rows.get(HEAD_KEY).map(|row| row.version);
    let versions = rows.iter().filter_map(|(key, row)| {
        let (kind, name) = key.strip_prefix(RESOURCE_PREFIX)?.split_once('/')?;
        Some((Id::new(kind.parse().ok()?, name), row.version))
    });
    let versions = versions.collect();
    (Base { catalog: revision::from_rows(&rows), versions, head }, recorded)
}

fn first_result(row: &Row, operation: &Operation) -> Result<Committed, Failure> {
    let recorded = Recorded::deserialize(&row.value)
        .map_err(|error| Failure::Unknown(format!("row {} does not parse: {error}", row.key)))?;
    if recorded.digest != operation.digest {
        return Err(Failure::Mismatch);
    }
    let Recorded { revision, changes, .. } = recorded;
    Ok(Committed { revision, version: row.version, changes, repeated: true })
}

async fn plan(
    client: &platform::Client,
    base: &Base,
    catalog: &Catalog,
    changes: Vec<Change>,
    operation: Option<&Operation>,
) -> Result<(Transaction, Committed), platform::Failure> {
    let mut transaction = Transaction::default();
    let revision = base.catalog.revision + u64::from(!changes.is_empty());
    if changes.is_empty() {
        let condition = Condition { key: HEAD_KEY.to_owned(), version: base.head };
        transaction.conditions.push(condition);
    } else {
        transaction.put(HEAD_KEY, base.head, revision.into());
    }
    for Change { id, .. } in &changes {
        let key = revision::resource_key(id);
        let value = catalog.resources.get(id).map(encode);
        let version = base.versions.get(id).copied();
        transaction.conditions.push(Condition { key: key.clone(), version });
        transaction.writes.push(Write { key, value });
    }
    if let Some(operation) = operation {
        let recorded = Recorded {
            digest: operation.digest.clone(),
            operator: operation.operator.clone(),
            accepted_ms: operation.now_ms,
            revision,
            changes: changes.clone(),
        };
        transaction.put(&operation_key(&operation.id), None, encode(&recorded));
    }
    // Operations without effect leave the revision as it is and prune as well, so that repeating
    // them at one revision cannot add rows without bound.
    if revision.is_multiple_of(PRUNE_EVERY) || changes.is_empty() {
        transaction.writes.extend(prune(client).await?);
    }
    Ok((transaction, Committed { revision, version: 0, changes, repeated: false }))
}

/// Gives the deletions that leave room for the operations until the next pruning.
async fn prune(client: &platform::Client) -> Result<Vec<Write>, platform::Failure> {
    let query = platform::Query { keys: Vec::new(), prefixes: vec![OPERATION_PREFIX.to_owned()] };
    let mut rows: Vec<_> = client.read(&query).await?.into_values().collect();
    rows.sort_by_key(|row| row.version);
    let kept = OPERATIONS_KEPT - PRUNE_EVERY as usize;
    let surplus = rows.len().saturating_sub(kept);
    Ok(rows.into_iter().take(surplus).map(|row| Write { key: row.key, value: None }).collect())
}

fn encode(value: &impl Serialize) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or_default()
}
