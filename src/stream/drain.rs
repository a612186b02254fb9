//! Stops a daemon without interrupting requests, by handing its streams over to other entry VMs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures_util::StreamExt;

use crate::membership::{Member, Status};
use crate::node::Node;
use crate::peer::{Reply, Request};
use crate::stream::{self, Entry};
use crate::timeline::Subject;

/// Time reserved for the hand-over of streams at the end of a planned stop.
const HAND_OVER_RESERVE: Duration = Duration::from_secs(2);
/// Time reserved for the last steps of a stop: flushing events and releasing the lease.
pub const CLEANUP_TIME: Duration = Duration::from_millis(1_500);
/// Shortest time for which a stopping node still accepts connections, so that load balancers see
/// that it is unready before it refuses them.
const MIN_UNREADY_TIME: Duration = Duration::from_millis(500);
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for sending a copy to one peer. It is shorter than that of a hand-over, because a
/// response to the caller starts only once a peer stores a copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of peers tried for one stream before the next attempt.
const MAX_PEERS_TRIED: usize = 4;
/// Attempts to place a copy, over about six seconds. A node that has just started knows no peers
/// yet, and a node whose peers have just died has not detected that yet.
const COPY_ATTEMPTS: u32 = 6;
const FIRST_COPY_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which a node looks for copies that were lost with a peer.
const COPY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of streams sent to peers concurrently; each uses a connection while it is sent.
const MAX_CONCURRENT_SENDS: usize = 32;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Node {
    /// Starts a planned stop that must be complete within `time_left`, or moves the deadline of a
    /// stop in progress to an earlier time; returns whether it did either.
    pub fn schedule_stop(&self, time_left: Duration) -> bool {
        // Repeated notices of one reclaim differ by the time that each response took.
        const JITTER: Duration = Duration::from_millis(250);
        let end = Instant::now() + time_left;
        self.stop_deadline.send_if_modified(|current| {
            let is_earlier = current.is_none_or(|current| end + JITTER < current);
            if is_earlier {
                *current = Some(end);
            }
            is_earlier
        })
    }

    /// Returns the deadline by which a planned stop must have finished or handed over all requests.
    /// It can move to an earlier time while the node stops.
    pub fn drain_deadline(&self) -> Instant {
        let end = self.stop_deadline.borrow().unwrap_or_else(|| Instant::now() + CLEANUP_TIME);
        end.checked_sub(CLEANUP_TIME).unwrap_or(end)
    }

    fn hand_over_start(&self) -> Instant {
        let end = self.drain_deadline();
        end.checked_sub(HAND_OVER_RESERVE).unwrap_or(end)
    }
}

/// Waits until the requests in flight have ended or the hand-over must start.
///
/// Copies of the streams are sent to peers first, so that they survive if the process dies early.
pub async fn wait_for_idle(node: &Arc<Node>) {
    let unready_until = Instant::now() + MIN_UNREADY_TIME;
    log::info!("drain: {} streams are in progress", node.journal.unfinished().len());
    place_all_copies(node).await;
    while Instant::now() < node.hand_over_start() {
        let idle = node.journal.unfinished().is_empty() && stores_in_progress(node) == 0;
        if idle && Instant::now() >= unready_until {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the hand-over of a planned stop must start, so that a request which still waits for
/// admission can no longer be accepted.
pub async fn wait_for_hand_over(node: &Node) {
    let mut stopping = node.stopping.subscribe();
    if stopping.wait_for(|stopping| *stopping).await.is_err() {
        return;
    }
    while Instant::now() < node.hand_over_start() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Hands over unfinished streams until the given server task and all streams have ended, or until
/// the deadline. Requests that arrived before the stop can still become streams during this time.
pub async fn hand_over_remaining(node: &Arc<Node>, mut server: tokio::task::JoinHandle<()>) {
    while Instant::now() < node.drain_deadline() {
        if Instant::now() >= node.hand_over_start() {
            hand_over(node).await;
        }
        if server.is_finished() {
            if node.journal.unfinished().is_empty() && stores_in_progress(node) == 0 {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        } else {
            let _ = tokio::time::timeout(POLL_INTERVAL, &mut server).await;
        }
    }
    hand_over(node).await;
    log::warn!("drain: requests were still in flight at the shutdown deadline");
}

fn stores_in_progress(node: &Node) -> usize {
    node.pending_drafts.load(Ordering::Relaxed)
}

async fn hand_over(node: &Arc<Node>) {
    for entry in node.journal.followed() {
        // Another node is the primary of the stream, so the caller only has to resume there.
        entry.detach();
    }
    let remaining = node.journal.unfinished();
    if remaining.is_empty() {
        return;
    }
    let start = Instant::now();
    let handed = remaining.iter().map(|entry| hand_over_stream(node, entry));
    let done = futures_util::stream::iter(handed).buffer_unordered(MAX_CONCURRENT_SENDS);
    let done = done.filter(|&done| std::future::ready(done)).count().await;
    log::info!("drain: handed over {done} of {} streams in {:?}", remaining.len(), start.elapsed());
}

async fn place_all_copies(node: &Arc<Node>) {
    let entries = node.journal.unfinished();
    let copies = entries.iter().map(|entry| place_copy(node, entry));
    futures_util::stream::iter(copies).buffer_unordered(MAX_CONCURRENT_SENDS).count().await;
}

/// Sends a copy of a stream to a peer, preferably one outside this node's failure domain.
pub async fn place_copy(node: &Arc<Node>, entry: &Entry) {
    let mut pause = FIRST_COPY_PAUSE;
    for _ in 0..COPY_ATTEMPTS {
        if !entry.is_primary() || entry.finish().is_some() {
            return;
        }
        let snapshot = stream::remote::encode_snapshot(entry);
        let sent = send(node, entry, Request::CopyStream(snapshot), COPY_TIMEOUT).await;
        let result = if sent.is_some() { "held" } else { "refused" };
        node.metrics.copies.with_label_values(&[result]).inc();
        if sent.is_some() {
            return entry.set_copy_holder(sent);
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
    }
}

/// Places new copies of streams whose copy was at a peer that has died or is about to stop.
pub async fn restore_copies(node: Arc<Node>) {
    loop {
        tokio::time::sleep(COPY_CHECK_INTERVAL).await;
        if node.is_stopping() {
            return;
        }
        let members = node.members();
        let has_lost_copy = |entry: &Arc<Entry>| {
            let Some(holder) = entry.copy_holder() else { return false };
            !members.iter().any(|one| one.node == holder && one.status == Status::Alive)
        };
        let mut lost = node.journal.unfinished();
        lost.retain(has_lost_copy);
        if lost.is_empty() {
            continue;
        }
        log::info!("drain: {} streams lost the copy at a peer; placing new copies", lost.len());
        let copies = lost.into_iter().map(|entry| {
            let node = node.clone();
            async move {
                entry.set_copy_holder(None);
                place_copy(&node, &entry).await;
            }
        });
        futures_util::stream::iter(copies).buffer_unordered(MAX_CONCURRENT_SENDS).count().await;
    }
}

async fn hand_over_stream(node: &Arc<Node>, entry: &Arc<Entry>) -> bool {
    // Detaching first ensures that no token is appended after the snapshot.
    entry.detach();
    let snapshot = stream::remote::encode_snapshot(entry);
    let id = &entry.request.id;
    let subject = Subject { request: Some(id.clone()), ..Subject::default() };
    loop {
        if let Some(peer) =
            send(node, entry, Request::HandOver(snapshot.clone()), HAND_OVER_TIMEOUT).await
        {
            node.metrics.handed_over.inc();
            let text = format!("stream handed over to {peer} at offset {}", entry.offset());
            node.record("drain", subject, text);
            return true;
        }
        if Instant::now() >= node.drain_deadline() {
            log::error!("drain: stream {id} could not be handed over");
            node.record("drain", subject, "stream could not be handed over".to_owned());
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a request to the candidates for a stream in order; returns the name of the first peer that
/// accepts it.
async fn send(node: &Node, entry: &Entry, request: Request, timeout: Duration) -> Option<Arc<str>> {
    let network = node.network.get()?;
    for member in copy_candidates(node, &entry.request.id).into_iter().take(MAX_PEERS_TRIED) {
        match network.request(member.address, request.clone(), timeout).await {
            Ok(Reply::Done) => return Some(member.node),
            Ok(_) => log::debug!("drain: {} refused stream {}", member.node, entry.request.id),
            Err(error) => log::debug!("drain: {} did not answer: {error}", member.node),
        }
    }
    None
}

/// Returns the peers that may store a copy of a stream, in order of preference. Those outside this
/// node's failure domain come first, because a reclaim can affect a whole failure domain.
pub fn copy_candidates(node: &Node, id: &str) -> Vec<Member> {
    let mut members: Vec<Member> = node.members();
    members.retain(|member| member.status == Status::Alive && member.node != node.settings.node);
    members.sort_by_cached_key(|member| {
        let same_domain = member.failure_domain == node.settings.failure_domain;
        (same_domain, stream::remote::rank(id, &member.node))
    });
    members
}
