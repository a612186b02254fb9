//! Accepted chat streams: an in-memory journal of them, and its replication to other entry VMs.
//!
//! A journal entry holds the request and all tokens received so far, so that a caller, another
//! endpoint or another node can resume at an exact offset; see `docs/design.md`, section 8. A
//! stream's primary is the node that sends it to endpoints and appends their tokens. Other nodes
//! store a copy, or follow the primary to serve callers that have reconnected.

pub mod drain;
pub mod journal;
pub mod remote;
pub mod state;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::endpoint::sse;
use crate::error;

pub use journal::{Entry, Journal};

/// Separates the name of the accepting node from the rest of a stream id.
const NODE_SEPARATOR: char = '~';
/// Event number in a `Last-Event-ID` of a caller that has received no event yet.
const BEFORE_FIRST: &str = "-1";

/// An accepted chat request, with all that another node needs to take it over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    pub id: Arc<str>,
    pub workspace: Arc<str>,
    pub service: Arc<str>,
    /// JSON body of the caller's request.
    pub body: Arc<str>,
    pub priority: u8,
    /// Time from acceptance to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Set for a draft, whose response is written to the object store.
    pub draft: bool,
}

/// The outcome of a stream that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finish {
    Complete { reason: Arc<str>, usage: sse::Usage },
    Failed { kind: error::Kind, detail: Arc<str> },
}

/// Returns the name of the node that accepted a stream; `None` if the stream id is malformed.
pub fn accepting_node(id: &str) -> Option<&str> {
    id.split_once(NODE_SEPARATOR).map(|(node, _)| node)
}

/// Builds a stream id that stays unique across restarts of the node.
pub fn make_id(node: &str, incarnation: u64, counter: u64) -> Arc<str> {
    format!("{node}{NODE_SEPARATOR}{incarnation:x}-{counter:x}").into()
}

/// Parses a `Last-Event-ID` into the stream id and the offset to resume at; `None` if malformed.
pub fn parse_event_id(text: &str) -> Option<(&str, u64)> {
    let (id, last) = text.rsplit_once('.')?;
    accepting_node(id)?;
    if last == BEFORE_FIRST {
        return Some((id, 0));
    }
    Some((id, last.parse::<u64>().ok()?.checked_add(1)?))
}
