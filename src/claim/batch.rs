//! Batches the conditional writes of many requests into few transactions.
//!
//! The platform handles several hundred writes a second for all nodes together, so each node sends
//! one transaction at a time and at most one per window, whatever its request rate.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::retain;
use crate::platform::{self, Outcome, Transaction};

/// Maximum number of writes in one transaction.
const MAX_BATCH_WRITES: usize = 256;
/// Maximum size of a transaction with more than one write, in bytes. A recorded answer can take
/// megabytes: without the bound, a batch of them could exceed the platform's size limit or the
/// timeout, and every write in the batch would fail.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// Capacity of the queue of writes; when it is full, further writes end with `Reply::NotRun`.
const QUEUE_CAPACITY: usize = 8_192;
/// Pause before writes whose outcome is still undecided are sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Conditional write of one row.
#[derive(Debug)]
pub struct Put {
    pub key: String,
    /// Version that the row must still have; `None` if it must not exist.
    pub version: Option<u64>,
    pub value: serde_json::Value,
    /// Time at which the caller stops waiting and the write is no longer sent.
    pub deadline: Instant,
}

/// Outcome of one write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The row has the written value, at this version.
    Done(u64),
    /// The row had another version than required; holds the current row, `None` if there is none.
    Conflict(Option<platform::Row>),
    /// The write did not take effect.
    NotRun,
    /// The write may have taken effect or may do so later.
    Unknown,
}

#[derive(Debug)]
struct Job {
    put: Put,
    /// Estimated size of the value, in bytes.
    bytes: usize,
    reply: oneshot::Sender<Reply>,
    /// Set once a transaction with this write had an unknown outcome.
    maybe_applied: bool,
}

/// Queues writes and reports the outcome of each after its transaction.
#[derive(Debug, Clone)]
pub struct Batcher {
    jobs: mpsc::Sender<Job>,
    prefixes: Arc<retain::Prefixes>,
}

impl Batcher {
    /// Starts the tasks that send the transactions and that remove expired claim rows.
    pub fn start(client: platform::Client, window: Duration) -> Batcher {
        let (jobs, queue) = mpsc::channel(QUEUE_CAPACITY);
        let prefixes = Arc::new(retain::Prefixes::default());
        tokio::spawn(retain::run(client.clone(), Arc::downgrade(&prefixes)));
        tokio::spawn(run(client, window, queue));
        Batcher { jobs, prefixes }
    }

    /// Writes one row; returns the outcome at the latest at the deadline of the write.
    pub async fn put(&self, put: Put) -> Reply {
        self.prefixes.add(&put.key);
        let (reply, outcome) = oneshot::channel();
        let (deadline, bytes) = (put.deadline, estimated_bytes(&put.value));
        let job = Job { put, bytes, reply, maybe_applied: false };
        if self.jobs.try_send(job).is_err() {
            return Reply::NotRun;
        }
        // A transaction in flight can exceed the deadline by the timeout of the platform client.
        match tokio::time::timeout_at(deadline, outcome).await {
            Ok(reply) => reply.unwrap_or(Reply::Unknown),
            Err(_) => Reply::Unknown,
        }
    }
}

async fn run(client: platform::Client, window: Duration, mut queue: mpsc::Receiver<Job>) {
    let mut waiting: Vec<Job> = Vec::new();
    loop {
        if waiting.is_empty() {
            match queue.recv().await {
                Some(job) => waiting.push(job),
                None => return,
            }
        }
        let started_at = Instant::now();
        while waiting.len() < MAX_BATCH_WRITES
            && let Ok(job) = queue.try_recv()
        {
            waiting.push(job);
        }
        let (batch, deferred) = select_batch(waiting, started_at);
        waiting = deferred;
        if !batch.is_empty() {
            waiting.extend(send(&client, batch).await);
        }
        tokio::time::sleep_until(started_at + window).await;
    }
}

/// Estimates the size of a value as JSON, in bytes; strings make up nearly all of a large value.
fn estimated_bytes(value: &serde_json::Value) -> usize {
    match value {
        serde_json::Value::String(text) => text.len(),
        serde_json::Value::Array(items) => items.iter().map(estimated_bytes).sum(),
        serde_json::Value::Object(fields) => {
            fields.iter().map(|(name, value)| name.len() + estimated_bytes(value)).sum()
        }
        _ => 8,
    }
}

/// Splits the writes into the next batch and those deferred to a later one, and ends the writes
/// past their deadline. A batch has at most one write per row, and takes its first write at any
/// size.
fn select_batch(jobs: Vec<Job>, now: Instant) -> (Vec<Job>, Vec<Job>) {
    let mut batch: Vec<Job> = Vec::new();
    let mut deferred = Vec::new();
    let mut bytes = 0;
    for job in jobs {
        if job.put.deadline <= now {
            let _ = job.reply.send(if job.maybe_applied { Reply::Unknown } else { Reply::NotRun });
        } else if batch.len() >= MAX_BATCH_WRITES
            || (!batch.is_empty() && bytes + job.bytes > MAX_BATCH_BYTES)
            || batch.iter().any(|other| other.put.key == job.put.key)
        {
            deferred.push(job);
        } else {
            bytes += job.bytes;
            batch.push(job);
        }
    }
    (batch, deferred)
}

/// Sends one transaction; returns the writes that have to be sent again.
async fn send(client: &platform::Client, batch: Vec<Job>) -> Vec<Job> {
    let mut transaction = Transaction::default();
    for job in &batch {
        transaction.put(&job.put.key, job.put.version, job.put.value.clone());
    }
    match client.transact(&transaction).await {
        Outcome::Done(version) => {
            for job in batch {
                let _ = job.reply.send(Reply::Done(version));
            }
            Vec::new()
        }
        Outcome::Rejected(rows) => {
            let count = batch.len();
            let retries = resolve_rejected(batch, rows);
            if retries.len() < count { retries } else { resolve_missing(client, retries).await }
        }
        Outcome::NotRun => {
            let mut retries = Vec::new();
            for job in batch {
                if job.maybe_applied {
                    retries.push(job);
                } else {
                    let _ = job.reply.send(Reply::NotRun);
                }
            }
            pause_before_retry(&retries).await;
            retries
        }
        Outcome::Unknown => resolve_unknown(client, batch).await,
    }
}

async fn pause_before_retry(retries: &[Job]) {
    if !retries.is_empty() {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Ends the writes of a rejected transaction whose own condition failed; returns the others, which
/// have to be sent again.
fn resolve_rejected(batch: Vec<Job>, rows: Vec<platform::Row>) -> Vec<Job> {
    let rows: BTreeMap<String, platform::Row> =
        rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    let mut retries = Vec::new();
    for job in batch {
        let row = rows.get(&job.put.key);
        let is_condition_met = row.map(|row| row.version) == job.put.version;
        match row {
            // An earlier attempt at this write took effect, but its answer was lost.
            Some(row) if row.value == job.put.value => {
                let _ = job.reply.send(Reply::Done(row.version));
            }
            // The platform reports only rows whose condition failed.
            None if job.put.version.is_none() => retries.push(job),
            None => retries.push(job),
            Some(_) if is_condition_met => retries.push(job),
            Some(row) => {
                let _ = job.reply.send(Reply::Conflict(Some(row.clone())));
            }
        }
    }
    retries
}

/// Ends the writes whose row was deleted; returns the others. The platform reports no row for a
/// condition that failed because the row is missing, so the rows have to be read to find out which
/// write caused the rejection.
async fn resolve_missing(client: &platform::Client, batch: Vec<Job>) -> Vec<Job> {
    let Ok(rows) = client.read(&query(&batch)).await else {
        pause_before_retry(&batch).await;
        return batch;
    };
    let (missing, retries): (Vec<Job>, Vec<Job>) = batch
        .into_iter()
        .partition(|job| job.put.version.is_some() && !rows.contains_key(&job.put.key));
    for job in missing {
        let _ = job.reply.send(Reply::Conflict(None));
    }
    retries
}

fn query(batch: &[Job]) -> platform::Query {
    let keys = batch.iter().map(|job| job.put.key.clone()).collect();
    platform::Query { keys, prefixes: Vec::new() }
}

/// Reads the rows of a transaction whose answer was lost, and ends the writes that took effect. A
/// write that is not visible yet may still take effect, so it is sent again under the same
/// condition instead of being reported as not run.
async fn resolve_unknown(client: &platform::Client, batch: Vec<Job>) -> Vec<Job> {
    let rows = client.read(&query(&batch)).await.unwrap_or_default();
    let mut retries = Vec::new();
    for mut job in batch {
        match rows.get(&job.put.key) {
            Some(row) if row.value == job.put.value => {
                let _ = job.reply.send(Reply::Done(row.version));
            }
            _ => {
                job.maybe_applied = true;
                retries.push(job);
            }
        }
    }
    pause_before_retry(&retries).await;
    retries
}
