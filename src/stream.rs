//! Accepted streams: their journal, and the copies by which they survive a reclaim.
//!
//! An entry holds the request and every token relayed so far, so that a caller, another endpoint or
//! another node can go on exactly after an offset; see `docs/design.md`, section 8.

pub mod drain;
pub mod journal;
pub mod remote;
pub mod state;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::endpoint::sse;
use crate::error;

pub use journal::{Entry, Journal};

/// Separates the accepting node from the rest of a stream id.
const NODE_SEPARATOR: char = '~';
/// Stands for the event before the first one, for callers that have seen none.
const BEFORE_FIRST: &str = "-1";

/// Holds an accepted chat request as every node can carry it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    pub id: Arc<str>,
    pub workspace: Arc<str>,
    pub service: Arc<str>,
    /// Body of the caller's request as JSON.
    pub body: Arc<str>,
    pub priority: u8,
    /// Time left when the request was accepted, in milliseconds.
    pub deadline_ms: u64,
    /// Set for a draft, whose answer is kept in the object store.
    pub draft: bool,
}

/// Tells how a stream ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finish {
    Complete { reason: Arc<str>, usage: sse::Usage },
    Failed { kind: error::Kind, detail: Arc<str> },
}

/// Names the node that accepted a stream.
pub fn owner(id: &str) -> Option<&str> {
    id.split_once(NODE_SEPARATOR).map(|(node, _)| node)
}

/// Makes a stream id that is unique over restarts of the node.
pub fn make_id(node: &str, incarnation: u64, counter: u64) -> Arc<str> {
    format!("{node}{NODE_SEPARATOR}{incarnation:x}-{counter:x}").into()
}

/// Splits the `Last-Event-ID` of a caller into the stream id and the offset to go on from.
pub fn parse_event_id(text: &str) -> Option<(&str, u64)> {
    let (id, last) = text.rsplit_once('.')?;
    owner(id)?;
    if last == BEFORE_FIRST {
        return Some((id, 0));
    }
    Some((id, last.parse::<u64>().ok()?.checked_add(1)?))
}
