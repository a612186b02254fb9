//! Takes a keyed request through its claim row.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use super::batch::{Batcher, Put, Written};
use super::{Answer, Row, State, Step, decide};
use crate::error::{Error, Kind, Result};
use crate::platform;

/// Pause between two reads of a row on which another attempt is at work.
const POLL: Duration = Duration::from_millis(50);
/// A recorded answer is tried this long; the caller does not wait for it longer than `RECORD_WAIT`.
const RECORD_TIME: Duration = Duration::from_secs(60);
const RECORD_WAIT: Duration = Duration::from_secs(1);

/// Names one keyed request.
#[derive(Debug, Clone)]
pub struct Claim {
    pub key: String,
    pub attempt: Arc<str>,
    pub digest: Arc<str>,
    pub deadline: Instant,
}

impl Claim {
    /// Gives a row that any later attempt may claim at once.
    fn abandoned(&self) -> Row {
        Row {
            state: State::Claimed,
            attempt: self.attempt.clone(),
            digest: self.digest.clone(),
            until_ms: 0,
        }
    }
}

/// Tells how the way to the first byte ended.
#[derive(Debug)]
pub enum Entry {
    /// The request may be sent, once, by this attempt.
    Started(Started),
    /// The request was run before.
    Recorded(Answer),
}

/// Allows one execution; the row version is the condition for recording the answer.
#[derive(Debug)]
pub struct Started {
    claim: Claim,
    version: u64,
}

/// Claims a request and starts it, or gives the recorded answer.
///
/// # Errors
///
/// Fails with `PlatformDown` when the table can't be reached: the request was not run and, since the
/// row is only a claim, never will be by this attempt. Fails with `KeyMismatch` for another request
/// under the same key, and with `KeyInFlight` when another attempt did not end in time.
pub async fn enter(client: &platform::Client, batcher: &Batcher, claim: Claim) -> Result<Entry> {
    // The first try assumes that the key is new, which saves a read.
    let mut seen: Option<(u64, Row)> = None;
    loop {
        let row = seen.as_ref().map(|(version, row)| (*version, row));
        match decide(row, &claim.attempt, &claim.digest, unix_ms()) {
            Step::Replay(answer) => return Ok(Entry::Recorded(answer)),
            Step::Mismatch => {
                let detail = "the idempotency key was used for another request";
                return Err(Error::new(Kind::KeyMismatch, detail));
            }
            Step::Wait => {
                if Instant::now() + POLL >= claim.deadline {
                    return Err(unfinished(seen.as_ref()));
                }
                tokio::time::sleep(POLL).await;
                // The other attempt may have run the request, so a failed read says nothing new.
                seen = match read(client, &claim.key).await {
                    Ok(row) => row,
                    Err(_) => return Err(unfinished(seen.as_ref())),
                };
            }
            Step::Lost => return Err(unfinished(seen.as_ref())),
            Step::Claim(version) => {
                seen = write(client, batcher, &claim, version, State::Claimed).await?;
            }
            Step::Start(version) => {
                let written = write(client, batcher, &claim, Some(version), State::Started).await;
                if written.is_err() {
                    tokio::spawn(withdraw(client.clone(), batcher.clone(), claim.clone()));
                }
                seen = written?;
                if let Some((version, row)) = &seen
                    && row.state == State::Started
                    && row.attempt == claim.attempt
                {
                    return Ok(Entry::Started(Started { version: *version, claim }));
                }
            }
        }
    }
}

impl Started {
    /// Frees the key after the request provably did not reach an endpoint.
    pub async fn release(self, batcher: &Batcher) {
        let Ok(value) = serde_json::to_value(self.claim.abandoned()) else { return };
        let deadline = Instant::now() + RECORD_WAIT;
        let key = self.claim.key.clone();
        batcher.put(Put { key, version: Some(self.version), value, deadline }).await;
    }

    /// Records the answer. The caller waits a bounded time; recording goes on after that.
    pub async fn record(self, batcher: &Batcher, answer: Answer) {
        let row = Row {
            state: State::Done(answer),
            attempt: self.claim.attempt.clone(),
            digest: self.claim.digest.clone(),
            until_ms: 0,
        };
        let Ok(value) = serde_json::to_value(&row) else { return };
        let batcher = batcher.clone();
        let task = tokio::spawn(async move {
            let deadline = Instant::now() + RECORD_TIME;
            while Instant::now() < deadline {
                let put = Put {
                    key: self.claim.key.clone(),
                    version: Some(self.version),
                    value: value.clone(),
                    deadline,
                };
                if !matches!(batcher.put(put).await, Written::NotRun) {
                    return;
                }
                tokio::time::sleep(RECORD_WAIT).await;
            }
            log::error!("claim: the answer of {} could not be recorded", self.claim.attempt);
        });
        let _ = tokio::time::timeout(RECORD_WAIT, task).await;
    }
}

/// Writes the own state and gives the row as it is afterwards.
async fn write(
    client: &platform::Client,
    batcher: &Batcher,
    claim: &Claim,
    version: Option<u64>,
    state: State,
) -> Result<Option<(u64, Row)>> {
    let left = claim.deadline.saturating_duration_since(Instant::now());
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let row = Row {
        state,
        attempt: claim.attempt.clone(),
        digest: claim.digest.clone(),
        until_ms: unix_ms().saturating_add(left_ms),
    };
    let value = serde_json::to_value(&row)
        .map_err(|error| Error::new(Kind::PlatformDown, error.to_string()))?;
    let put = Put { key: claim.key.clone(), version, value, deadline: claim.deadline };
    match batcher.put(put).await {
        Written::Done(version) => Ok(Some((version, row))),
        Written::Conflict(Some(row)) => Ok(Some((row.version, parse(&row)?))),
        Written::Conflict(None) => read(client, &claim.key).await,
        Written::NotRun | Written::Unknown => {
            Err(Error::new(Kind::PlatformDown, "the claim could not be recorded in time"))
        }
    }
}

/// Frees the key of an attempt that gave up while its start step had an unknown outcome. The
/// attempt sends nothing any more, so a `started` row of its own can safely become a free claim.
async fn withdraw(client: platform::Client, batcher: Batcher, claim: Claim) {
    let deadline = Instant::now() + RECORD_TIME;
    let Ok(value) = serde_json::to_value(claim.abandoned()) else { return };
    while Instant::now() < deadline {
        tokio::time::sleep(RECORD_WAIT).await;
        let Ok(Some((version, row))) = read(&client, &claim.key).await else { continue };
        if row.attempt != claim.attempt {
            return;
        }
        if row.state == State::Started {
            let key = claim.key.clone();
            let put = Put { key, version: Some(version), value: value.clone(), deadline };
            if matches!(batcher.put(put).await, Written::Done(_) | Written::Conflict(_)) {
                return;
            }
        }
    }
}

async fn read(client: &platform::Client, key: &str) -> Result<Option<(u64, Row)>> {
    let row = client.read_row(key).await;
    let row = row.map_err(|error| Error::new(Kind::PlatformDown, error.to_string()))?;
    row.map(|row| Ok((row.version, parse(&row)?))).transpose()
}

fn parse(row: &platform::Row) -> Result<Row> {
    serde_json::from_value(row.value.clone())
        .map_err(|error| Error::new(Kind::PlatformDown, format!("claim row is broken: {error}")))
}

/// Explains why another attempt kept this one waiting until the deadline.
fn unfinished(seen: Option<&(u64, Row)>) -> Error {
    match seen {
        Some((_, row)) if row.state == State::Started => {
            Error::new(Kind::OutcomeUnknown, "an earlier request with this key has no answer yet")
        }
        _ => Error::new(Kind::KeyInFlight, "another request with this key is in progress"),
    }
}

/// Gives the wall clock in milliseconds since 1970; used only to free abandoned claims.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
