//! Runs one attempt at a request with an idempotency key: claims the key, starts the request and
//! records its outcome.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::batch::{Batcher, Put, Reply};
use super::{Answer, Row, State, Step, next_step};
use crate::error::{Error, Kind, Result};
use crate::platform;

/// Pause between two reads of a claim row while another attempt is in progress.
const POLL_PERIOD: Duration = Duration::from_millis(50);
/// Time for which writes that record an outcome or release a key are retried.
const RECORD_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time that a request waits for the write of its outcome, and longest pause between
/// retries of that write.
const MAX_RECORD_WAIT: Duration = Duration::from_secs(1);
/// First pause before the write of an outcome is retried; it doubles up to `MAX_RECORD_WAIT`.
const RECORD_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// One attempt at a request with an idempotency key.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Key of the claim row; see `claim::row_key`.
    pub key: String,
    /// Id of the attempt; unique across all nodes.
    pub id: Arc<str>,
    /// Digest of the request; see `claim::digest`.
    pub digest: Arc<str>,
    pub deadline: Instant,
}

impl Attempt {
    /// Returns a row that any later attempt may claim immediately.
    fn released_row(&self) -> Row {
        Row {
            state: State::Claimed,
            attempt: self.id.clone(),
            digest: self.digest.clone(),
            until_ms: 0,
        }
    }
}

/// Result of claiming a key.
#[derive(Debug)]
pub enum Claim {
    /// This attempt may send the request, once.
    Started(Execution),
    /// An earlier attempt has run the request; this is its answer.
    Recorded(Answer),
}

/// Permission for an attempt to send its request once.
#[derive(Debug)]
pub struct Execution {
    attempt: Attempt,
    /// Version of the started claim row, on which the write of the outcome is conditional.
    version: u64,
}

/// Claims the key and marks the request as started, or returns the recorded answer.
///
/// # Errors
///
/// Fails with `PlatformDown` if the table can't be reached: this attempt has not sent the request
/// and never will. Fails with `KeyMismatch` if the key was used for a different request. If another
/// attempt does not finish before the deadline, fails with `OutcomeUnknown` when that attempt has
/// started the request, and with `KeyInFlight` otherwise; `OutcomeUnknown` also means that its
/// answer was lost.
pub async fn claim(
    client: &platform::Client,
    batcher: &Batcher,
    attempt: Attempt,
) -> Result<Claim> {
    // The first write assumes that the key is new, which saves a read.
    let mut seen: Option<(u64, Row)> = None;
    loop {
        let row = seen.as_ref().map(|(version, row)| (*version, row));
        match next_step(row, &attempt.id, &attempt.digest, unix_ms()) {
            Step::Replay(answer) => return Ok(Claim::Recorded(answer)),
            Step::Mismatch => {
                let detail = "the idempotency key was used for a different request";
                return Err(Error::new(Kind::KeyMismatch, detail));
            }
            Step::Wait => {
                if Instant::now() + POLL_PERIOD >= attempt.deadline {
                    return Err(unfinished_error(seen.as_ref()));
                }
                tokio::time::sleep(POLL_PERIOD).await;
                // The other attempt may have run the request, so the error after a failed read is
                // based on the row last seen.
                seen = match read(client, &attempt.key).await {
                    Ok(row) => row,
                    Err(_) => return Err(unfinished_error(seen.as_ref())),
                };
            }
            Step::Lost => return Err(unfinished_error(seen.as_ref())),
            Step::Claim(version) => {
                let written = write(client, batcher, &attempt, version, State::Claimed).await;
                seen = release_on_error(written, batcher, &attempt, version)?;
            }
            Step::Start(version) => {
                let written = write(client, batcher, &attempt, Some(version), State::Started).await;
                seen = release_on_error(written, batcher, &attempt, Some(version))?;
                if let Some((version, row)) = &seen
                    && row.state == State::Started
                    && row.attempt == attempt.id
                {
                    return Ok(Claim::Started(Execution { version: *version, attempt }));
                }
            }
        }
    }
}

/// Returns the result of a write, after starting to release the key if the write failed.
fn release_on_error(
    written: Result<Option<(u64, Row)>>,
    batcher: &Batcher,
    attempt: &Attempt,
    version: Option<u64>,
) -> Result<Option<(u64, Row)>> {
    if written.is_err() {
        tokio::spawn(release_key(batcher.clone(), attempt.clone(), version));
    }
    written
}

impl Execution {
    /// Releases the key after the request provably did not reach an endpoint.
    ///
    /// Waits for at most `MAX_RECORD_WAIT`; the write is retried in the background after that,
    /// since no other attempt takes over a `started` row.
    pub async fn release(self, batcher: &Batcher) {
        let task = tokio::spawn(release_key(batcher.clone(), self.attempt, Some(self.version)));
        let _ = tokio::time::timeout(MAX_RECORD_WAIT, task).await;
    }

    /// Records the answer. Waits for at most `MAX_RECORD_WAIT`; the write is retried in the
    /// background after that.
    pub async fn record(self, batcher: &Batcher, answer: Answer) {
        let task = self.spawn_record(batcher, State::Done(answer));
        let _ = tokio::time::timeout(MAX_RECORD_WAIT, task).await;
    }

    /// Records that there will be no answer, so that repeated requests do not wait for one. Returns
    /// without waiting for the write.
    pub fn record_lost(self, batcher: &Batcher) {
        drop(self.spawn_record(batcher, State::Lost));
    }

    /// Starts a task that writes the outcome, with retries.
    fn spawn_record(self, batcher: &Batcher, state: State) -> JoinHandle<()> {
        let row = Row {
            state,
            attempt: self.attempt.id.clone(),
            digest: self.attempt.digest.clone(),
            until_ms: unix_ms(),
        };
        let value = serde_json::to_value(&row);
        let batcher = batcher.clone();
        tokio::spawn(async move {
            let Ok(value) = value else { return };
            let deadline = Instant::now() + RECORD_TIMEOUT;
            let mut pause = RECORD_RETRY_PAUSE;
            while Instant::now() < deadline {
                let put = Put {
                    key: self.attempt.key.clone(),
                    version: Some(self.version),
                    value: value.clone(),
                    deadline,
                };
                if !matches!(batcher.put(put).await, Reply::NotRun) {
                    return;
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RECORD_WAIT);
            }
            log::error!("claim: recording the outcome of attempt {} failed", self.attempt.id);
        })
    }
}

/// Writes the claim row with the given state; returns the row as it is afterwards, which can be
/// that of another attempt.
async fn write(
    client: &platform::Client,
    batcher: &Batcher,
    attempt: &Attempt,
    version: Option<u64>,
    state: State,
) -> Result<Option<(u64, Row)>> {
    let remaining = attempt.deadline.saturating_duration_since(Instant::now());
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    let row = Row {
        state,
        attempt: attempt.id.clone(),
        digest: attempt.digest.clone(),
        until_ms: unix_ms().saturating_add(remaining_ms),
    };
    let value = serde_json::to_value(&row)
        .map_err(|error| Error::new(Kind::PlatformDown, error.to_string()))?;
    let put = Put { key: attempt.key.clone(), version, value, deadline: attempt.deadline };
    match batcher.put(put).await {
        Reply::Done(version) => Ok(Some((version, row))),
        Reply::Conflict(Some(row)) => Ok(Some((row.version, parse(&row)?))),
        Reply::Conflict(None) => read(client, &attempt.key).await,
        Reply::NotRun | Reply::Unknown => {
            Err(Error::new(Kind::PlatformDown, "the claim could not be written in time"))
        }
    }
}

/// Releases the key of an attempt that gave up before it sent the request.
///
/// The last write of the attempt may still take effect, so the release is conditional on the row
/// version that the attempt last saw: either the release takes effect first and the late write
/// fails, or the release is rejected with the row that the late write left, and is repeated with
/// the version of that row. It goes through the batcher, since after an outage there is one such
/// write for each refused request.
async fn release_key(batcher: Batcher, attempt: Attempt, mut version: Option<u64>) {
    let deadline = Instant::now() + RECORD_TIMEOUT;
    let Ok(value) = serde_json::to_value(attempt.released_row()) else { return };
    while Instant::now() < deadline {
        let put = Put { key: attempt.key.clone(), version, value: value.clone(), deadline };
        match batcher.put(put).await {
            Reply::Conflict(Some(row)) => match parse(&row) {
                Ok(found) if found.attempt == attempt.id => version = Some(row.version),
                _ => return,
            },
            Reply::NotRun => tokio::time::sleep(MAX_RECORD_WAIT).await,
            Reply::Done(_) | Reply::Conflict(None) | Reply::Unknown => return,
        }
    }
}

/// Returns the recorded answer to a request without claiming its key; `None` if there is none or
/// the row can't be read.
pub async fn read_answer(client: &platform::Client, key: &str, digest: &str) -> Option<Answer> {
    match read(client, key).await.ok()?? {
        (_, Row { state: State::Done(answer), digest: known, .. }) if *known == *digest => {
            Some(answer)
        }
        _ => None,
    }
}

async fn read(client: &platform::Client, key: &str) -> Result<Option<(u64, Row)>> {
    let row = client.read_row(key).await;
    let row = row.map_err(|error| Error::new(Kind::PlatformDown, error.to_string()))?;
    row.map(|row| Ok((row.version, parse(&row)?))).transpose()
}

fn parse(row: &platform::Row) -> Result<Row> {
    serde_json::from_value(row.value.clone())
        .map_err(|error| Error::new(Kind::PlatformDown, format!("invalid claim row: {error}")))
}

/// Returns the error for an attempt that gives up because another attempt holds the key.
fn unfinished_error(seen: Option<&(u64, Row)>) -> Error {
    match seen {
        Some((_, row)) if matches!(row.state, State::Started | State::Lost) => {
            Error::new(Kind::OutcomeUnknown, "an earlier request with this key has no answer yet")
        }
        _ => Error::new(Kind::KeyInFlight, "another request with this key is in progress"),
    }
}

/// Returns the wall clock time, in milliseconds since 1970 (Unix time).
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
