//! Streams that another node accepted: following their primary, and taking them over from it.
//!
//! A node on which a caller resumes becomes a follower of the stream. If the stream has no primary
//! any more, the follower takes it over at its own offset, so that the caller receives every token
//! exactly once.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use super::{Entry, Finish, Request, accepting_node};
use crate::caller::{draft, pump};
use crate::error::{Error, Kind, Result};
use crate::membership::{Member, Status};
use crate::node::Node;
use crate::peer::{self, Reply};
use crate::stream::drain;
use crate::timeline::Subject;

/// Longest time for which the primary holds a fetch open while there are no new tokens.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(300);
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);
/// Searches that find no primary before a follower takes the stream over. The pauses between them
/// last longer than a hand-over, during which a stream has no primary.
const SEARCHES_BEFORE_TAKE_OVER: u32 = 3;
const SEARCH_PAUSE: Duration = Duration::from_millis(100);
/// Peers asked for a stream concurrently, besides the node that accepted it.
const PEERS_ASKED: usize = 3;
/// Offset in a fetch that requests the status of a stream without its tokens.
const STATE_ONLY: u64 = u64::MAX;
/// Number of groups of peers asked in turn. A stream that was handed over more than once can be at
/// a node that the accepting node would not have chosen first.
const MAX_GROUPS: usize = 4;

/// A stream as one node sends it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub request: Request,
    /// Offset of the first token in `tokens`.
    pub offset: u64,
    pub tokens: Vec<Arc<str>>,
    pub finish: Option<Finish>,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Whether the sender is the primary of the stream.
    pub is_primary: bool,
    /// Whether the sender has handed the stream over.
    pub moved: bool,
}

/// Encodes a stream with all its tokens.
pub fn encode_snapshot(entry: &Entry) -> Vec<u8> {
    postcard::to_allocvec(&take_snapshot(entry, 0)).unwrap_or_default()
}

fn take_snapshot(entry: &Entry, offset: u64) -> Snapshot {
    let part = entry.peek(offset);
    let mut request = entry.request.clone();
    let remaining = entry.deadline().saturating_duration_since(Instant::now());
    request.deadline_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    Snapshot {
        remaining_ms: request.deadline_ms,
        is_primary: entry.is_primary(),
        moved: part.moved,
        tokens: part.tokens,
        finish: part.finish,
        request,
        offset,
    }
}

/// Receives a stream from another node, either as a hand-over, which makes this node the primary at
/// once, or as a copy.
pub fn receive(node: &Arc<Node>, bytes: &[u8], is_hand_over: bool) -> Reply {
    let Ok(snapshot) = postcard::from_bytes::<Snapshot>(bytes) else {
        return Reply::Refused("the stream can't be decoded".into());
    };
    if node.is_stopping() {
        return Reply::Refused("this node is stopping too".into());
    }
    let id = snapshot.request.id.clone();
    let entry = match node.journal.get(&id) {
        Some(entry) => entry,
        None if !is_hand_over && !node.journal.has_room_for_copy() => {
            return Reply::Refused("the journal has no space for copies".into());
        }
        None => match node.journal.open(snapshot.request, Vec::new()) {
            Some(entry) => entry,
            None => return Reply::Refused("the journal is full".into()),
        },
    };
    let ended = snapshot.finish.is_some();
    entry.merge(snapshot.offset, snapshot.tokens, snapshot.finish);
    if is_hand_over && !ended {
        let node = node.clone();
        tokio::spawn(async move { take_over(&node, &entry).await });
    }
    Reply::Done
}

/// Makes this node the primary of a stream and resumes it at the offset stored here; returns false
/// if another node has taken it over.
pub async fn take_over(node: &Arc<Node>, entry: &Arc<Entry>) -> bool {
    let id = &entry.request.id;
    if entry.request.draft && !draft::claim(node, entry).await {
        log::info!("stream: draft {id} is claimed by another node");
        return false;
    }
    if !entry.become_primary() {
        return entry.is_primary() || entry.finish().is_some();
    }
    let (offset, missing) = (entry.offset(), entry.missing_tokens());
    log::info!("stream: {id} taken over at offset {offset}");
    node.metrics.recomputed_tokens.inc_by(missing);
    let subject = Subject { request: Some(id.clone()), ..Subject::default() };
    node.record("stream", subject, format!("stream taken over at offset {offset}"));
    tokio::spawn(pump::run(node.clone(), entry.clone()));
    // This node may have stored the only copy. Unless a peer receives a new one, the stream is lost
    // if this node dies as well.
    let (node, entry) = (node.clone(), entry.clone());
    tokio::spawn(async move { drain::place_copy(&node, &entry).await });
    true
}

/// Responds to a fetch of another node; the primary waits up to `LONG_POLL_TIMEOUT` for new tokens.
pub async fn serve(node: &Node, id: &str, offset: u64) -> Reply {
    let Some(entry) = node.journal.get(id) else {
        return Reply::Refused("this node does not know the stream".into());
    };
    if entry.is_primary() && offset != STATE_ONLY {
        let _reader = entry.reader(offset);
        let _ = tokio::time::timeout(LONG_POLL_TIMEOUT, entry.read(offset)).await;
    }
    match postcard::to_allocvec(&take_snapshot(&entry, offset)) {
        Ok(bytes) => Reply::Payload(bytes),
        Err(error) => Reply::Refused(error.to_string().into()),
    }
}

/// Finds a stream for a caller that resumes it, and follows its primary if that is another node.
///
/// # Errors
///
/// Fails with `StreamGone` if neither this node nor any peer that was asked knows the stream.
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
    if entry.become_follower() {
        tokio::spawn(follow_primary(node.clone(), entry.clone()));
    }
    Ok(entry)
}

/// Fetches new tokens from the primary of a stream; takes the stream over if it has no primary.
async fn follow_primary(node: Arc<Node>, entry: Arc<Entry>) {
    let id = &entry.request.id;
    let mut primary: Option<Member> = None;
    let mut failures = 0;
    while entry.finish().is_none() && entry.is_follower() {
        let found = match primary.take() {
            Some(member) => fetch(&node, &member, id, entry.offset()).await,
            None => search(&node, id, entry.offset()).await,
        };
        if let Some((member, snapshot)) = found {
            entry.merge(snapshot.offset, snapshot.tokens, snapshot.finish);
            if snapshot.is_primary {
                primary = Some(member);
                failures = 0;
                continue;
            }
        }
        failures += 1;
        if failures < SEARCHES_BEFORE_TAKE_OVER {
            tokio::time::sleep(SEARCH_PAUSE).await;
        } else if node.is_stopping() {
            // This node can't take the stream over, so the caller must resume at another one.
            return entry.detach();
        } else if take_over(&node, &entry).await {
            return;
        } else {
            failures = 0;
            tokio::time::sleep(SEARCH_PAUSE).await;
        }
    }
}

/// Reads a stream that was handed over until it ends, for a caller that waits for the complete
/// response; returns `None` if the stream has not ended by the deadline.
pub async fn read_rest(
    node: &Arc<Node>,
    entry: &Entry,
    deadline: Instant,
) -> Option<(Vec<Arc<str>>, Finish)> {
    let mut tokens = entry.tokens();
    while Instant::now() < deadline {
        let offset = tokens.len() as u64;
        let found =
            tokio::time::timeout_at(deadline.into(), search(node, &entry.request.id, offset));
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

/// Asks groups of peers for a stream, the most likely ones first, until one knows it. Returns the
/// best reply of that group: an ended stream, or else the primary's, or else the longest copy.
pub async fn search(node: &Node, id: &str, offset: u64) -> Option<(Member, Snapshot)> {
    let members = candidates(node, id);
    for group in members.chunks(1 + PEERS_ASKED).take(MAX_GROUPS) {
        let asked = group.iter().map(|member| fetch(node, member, id, offset));
        let answers = futures_util::future::join_all(asked).await.into_iter().flatten();
        let best = answers.max_by_key(|(_, snapshot)| {
            (snapshot.finish.is_some(), snapshot.is_primary, snapshot.tokens.len())
        });
        if best.is_some() {
            return best;
        }
    }
    None
}

/// Reports whether a member stores a draft and has not handed it over; `None` if it doesn't reply.
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
                log::warn!("stream: the reply for {id} can't be decoded: {error}");
                None
            }
        },
        Ok(reply) => {
            log::debug!("stream: {} does not know {id}: {reply:?}", member.node);
            None
        }
        Err(error) => {
            log::debug!("stream: {} did not reply for {id}: {error}", member.node);
            None
        }
    }
}

/// Returns the peers that may know a stream: the node that accepted it first, then the others in
/// the order in which that node tries them for copies.
fn candidates(node: &Node, id: &str) -> Vec<Member> {
    let accepting_node = accepting_node(id).unwrap_or_default();
    let mut members = node.members();
    let domain = members.iter().find(|member| *member.node == *accepting_node);
    let domain = domain.map(|member| member.failure_domain.clone());
    members.retain(|member| member.node != node.settings.node && member.status != Status::Dead);
    members.sort_by_cached_key(|member| {
        let same_domain = Some(&member.failure_domain) == domain.as_ref();
        (*member.node != *accepting_node, same_domain, rank(id, &member.node))
    });
    members
}

/// Returns the rank of a node for a stream by rendezvous hashing; the lowest rank is preferred.
pub fn rank(id: &str, node: &str) -> Reverse<u64> {
    Reverse(xxh3::xxh3_64_with_seed(node.as_bytes(), xxh3::xxh3_64(id.as_bytes())))
}
