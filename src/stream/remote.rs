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
use crate::caller::{draft, pump};
use crate::error::{Error, Kind, Result};
use crate::membership::{Member, Status};
use crate::node::Node;
use crate::peer::{self, Reply};
use crate::stream::drain;
use crate::timeline::Subject;

/// Time for which a node holds a fetch open while there is nothing new.
const LONG_POLL: Duration = Duration::from_millis(300);
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);
/// Searches without a carrier before a mirror carries the stream on. The pauses between them are
/// longer than a hand-over takes, during which no node carries the stream.
const SEARCHES: u32 = 3;
const SEARCH_PAUSE: Duration = Duration::from_millis(100);
/// Peers asked for a stream at once, besides its owner.
const PEERS_ASKED: usize = 3;
/// Offset in a fetch that asks for the state of a stream without its tokens.
const STATE_ONLY: u64 = u64::MAX;
/// Groups of peers asked one after the other. A stream that was handed over more than once can be
/// at a node that its owner would not have chosen first.
const GROUPS: usize = 4;

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
    /// Tells whether the sender has handed the stream over.
    pub moved: bool,
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
        moved: part.moved,
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
    if node.is_stopping() {
        return Reply::Refused("this node is stopping too".into());
    }
    let id = snapshot.request.id.clone();
    let entry = match node.journal.get(&id) {
        Some(entry) => entry,
        None if !carry && !node.journal.has_room_for_copy() => {
            return Reply::Refused("the journal has no room for copies".into());
        }
        None => match node.journal.open(snapshot.request, Vec::new()) {
            Some(entry) => entry,
            None => return Reply::Refused("the journal is full".into()),
        },
    };
    let ended = snapshot.finish.is_some();
    entry.merge(snapshot.offset, snapshot.tokens, snapshot.finish);
    if carry && !ended {
        let node = node.clone();
        tokio::spawn(async move { take_over(&node, &entry).await });
    }
    Reply::Done
}

/// Carries a stream on from the offset that this node holds; gives false when another node has
/// taken it over.
pub async fn take_over(node: &Arc<Node>, entry: &Arc<Entry>) -> bool {
    let id = &entry.request.id;
    if entry.request.draft && !draft::claim(node, entry).await {
        log::info!("stream: draft {id} is carried by another node");
        return false;
    }
    if !entry.start_carrying() {
        return entry.is_carried() || entry.finish().is_some();
    }
    let (offset, missing) = (entry.offset(), entry.missing());
    log::info!("stream: {id} taken over at offset {offset}");
    node.metrics.recomputed_tokens.inc_by(missing);
    let subject = Subject { request: Some(id.clone()), ..Subject::default() };
    node.record("stream", subject, format!("stream taken over at offset {offset}"));
    tokio::spawn(pump::carry(node.clone(), entry.clone()));
    // The node that held the copy may now be the one that carries the stream, so that it would die
    // with the next node.
    let (node, entry) = (node.clone(), entry.clone());
    tokio::spawn(async move { drain::copy(&node, &entry).await });
    true
}

/// Answers a fetch of another node; waits a bounded time for something new.
pub async fn serve(node: &Node, id: &str, offset: u64) -> Reply {
    let Some(entry) = node.journal.get(id) else {
        return Reply::Refused("the stream is not known here".into());
    };
    if entry.is_carried() && offset != STATE_ONLY {
        let _reader = entry.reader(offset);
        let _ = tokio::time::timeout(LONG_POLL, entry.read(offset)).await;
    }
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
    if node.journal.get(id).is_none()
        && let Some((_, snapshot)) = search(node, id, 0).await
        && let Some(entry) = node.journal.open(snapshot.request.clone(), Vec::new())
    {
        entry.merge(0, snapshot.tokens, snapshot.finish);
    }
    let Some(entry) = node.journal.get(id) else {
        return Err(Error::new(Kind::StreamGone, "the stream is not known any more"));
    };
    if entry.start_mirroring() {
        tokio::spawn(mirror(node.clone(), entry.clone()));
    }
    Ok(entry)
}

/// Follows the node that carries a stream; carries it on when there is none.
async fn mirror(node: Arc<Node>, entry: Arc<Entry>) {
    let id = &entry.request.id;
    let mut carrier: Option<Member> = None;
    let mut failures = 0;
    while entry.finish().is_none() && entry.is_mirrored() {
        let found = match carrier.take() {
            Some(member) => fetch(&node, &member, id, entry.offset()).await,
            None => search(&node, id, entry.offset()).await,
        };
        if let Some((member, snapshot)) = found {
            entry.merge(snapshot.offset, snapshot.tokens, snapshot.finish);
            if snapshot.carried {
                carrier = Some(member);
                failures = 0;
                continue;
            }
        }
        failures += 1;
        if failures < SEARCHES {
            tokio::time::sleep(SEARCH_PAUSE).await;
        } else if node.is_stopping() {
            // The caller resumes at a node that stays.
            return entry.detach();
        } else if take_over(&node, &entry).await {
            return;
        } else {
            failures = 0;
            tokio::time::sleep(SEARCH_PAUSE).await;
        }
    }
}

/// Reads a stream that was handed over to its end, for a caller that waits for the whole answer;
/// gives `None` when that takes longer than until `end`.
pub async fn follow(
    node: &Arc<Node>,
    entry: &Entry,
    end: Instant,
) -> Option<(Vec<Arc<str>>, Finish)> {
    let mut tokens = entry.tokens();
    while Instant::now() < end {
        let offset = tokens.len() as u64;
        let found = tokio::time::timeout_at(end.into(), search(node, &entry.request.id, offset));
        if let Some((_, snapshot)) = found.await.ok()? {
            tokens.extend(snapshot.tokens);
            if let Some(finish) = snapshot.finish {
                return Some((tokens, finish));
            }
        }
        tokio::time::sleep(SEARCH_PAUSE).await;
    }
    None
}

/// Asks the nodes that most likely know a stream, then some more, and gives the best answer: an
/// ended stream, or else one that is carried, or else the longest copy.
pub async fn search(node: &Node, id: &str, offset: u64) -> Option<(Member, Snapshot)> {
    let members = candidates(node, id);
    for group in members.chunks(1 + PEERS_ASKED).take(GROUPS) {
        let asked = group.iter().map(|member| fetch(node, member, id, offset));
        let answers = futures_util::future::join_all(asked).await.into_iter().flatten();
        let best = answers.max_by_key(|(_, snapshot)| {
            (snapshot.finish.is_some(), snapshot.carried, snapshot.tokens.len())
        });
        if best.is_some() {
            return best;
        }
    }
    None
}

/// Tells whether a member holds a draft and has not handed it over; `None` when it doesn't answer.
pub async fn is_held_at(node: &Node, member: &Member, id: &str) -> Option<bool> {
    let request = peer::Request::FetchStream { id: id.into(), offset: STATE_ONLY };
    let network = node.network.get()?;
    match network.request(member.address, request, FETCH_TIMEOUT).await {
        Ok(Reply::Payload(bytes)) => {
            let snapshot: Snapshot = postcard::from_bytes(&bytes).ok()?;
            Some(!snapshot.moved)
        }
        Ok(_) => Some(false),
        Err(_) => None,
    }
}

async fn fetch(node: &Node, member: &Member, id: &str, offset: u64) -> Option<(Member, Snapshot)> {
    let request = peer::Request::FetchStream { id: id.into(), offset };
    let network = node.network.get()?;
    match network.request(member.address, request, FETCH_TIMEOUT).await {
        Ok(Reply::Payload(bytes)) => match postcard::from_bytes(&bytes) {
            Ok(snapshot) => Some((member.clone(), snapshot)),
            Err(error) => {
                log::warn!("stream: {id} can't be read: {error}");
                None
            }
        },
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

/// Orders who may know a stream: its owner first, then the peers that the owner would choose.
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
    members
}

/// Ranks nodes for a stream by rendezvous hash; the lowest rank comes first.
pub fn rank(id: &str, node: &str) -> Reverse<u64> {
    Reverse(xxh3::xxh3_64_with_seed(node.as_bytes(), xxh3::xxh3_64(id.as_bytes())))
}
