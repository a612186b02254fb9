//! Groups conditional writes of many requests into few transactions.
//!
//! The platform carries several hundred writes a second for everybody, so a node sends one
//! transaction at a time and at most one per window, whatever the rate of requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::retain;
use crate::platform::{self, Outcome, Transaction};

/// Most writes in one transaction.
const BATCH_WRITES: usize = 256;
/// Size in bytes after which a transaction takes no further write. A recorded answer can have
/// megabytes; without the bound, a batch of them would exceed the platform's limit or time-out, and
/// every write in it would fail with them.
const BATCH_BYTES: usize = 1 << 20;
/// Requests that may wait for a transaction; more are refused as not run.
const QUEUE: usize = 8_192;
/// Pause before a write with unknown outcome is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Asks for one row to be written on condition of its version.
#[derive(Debug)]
pub struct Put {
    pub key: String,
    pub version: Option<u64>,
    pub value: serde_json::Value,
    /// After this time the writer gives up.
    pub deadline: Instant,
}

/// Tells how one write ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// The row holds the value at this version.
    Done(u64),
    /// The row holds something else.
    Conflict(Option<platform::Row>),
    /// The write did not take effect.
    NotRun,
    /// The write may have taken effect or may still do so.
    Unknown,
}

#[derive(Debug)]
struct Job {
    put: Put,
    /// Size of the value in bytes, as JSON.
    bytes: usize,
    reply: oneshot::Sender<Written>,
    /// Set once a transaction with this write had an unknown outcome.
    uncertain: bool,
}

/// Accepts writes and answers each when its transaction has ended.
#[derive(Debug, Clone)]
pub struct Batcher {
    jobs: mpsc::Sender<Job>,
    scopes: Arc<retain::Scopes>,
}

impl Batcher {
    /// Starts the tasks that send the transactions and remove old rows.
    pub fn start(client: platform::Client, window: Duration) -> Batcher {
        let (jobs, queue) = mpsc::channel(QUEUE);
        let scopes = Arc::new(retain::Scopes::default());
        tokio::spawn(retain::run(client.clone(), Arc::downgrade(&scopes)));
        tokio::spawn(run(client, window, queue));
        Batcher { jobs, scopes }
    }

    pub async fn put(&self, put: Put) -> Written {
        self.scopes.note(&put.key);
        let (reply, answer) = oneshot::channel();
        let (deadline, bytes) = (put.deadline, size(&put.value));
        let job = Job { put, bytes, reply, uncertain: false };
        if self.jobs.try_send(job).is_err() {
            return Written::NotRun;
        }
        // A transaction in flight can outlast the deadline by the time-out of the platform client.
        match tokio::time::timeout_at(deadline, answer).await {
            Ok(answer) => answer.unwrap_or(Written::Unknown),
            Err(_) => Written::Unknown,
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
        let began = Instant::now();
        while waiting.len() < BATCH_WRITES
            && let Ok(job) = queue.try_recv()
        {
            waiting.push(job);
        }
        let (batch, rest) = select(waiting, began);
        waiting = rest;
        if !batch.is_empty() {
            waiting.extend(send(&client, batch).await);
        }
        tokio::time::sleep_until(began + window).await;
    }
}

/// Estimates the size of a value; the texts in it make up nearly all of a large one.
fn size(value: &serde_json::Value) -> usize {
    match value {
        serde_json::Value::String(text) => text.len(),
        serde_json::Value::Array(items) => items.iter().map(size).sum(),
        serde_json::Value::Object(fields) => {
            fields.iter().map(|(name, value)| name.len() + size(value)).sum()
        }
        _ => 8,
    }
}

/// Takes at most one write per row and answers those whose time is over. The first write is taken
/// whatever its size.
fn select(jobs: Vec<Job>, now: Instant) -> (Vec<Job>, Vec<Job>) {
    let mut batch: Vec<Job> = Vec::new();
    let mut rest = Vec::new();
    let mut bytes = 0;
    for job in jobs {
        if job.put.deadline <= now {
            let _ = job.reply.send(if job.uncertain { Written::Unknown } else { Written::NotRun });
        } else if batch.len() >= BATCH_WRITES
            || (!batch.is_empty() && bytes + job.bytes > BATCH_BYTES)
            || batch.iter().any(|other| other.put.key == job.put.key)
        {
            rest.push(job);
        } else {
            bytes += job.bytes;
            batch.push(job);
        }
    }
    (batch, rest)
}

/// Sends one transaction; gives the writes that have to be tried again.
async fn send(client: &platform::Client, batch: Vec<Job>) -> Vec<Job> {
    let mut transaction = Transaction::default();
    for job in &batch {
        transaction.put(&job.put.key, job.put.version, job.put.value.clone());
    }
    match client.transact(&transaction).await {
        Outcome::Done(version) => {
            for job in batch {
                let _ = job.reply.send(Written::Done(version));
            }
            Vec::new()
        }
        Outcome::Rejected(rows) => {
            let count = batch.len();
            let again = settle(batch, rows);
            if again.len() < count { again } else { settle_missing(client, again).await }
        }
        Outcome::NotRun => {
            let mut again = Vec::new();
            for job in batch {
                if job.uncertain {
                    again.push(job);
                } else {
                    let _ = job.reply.send(Written::NotRun);
                }
            }
            pause(&again).await;
            again
        }
        Outcome::Unknown => read_back(client, batch).await,
    }
}

async fn pause(again: &[Job]) {
    if !again.is_empty() {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Answers the writes whose condition failed; the others did not run and are sent again.
fn settle(batch: Vec<Job>, rows: Vec<platform::Row>) -> Vec<Job> {
    let rows: BTreeMap<String, platform::Row> =
        rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    let mut again = Vec::new();
    for job in batch {
        let row = rows.get(&job.put.key);
        let holds = row.map(|row| row.version) == job.put.version;
        match row {
            // An earlier try of this write took effect although its answer was lost.
            Some(row) if row.value == job.put.value => {
                let _ = job.reply.send(Written::Done(row.version));
            }
            // Rows whose condition holds are not reported.
            None if job.put.version.is_none() => again.push(job),
            None => again.push(job),
            Some(_) if holds => again.push(job),
            Some(row) => {
                let _ = job.reply.send(Written::Conflict(Some(row.clone())));
            }
        }
    }
    again
}

/// Settles writes whose row was deleted: the platform names no row for a condition that failed
/// because the row is missing, so nothing else tells which write was at fault.
async fn settle_missing(client: &platform::Client, batch: Vec<Job>) -> Vec<Job> {
    let Ok(rows) = client.read(&query(&batch)).await else {
        pause(&batch).await;
        return batch;
    };
    let (missing, again): (Vec<Job>, Vec<Job>) = batch
        .into_iter()
        .partition(|job| job.put.version.is_some() && !rows.contains_key(&job.put.key));
    for job in missing {
        let _ = job.reply.send(Written::Conflict(None));
    }
    again
}

fn query(batch: &[Job]) -> platform::Query {
    let keys = batch.iter().map(|job| job.put.key.clone()).collect();
    platform::Query { keys, prefixes: Vec::new() }
}

/// Settles writes after a lost answer. A write that is not visible yet may still take effect, so
/// it is sent again under the same condition instead of being reported as not run.
async fn read_back(client: &platform::Client, batch: Vec<Job>) -> Vec<Job> {
    let rows = client.read(&query(&batch)).await.unwrap_or_default();
    let mut again = Vec::new();
    for mut job in batch {
        match rows.get(&job.put.key) {
            Some(row) if row.value == job.put.value => {
                let _ = job.reply.send(Written::Done(row.version));
            }
            _ => {
                job.uncertain = true;
                again.push(job);
            }
        }
    }
    pause(&again).await;
    again
}
