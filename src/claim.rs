//! At-most-once execution of keyed, non-idempotent requests.
//!
//! A claim row in the table goes from `claimed` to `started` to `done` or `lost`. Each step is conditional on
//! the row version seen before, so two nodes can't both start a request; see `docs/design.md`,
//! section 9.

pub mod batch;
pub mod keeper;
pub mod retain;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

pub use batch::Batcher;

/// A claim that was not started is free again this long after its claimer's deadline. Clocks of VMs
/// differ by less; a wrong takeover is still harmless, since the start step is conditional.
pub const GRACE_MS: u64 = 5_000;

/// Holds a recorded answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// Body in hexadecimal, since it need not be text.
    pub body: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Claimed,
    Started,
    /// The request was sent and gave no whole answer; there will be none.
    Lost,
    Done(Answer),
}

/// Holds a claim as the table keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub state: State,
    /// Identifies one try to run the request; unique over all nodes.
    pub attempt: Arc<str>,
    /// SHA-256 of method, path and body.
    pub digest: Arc<str>,
    /// Unix time, in milliseconds: until when the claimer may start the request, or when its answer
    /// was recorded. The row is kept for `retain::KEEP` after it; 0 makes a free claim.
    pub until_ms: u64,
}

/// Tells what a node does after it has read a claim row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Write a claim on condition of this row version.
    Claim(Option<u64>),
    /// Start the own attempt on condition of this row version.
    Start(u64),
    /// Give the recorded answer.
    Replay(Answer),
    /// Another attempt is at work; read the row again later.
    Wait,
    /// Another attempt started the request and nobody will record an answer.
    Lost,
    /// The key was used for another request.
    Mismatch,
}

/// Decides from a claim row; `row` carries the row version.
pub fn decide(row: Option<(u64, &Row)>, attempt: &str, digest: &str, now_ms: u64) -> Step {
    let Some((version, row)) = row else { return Step::Claim(None) };
    if *row.digest != *digest {
        return Step::Mismatch;
    }
    match &row.state {
        State::Done(answer) => Step::Replay(answer.clone()),
        State::Lost => Step::Lost,
        State::Started if is_over(row, now_ms) => Step::Lost,
        State::Started => Step::Wait,
        State::Claimed if *row.attempt == *attempt => Step::Start(version),
        State::Claimed if is_over(row, now_ms) => Step::Claim(Some(version)),
        State::Claimed => Step::Wait,
    }
}

fn is_over(row: &Row, now_ms: u64) -> bool {
    row.until_ms.saturating_add(GRACE_MS) < now_ms
}

/// Gives the key of a claim row; the caller's key is hashed, since it is free text.
pub fn row_key(workspace: &str, service: &str, key: &str) -> String {
    format!("claim/{workspace}/{service}/{}", hex(&Sha256::digest(key)))
}

/// Gives the digest by which another request under the same key is told apart.
pub fn digest(method: &str, path: &str, body: &[u8]) -> Arc<str> {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hex(&hasher.finalize()).into()
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Gives `None` for text that is not hexadecimal.
pub fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok()).collect()
}
