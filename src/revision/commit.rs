//! Commits each change of the configuration as one conditional transaction.
//!
//! Every commit is conditional on the version of the head row, so the table serialises commits and
//! a concurrent commit never overwrites an accepted change. The row `config/op/OPID` records an
//! operation, so that a repeat of it takes effect only once, even if the answer to its write was
//! lost.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::lease::Lease;
use crate::platform::{self, Condition, Outcome, Row, Transaction, Write};
use crate::resource::{Catalog, Id, Phase, Progress, Resource, Spec};
use crate::revision::{self, HEAD_KEY, RESOURCE_PREFIX};

/// Prefix of the keys of operation rows.
pub const OPERATION_PREFIX: &str = "config/op/";
/// Maximum number of operation rows kept; at 1,100 changes a day, an operation can be repeated for
/// about a day.
pub const MAX_OPERATION_ROWS: usize = 1_000;

/// Number of revisions between two prunings of operation rows; reading all of them on each commit
/// would cost more than the commit itself.
const PRUNE_INTERVAL: u64 = 64;
/// Maximum number of attempts of a commit; each rejected one means that another commit succeeded.
const MAX_ATTEMPTS: u32 = 16;
/// Failures after which a commit reports an unknown outcome: transactions with an unknown outcome
/// and failed reads after them.
const MAX_UNKNOWN_OUTCOMES: u32 = 3;
/// Backoff per attempt already made, before jitter, in milliseconds.
const BACKOFF_MS: u64 = 5;

/// Identifies one request of an operator, so that its repeats take effect only once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    pub id: Arc<str>,
    /// Digest of the request; a repeat of the id with other content is refused.
    pub digest: Arc<str>,
    pub operator: Arc<str>,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Identifies a lease that must still be held when a write takes effect.
///
/// A lease can expire between its check and the arrival of the write, for instance while the
/// process is paused. Because the write is conditional on the lease row, the table then rejects it
/// once the row has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLease {
    /// Key of the lease row.
    pub key: String,
    pub process: Arc<str>,
    pub fence: u64,
}

impl HeldLease {
    /// Removes the lease row from `rows` and returns the condition that it has not changed.
    ///
    /// # Errors
    ///
    /// Returns a message if the row does not hold the lease with this process and fencing number.
    fn condition(&self, rows: &mut BTreeMap<String, Row>) -> Result<Condition, String> {
        let row = rows.remove(&self.key);
        let lease = row.as_ref().and_then(|row| Lease::from_value(&row.value));
        let is_held = |lease: &Lease| lease.holder == self.process && lease.fence == self.fence;
        match row {
            Some(row) if lease.as_ref().is_some_and(is_held) => {
                Ok(Condition { key: row.key, version: Some(row.version) })
            }
            _ => Err(format!("{} is no longer held with fencing number {}", self.key, self.fence)),
        }
    }
}

/// Kind of change of a resource.
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

/// Holds the result of a commit. A repeat of an operation returns the result of its first commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Committed {
    pub revision: u64,
    /// Version of every row that the commit wrote; 0 if it wrote nothing.
    pub version: u64,
    pub changes: Vec<Change>,
    pub repeated: bool,
}

/// Holds the configuration, as read from the table, to which an edit is applied.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Base {
    pub catalog: Catalog,
    /// Row versions, including those of rows that do not parse and are absent from the catalog.
    pub versions: BTreeMap<Id, u64>,
    /// Version of the head row; `None` before the first commit.
    pub head: Option<u64>,
}

/// Describes a rule that an edit would violate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub id: Id,
    pub field: &'static str,
    pub message: String,
}

/// Describes a resource that was changed concurrently.
#[derive(Debug, Clone, PartialEq)]
pub struct Conflict {
    pub id: Id,
    /// Current resource with its row version; `None` if it does not exist.
    pub current: Option<(Resource, u64)>,
}

/// Reason why a commit failed. Only `Unknown` leaves open whether it took effect.
#[derive(Debug, Clone, PartialEq)]
pub enum Failure {
    Refused(Vec<Violation>),
    Conflict(Vec<Conflict>),
    /// The operation id was used before with another request.
    Mismatch,
    /// Concurrent commits succeeded first in every attempt.
    Contention,
    NotApplied(String),
    Unknown(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused(found) => write!(f, "the change violates {} rules", found.len()),
            Failure::Conflict(conflicts) => {
                f.write_str("changed concurrently:")?;
                conflicts.iter().try_for_each(|conflict| write!(f, " {}", conflict.id))
            }
            Failure::Mismatch => f.write_str("the operation id was used with another request"),
            Failure::Contention => {
                f.write_str("too many concurrent changes; this attempt applied nothing")
            }
            Failure::NotApplied(reason) => write!(f, "this attempt applied nothing: {reason}"),
            Failure::Unknown(reason) => {
                write!(f, "the outcome is unknown; repeat the operation with its id: {reason}")
            }
        }
    }
}

impl std::error::Error for Failure {}

/// Holds the value of an operation row.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    digest: Arc<str>,
    operator: Arc<str>,
    accepted_ms: u64,
    revision: u64,
    changes: Vec<Change>,
}

/// Computes the new catalog from the current one; the revision of its result is ignored.
pub type Edit<'a> = &'a (dyn Fn(&Base) -> Result<Catalog, Failure> + Send + Sync);

/// Returns the key of the row that records an operation.
pub fn operation_key(id: &str) -> String {
    format!("{OPERATION_PREFIX}{id}")
}

/// Reads the configuration with its row versions.
///
/// # Errors
///
/// Returns the failure of the platform call.
pub async fn read_base(client: &platform::Client) -> Result<Base, platform::Failure> {
    split_rows(client.read(&query(None, None)).await?, None).map(|(base, _)| base)
}

/// Applies an edit as one conditional transaction and records the operation.
///
/// An edit that changes nothing records the operation but creates no revision. The edit runs once
/// per attempt and must depend only on its argument.
///
/// # Errors
///
/// Returns the failure of the edit, `Conflict` if a resource that the edit changes was changed
/// concurrently, `Mismatch` if the operation id was used with another request, `Contention` if
/// concurrent commits succeeded first in every attempt, `NotApplied` if the commit certainly had no
/// effect, and `Unknown` if neither the write nor the read after it was answered.
pub async fn commit(
    client: &platform::Client,
    operation: &Operation,
    edit: Edit<'_>,
) -> Result<Committed, Failure> {
    run(client, Some(operation), None, edit).await
}

/// Records the progress of a move and, with `serving`, the version that serves its service.
///
/// Writes only statuses, so no generation increases. A repeat after a lost answer succeeds without
/// a second write.
///
/// # Errors
///
/// Fails with `Conflict` unless the progress of the move is `expected` and the move is in progress;
/// an operator may have reverted it. Fails with `NotApplied` if `lease` is no longer held.
pub async fn record_progress(
    client: &platform::Client,
    lease: Option<&HeldLease>,
    id: &Id,
    expected: &Progress,
    new: &Progress,
    serving: Option<&Arc<str>>,
) -> Result<Committed, Failure> {
    let edit = |base: &Base| set_progress(base, id, expected, new, serving);
    run(client, None, lease, &edit).await
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
    /// Returns a conflict that reports the current state of a resource.
    pub fn conflict(&self, id: &Id) -> Conflict {
        let version = self.versions.get(id).copied().unwrap_or(0);
        let current = self.catalog.resources.get(id).map(|found| (found.clone(), version));
        Conflict { id: id.clone(), current }
    }
}

/// Returns the changes that turn the catalog `old` into `new`.
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

/// Records what earlier attempts of one commit read and sent.
#[derive(Debug, Default)]
struct History {
    /// Head version on which the last transaction with an unknown outcome is conditional.
    unknown_head: Option<Option<u64>>,
    unknown_count: u32,
    /// Specs of the changed resources when an attempt first changed them; `None` if absent.
    initial_specs: BTreeMap<Id, Option<Spec>>,
}

impl History {
    /// Returns the failure of this attempt: `Unknown` if an earlier attempt may still take effect.
    fn failure(&self, reason: String) -> Failure {
        match self.unknown_head {
            Some(_) => Failure::Unknown(reason),
            None => Failure::NotApplied(reason),
        }
    }

    /// Takes note of a new read: a transaction conditional on another head version can no longer
    /// take effect.
    fn observe(&mut self, base: &Base) {
        if self.unknown_head.is_some_and(|head| head != base.head) {
            self.unknown_head = None;
        }
    }

    fn check_unchanged(&self, base: &Base) -> Result<(), Failure> {
        let changed = self.initial_specs.iter().filter(|(id, spec)| {
            let now = base.catalog.resources.get(*id).map(|resource| &resource.spec);
            now != spec.as_ref()
        });
        let conflicts: Vec<_> = changed.map(|(id, _)| base.conflict(id)).collect();
        if conflicts.is_empty() { Ok(()) } else { Err(Failure::Conflict(conflicts)) }
    }

    fn record_initial_specs(&mut self, base: &Base, changes: &[Change]) {
        for Change { id, .. } in changes {
            let spec = base.catalog.resources.get(id).map(|resource| resource.spec.clone());
            self.initial_specs.entry(id.clone()).or_insert(spec);
        }
    }
}

async fn run(
    client: &platform::Client,
    operation: Option<&Operation>,
    lease: Option<&HeldLease>,
    edit: Edit<'_>,
) -> Result<Committed, Failure> {
    let mut history = History::default();
    for attempt in 0..MAX_ATTEMPTS {
        back_off(attempt, operation).await;
        let mut rows = match client.read(&query(operation, lease)).await {
            Ok(rows) => rows,
            // An earlier write may have taken effect, so its row is read again.
            Err(_)
                if history.unknown_head.is_some()
                    && history.unknown_count < MAX_UNKNOWN_OUTCOMES =>
            {
                history.unknown_count += 1;
                continue;
            }
            Err(failure) => return Err(history.failure(failure.to_string())),
        };
        let condition = lease.map(|lease| lease.condition(&mut rows)).transpose();
        let split = split_rows(rows, operation);
        let (base, recorded) = split.map_err(|failure| history.failure(failure.to_string()))?;
        if let (Some(row), Some(operation)) = (recorded, operation) {
            return recorded_result(&row, operation);
        }
        history.observe(&base);
        let condition = condition.map_err(|reason| history.failure(reason))?;
        if operation.is_some() {
            history.check_unchanged(&base)?;
        }
        let catalog = edit(&base)?;
        let changes = changes(&base.catalog, &catalog);
        if changes.is_empty() && operation.is_none() {
            let revision = base.catalog.revision;
            return Ok(Committed { revision, version: 0, changes, repeated: false });
        }
        history.record_initial_specs(&base, &changes);
        let built = build_transaction(client, &base, &catalog, changes, operation).await;
        let (mut transaction, committed) =
            built.map_err(|error| history.failure(error.to_string()))?;
        transaction.conditions.extend(condition);
        match client.transact(&transaction).await {
            Outcome::Done(version) => return Ok(Committed { version, ..committed }),
            Outcome::Rejected(_) => {}
            Outcome::NotRun => {
                return Err(history.failure("the platform did not run the write".to_owned()));
            }
            Outcome::Unknown => {
                history.unknown_head = Some(base.head);
                history.unknown_count += 1;
                if history.unknown_count > MAX_UNKNOWN_OUTCOMES {
                    return Err(history.failure("the platform did not answer".to_owned()));
                }
            }
        }
    }
    Err(if history.unknown_head.is_some() {
        history.failure("concurrent changes succeeded first".to_owned())
    } else {
        Failure::Contention
    })
}

/// Delays an attempt, longer after each one, to spread concurrent writers. The jitter is derived
/// from the operation id.
async fn back_off(attempt: u32, operation: Option<&Operation>) {
    if attempt == 0 {
        return;
    }
    let seed = operation.map_or(0, |operation| {
        xxhash_rust::xxh3::xxh3_64_with_seed(operation.id.as_bytes(), u64::from(attempt))
    });
    let base_ms = BACKOFF_MS * u64::from(attempt);
    tokio::time::sleep(Duration::from_millis(base_ms + seed % base_ms)).await;
}

fn query(operation: Option<&Operation>, lease: Option<&HeldLease>) -> platform::Query {
    let mut keys = vec![HEAD_KEY.to_owned()];
    keys.extend(lease.map(|lease| lease.key.clone()));
    keys.extend(operation.map(|operation| operation_key(&operation.id)));
    platform::Query { keys, prefixes: vec![RESOURCE_PREFIX.to_owned()] }
}

fn split_rows(
    mut rows: BTreeMap<String, Row>,
    operation: Option<&Operation>,
) -> Result<(Base, Option<Row>), platform::Failure> {
    let recorded = operation.and_then(|operation| rows.remove(&operation_key(&operation.id)));
    let head = rows.get(HEAD_KEY).map(|row| row.version);
    let versions = rows.iter().filter_map(|(key, row)| {
        let (kind, name) = key.strip_prefix(RESOURCE_PREFIX)?.split_once('/')?;
        Some((Id::new(kind.parse().ok()?, name), row.version))
    });
    let versions = versions.collect();
    Ok((Base { catalog: revision::from_rows(&rows)?, versions, head }, recorded))
}

fn recorded_result(row: &Row, operation: &Operation) -> Result<Committed, Failure> {
    let recorded = Record::deserialize(&row.value)
        .map_err(|error| Failure::Unknown(format!("row {} does not parse: {error}", row.key)))?;
    if recorded.digest != operation.digest {
        return Err(Failure::Mismatch);
    }
    let Record { revision, changes, .. } = recorded;
    Ok(Committed { revision, version: row.version, changes, repeated: true })
}

async fn build_transaction(
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
        let recorded = Record {
            digest: operation.digest.clone(),
            operator: operation.operator.clone(),
            accepted_ms: operation.now_ms,
            revision,
            changes: changes.clone(),
        };
        transaction.put(&operation_key(&operation.id), None, encode(&recorded));
    }
    // Operations without effect do not increase the revision, so they always prune; otherwise they
    // could add rows without bound at one revision.
    if revision.is_multiple_of(PRUNE_INTERVAL) || changes.is_empty() {
        transaction.writes.extend(prune(client).await?);
    }
    Ok((transaction, Committed { revision, version: 0, changes, repeated: false }))
}

/// Returns the deletions of the oldest operation rows that leave room until the next pruning.
async fn prune(client: &platform::Client) -> Result<Vec<Write>, platform::Failure> {
    let query = platform::Query { keys: Vec::new(), prefixes: vec![OPERATION_PREFIX.to_owned()] };
    let mut rows: Vec<_> = client.read(&query).await?.into_values().collect();
    rows.sort_by_key(|row| row.version);
    let kept = MAX_OPERATION_ROWS - PRUNE_INTERVAL as usize;
    let surplus = rows.len().saturating_sub(kept);
    Ok(rows.into_iter().take(surplus).map(|row| Write { key: row.key, value: None }).collect())
}

fn encode(value: &impl Serialize) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or_default()
}
