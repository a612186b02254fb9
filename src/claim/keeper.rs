//! Takes a keyed request through its claim row.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::task::JoinHandle;
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
/// Pause before an outcome is recorded again; it doubles up to `RECORD_WAIT`.
const RECORD_PAUSE: Duration = Duration::from_millis(100);

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
                let written = write(client, batcher, &claim, version, State::Claimed).await;
                seen = or_withdraw(written, batcher, &claim, version)?;
            }
            Step::Start(version) => {
                let written = write(client, batcher, &claim, Some(version), State::Started).await;
                seen = or_withdraw(written, batcher, &claim, Some(version))?;
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

/// Passes the row on, or frees the key when the step failed.
fn or_withdraw(
    written: Result<Option<(u64, Row)>>,
    batcher: &Batcher,
    claim: &Claim,
    version: Option<u64>,
) -> Result<Option<(u64, Row)>> {
    if written.is_err() {
        tokio::spawn(withdraw(batcher.clone(), claim.clone(), version));
    }
    written
}

impl Started {
    /// Frees the key after the request provably did not reach an endpoint. The caller waits a
    /// bounded time; freeing goes on after that, since a `started` row is never taken over.
    pub async fn release(self, batcher: &Batcher) {
        let task = tokio::spawn(withdraw(batcher.clone(), self.claim, Some(self.version)));
        let _ = tokio::time::timeout(RECORD_WAIT, task).await;
    }

    /// Records the answer. The caller waits a bounded time; recording goes on after that.
    pub async fn record(self, batcher: &Batcher, answer: Answer) {
        let task = self.settle(batcher, State::Done(answer));
        let _ = tokio::time::timeout(RECORD_WAIT, task).await;
    }

    /// Records that there will be no answer, so that repeated requests do not wait for one. Nobody
    /// waits for this write.
    pub fn lose(self, batcher: &Batcher) {
        drop(self.settle(batcher, State::Lost));
    }

    fn settle(self, batcher: &Batcher, state: State) -> JoinHandle<()> {
        let row = Row {
            state,
            attempt: self.claim.attempt.clone(),
            digest: self.claim.digest.clone(),
            until_ms: unix_ms(),
        };
        let value = serde_json::to_value(&row);
        let batcher = batcher.clone();
        tokio::spawn(async move {
            let Ok(value) = value else { return };
            let deadline = Instant::now() + RECORD_TIME;
            let mut pause = RECORD_PAUSE;
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
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(RECORD_WAIT);
            }
            log::error!("claim: the outcome of {} could not be recorded", self.claim.attempt);
        })
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

/// Frees the key of an attempt that gave up before it sent anything.
///
/// The last write of the attempt may still take effect, so the free claim is written on condition of
/// the row version that the attempt knew: either it comes first and makes the late write fail, or it
/// is rejected with the row that the late write left. It goes through the batcher, since after an
/// outage there are as many of these writes as there were refused requests.
async fn withdraw(batcher: Batcher, claim: Claim, mut version: Option<u64>) {
    let deadline = Instant::now() + RECORD_TIME;
    let Ok(value) = serde_json::to_value(claim.abandoned()) else { return };
    while Instant::now() < deadline {
        let put = Put { key: claim.key.clone(), version, value: value.clone(), deadline };
        match batcher.put(put).await {
            Written::Conflict(Some(row)) => match parse(&row) {
                Ok(found) if found.attempt == claim.attempt => version = Some(row.version),
                _ => return,
            },
            Written::NotRun => tokio::time::sleep(RECORD_WAIT).await,
            Written::Done(_) | Written::Conflict(None) | Written::Unknown => return,
        }
    }
}

/// Gives the recorded answer of a request that is not to be run now, if there is one.
pub async fn recorded(client: &platform::Client, key: &str, digest: &str) -> Option<Answer> {
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
        .map_err(|error| Error::new(Kind::PlatformDown, format!("claim row is broken: {error}")))
}

/// Explains why another attempt kept this one waiting until the deadline.
fn unfinished(seen: Option<&(u64, Row)>) -> Error {
    match seen {
        Some((_, row)) if matches!(row.state, State::Started | State::Lost) => {
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
