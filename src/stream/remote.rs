//! Streams that another node accepted: reading them from there, and taking them over.
//!
//! A node on which a caller resumes becomes a mirror of the stream. When nobody carries the stream
//! any more, the mirror goes on from its own offset, so the caller sees every token exactly once.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use super::{Entry, Finish, Request, owner};
use crate::caller::pump;
use crate::daemon::Node;
use crate::error::{Error, Kind, Result};
use crate::membership::{Member, Status};
use crate::peer::{self, Reply};
use crate::timeline::Subject;

/// Time for which a node holds a fetch open while there is nothing new.
const LONG_POLL: Duration = Duration::from_millis(300);
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);
/// Fetches that fail in a row before another carrier is looked for.
const FETCHES: u32 = 2;
/// Peers asked for a stream besides its owner.
const PEERS_ASKED: usize = 3;

/// Holds a stream as one node sends it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub request: Request,
    /// Offset of the first token in `tokens`.
    pub offset: u64,
    pub tokens: Vec<Arc<str>>,
    pub finish: Option<Finish>,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Tells whether the sender carries the stream itself.
    pub carried: bool,
}

/// Encodes a whole stream.
pub fn snapshot(entry: &Entry) -> Vec<u8> {
    postcard::to_allocvec(&take(entry, 0)).unwrap_or_default()
}

fn take(entry: &Entry, offset: u64) -> Snapshot {
    let part = entry.peek(offset);
    let mut request = entry.request.clone();
    let left = entry.deadline().saturating_duration_since(Instant::now());
    request.deadline_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    Snapshot {
        left_ms: request.deadline_ms,
        carried: entry.is_carried(),
        tokens: part.tokens,
        finish: part.finish,
        request,
        offset,
    }
}

/// Takes a stream from another node, either to carry it on at once or to keep it as a copy.
pub fn receive(node: &Arc<Node>, bytes: &[u8], carry: bool) -> Reply {
    let Ok(snapshot) = postcard::from_bytes::<Snapshot>(bytes) else {
        return Reply::Refused("the stream can't be read".into());
    };
    if carry && node.is_stopping() {
        return Reply::Refused("this node is stopping too".into());
    }
    let id = snapshot.request.id.clone();
    let entry = match node.journal.get(&id) {
        Some(entry) => entry,
        None => match node.journal.open(snapshot.request, Vec::new()) {
            Some(entry) => entry,
            None => return Reply::Refused("the journal is full".into()),
        },
    };
    entry.extend_to(snapshot.offset, snapshot.tokens);
    if let Some(finish) = snapshot.finish {
        entry.close(finish);
    } else if carry && entry.start_carrying() {
        let text = format!("stream taken over at offset {}", entry.offset());
        log::info!("stream: {id} taken over at offset {}", entry.offset());
        node.record("stream", Subject { request: Some(id), ..Subject::default() }, text);
        tokio::spawn(pump::carry(node.clone(), entry));
    }
    Reply::Done
}

/// Answers a fetch of another node; waits a bounded time for something new.
pub async fn serve(node: &Node, id: &str, offset: u64) -> Reply {
    let Some(entry) = node.journal.get(id) else {
        return Reply::Refused("the stream is not known here".into());
    };
    let reader = entry.reader(offset);
    if entry.is_carried() {
        let _ = tokio::time::timeout(LONG_POLL, entry.read(offset)).await;
    }
    drop(reader);
    match postcard::to_allocvec(&take(&entry, offset)) {
        Ok(bytes) => Reply::Payload(bytes),
        Err(error) => Reply::Refused(error.to_string().into()),
    }
}

/// Finds a stream for a caller that resumes it.
///
/// # Errors
///
/// Fails with `StreamGone` when neither the owner nor the peers that may hold a copy know it.
pub async fn find(node: &Arc<Node>, id: &str) -> Result<Arc<Entry>> {
    if let Some(entry) = node.journal.get(id) {
        if !entry.is_carried() && entry.finish().is_none() && entry.start_mirroring() {
            tokio::spawn(mirror(node.clone(), entry.clone()));
        }
        return Ok(entry);
    }
    for member in candidates(node, id) {
        let Some(snapshot) = fetch(node, &member, id, 0).await else { continue };
        let Some(entry) = node.journal.open(snapshot.request.clone(), Vec::new()) else { break };
        entry.extend_to(0, snapshot.tokens);
        if let Some(finish) = snapshot.finish {
            entry.close(finish);
        } else if entry.start_mirroring() {
            tokio::spawn(mirror(node.clone(), entry.clone()));
        }
        return Ok(entry);
    }
    match node.journal.get(id) {
        Some(entry) => Ok(entry),
        None => Err(Error::new(Kind::StreamGone, "the stream is not known any more")),
    }
}

/// Follows the node that carries a stream; carries it on when there is none.
async fn mirror(node: Arc<Node>, entry: Arc<Entry>) {
    let id = entry.request.id.clone();
    let mut failures = 0;
    while entry.finish().is_none() && !entry.is_carried() {
        let mut followed = false;
        for member in candidates(&node, &id) {
            let Some(snapshot) = fetch(&node, &member, &id, entry.offset()).await else { continue };
            entry.extend_to(snapshot.offset, snapshot.tokens);
            if let Some(finish) = snapshot.finish {
                entry.close(finish);
                return;
            }
            if snapshot.carried {
                followed = true;
                break;
            }
        }
        failures = if followed { 0 } else { failures + 1 };
        if failures >= FETCHES && entry.start_carrying() {
            let offset = entry.offset();
            log::info!("stream: nobody carries {id}; going on at offset {offset}");
            let subject = Subject { request: Some(id), ..Subject::default() };
            node.record("stream", subject, format!("stream carried on at offset {offset}"));
            pump::carry(node, entry).await;
            return;
        }
    }
}

async fn fetch(node: &Node, member: &Member, id: &str, offset: u64) -> Option<Snapshot> {
    let request = peer::Request::FetchStream { id: id.into(), offset };
    let network = node.network.get()?;
    match network.request(member.address, request, FETCH_TIMEOUT).await {
        Ok(Reply::Payload(bytes)) => {
            let decoded = postcard::from_bytes(&bytes);
            decoded.map_err(|error| log::warn!("stream: {id} can't be read: {error}")).ok()
        }
        Ok(reply) => {
            log::debug!("stream: {} does not know {id}: {reply:?}", member.node);
            None
        }
        Err(error) => {
            log::debug!("stream: {} did not answer for {id}: {error}", member.node);
            None
        }
    }
}

/// Lists who may know a stream: its owner first, then the peers that the owner would choose.
fn candidates(node: &Node, id: &str) -> Vec<Member> {
    let owner = owner(id).unwrap_or_default();
    let mut members = node.members();
    let domain = members.iter().find(|member| *member.node == *owner);
    let domain = domain.map(|member| member.failure_domain.clone());
    members.retain(|member| member.node != node.settings.node && member.status != Status::Dead);
    members.sort_by_cached_key(|member| {
        let same_domain = Some(&member.failure_domain) == domain.as_ref();
        (*member.node != *owner, same_domain, rank(id, &member.node))
    });
    members.truncate(1 + PEERS_ASKED);
    members
}

/// Ranks nodes for a stream by rendezvous hash; the lowest rank comes first.
pub fn rank(id: &str, node: &str) -> Reverse<u64> {
    Reverse(xxh3::xxh3_64_with_seed(node.as_bytes(), xxh3::xxh3_64(id.as_bytes())))
}
