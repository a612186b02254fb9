//! At-most-once execution of non-idempotent requests that carry an idempotency key.
//!
//! Each key has a claim row in the table, which goes from `claimed` to `started` to `done` or
//! `lost`. Each write is conditional on the row version seen before, so two nodes can't both start
//! a request; see `docs/design.md`, section 9.

pub mod attempt;
pub mod batch;
pub mod retain;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

pub use batch::Batcher;

/// Time after the deadline of an attempt, in milliseconds, at which its claim expires: another
/// attempt may take it over if it has not started, and treats its request as lost if it has. Clocks
/// of VMs differ by less; a takeover that is too early does no harm, since starting the request is
/// a conditional write.
pub const GRACE_MS: u64 = 5_000;

/// Recorded answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// Body as hexadecimal digits, since it may not be valid text.
    pub body: String,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// An attempt has reserved the key but not sent the request.
    Claimed,
    /// An attempt may have sent the request; its outcome is not recorded yet.
    Started,
    /// The request was sent, but no complete answer arrived and none will be recorded.
    Lost,
    /// The answer was recorded.
    Done(Answer),
}

/// Value of a claim row in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub state: State,
    /// Id of the attempt that wrote the row; unique across all nodes.
    pub attempt: Arc<str>,
    /// SHA-256 of the request's method, path and body.
    pub digest: Arc<str>,
    /// Unix time in milliseconds: the deadline of the attempt, or the time at which its outcome was
    /// recorded. The row is kept for `retain::RETENTION` after it. 0 in a `Claimed` row
    /// means that the key was released.
    pub until_ms: u64,
}

/// Next step of an attempt, given the claim row that it has read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Write a claim, on condition that the row still has this version, or with `None` that it does
    /// not exist.
    Claim(Option<u64>),
    /// Start the attempt, on condition that the row still has this version.
    Start(u64),
    /// Return the recorded answer.
    Replay(Answer),
    /// Another attempt is in progress; read the row again later.
    Wait,
    /// Another attempt started the request, and its answer will not be recorded.
    Lost,
    /// The key was used for a different request.
    Mismatch,
}

/// Returns the next step of `attempt`; `row` is the claim row last seen, with its version.
pub fn next_step(row: Option<(u64, &Row)>, attempt: &str, digest: &str, now_ms: u64) -> Step {
    let Some((version, row)) = row else { return Step::Claim(None) };
    if *row.digest != *digest {
        return Step::Mismatch;
    }
    match &row.state {
        State::Done(answer) => Step::Replay(answer.clone()),
        State::Lost => Step::Lost,
        State::Started if is_expired(row, now_ms) => Step::Lost,
        State::Started => Step::Wait,
        State::Claimed if *row.attempt == *attempt => Step::Start(version),
        State::Claimed if is_expired(row, now_ms) => Step::Claim(Some(version)),
        State::Claimed => Step::Wait,
    }
}

fn is_expired(row: &Row, now_ms: u64) -> bool {
    row.until_ms.saturating_add(GRACE_MS) < now_ms
}

/// Returns the key of a claim row. The idempotency key is hashed, since it is arbitrary text.
pub fn row_key(workspace: &str, service: &str, key: &str) -> String {
    format!("claim/{workspace}/{service}/{}", hex(&Sha256::digest(key)))
}

/// Returns the digest that detects when an idempotency key is reused for a different request.
pub fn digest(method: &str, path: &str, body: &[u8]) -> Arc<str> {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hex(&hasher.finalize()).into()
}

/// Encodes bytes as lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal digits; returns `None` if the text is not valid.
pub fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok()).collect()
}
