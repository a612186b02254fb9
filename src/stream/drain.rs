//! Stops a daemon without cutting requests: hands its streams to other entry VMs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures_util::StreamExt;

use crate::membership::{Member, Status};
use crate::node::Node;
use crate::peer::{Reply, Request};
use crate::stream::{self, Entry};
use crate::timeline::Subject;

/// Time kept for the final hand-over before the VM is gone.
const HAND_OVER_TIME: Duration = Duration::from_secs(2);
/// Time kept for the last steps of a stop: flushing events and releasing the lease.
pub const CLOSING_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a node that is about to stop still accepts connections, so that load balancers
/// see that it is unready before it refuses them.
const UNREADY_TIME: Duration = Duration::from_millis(500);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for one peer to take a copy: an answer begins only once a copy is held, so a silent peer is
/// given up sooner than in a hand-over.
const COPY_TIMEOUT: Duration = Duration::from_millis(200);
/// Peers tried for one stream.
const PEERS_TRIED: usize = 4;
/// Attempts to place a copy, over about six seconds: a node that has just started knows no peers
/// yet, and one whose peers have just died does not know that.
const COPY_ATTEMPTS: u32 = 6;
const COPY_PAUSE: Duration = Duration::from_millis(100);
/// Period in which a node looks for copies that were lost with a peer.
const COPY_CHECK: Duration = Duration::from_millis(500);
/// Streams sent to peers at a time; each needs a connection while it is sent.
const AT_A_TIME: usize = 32;
const POLL: Duration = Duration::from_millis(20);

impl Node {
    /// Begins a planned stop that must be complete within the given time, or shortens the time of
    /// one under way; tells whether it did either.
    pub fn reclaim_in(&self, left: Duration) -> bool {
        // Notices of the same reclaim differ by the time that the answer took.
        const NOISE: Duration = Duration::from_millis(250);
        let end = Instant::now() + left;
        self.stop_by.send_if_modified(|known| {
            let sooner = known.is_none_or(|known| end + NOISE < known);
            if sooner {
                *known = Some(end);
            }
            sooner
        })
    }

    /// Gives the time by which a planned stop must have let go of all requests. It can move to an
    /// earlier time while the node stops.
    pub fn release_by(&self) -> Instant {
        let end = self.stop_by.borrow().unwrap_or_else(|| Instant::now() + CLOSING_TIME);
        end.checked_sub(CLOSING_TIME).unwrap_or(end)
    }

    fn hand_over_at(&self) -> Instant {
        let end = self.release_by();
        end.checked_sub(HAND_OVER_TIME).unwrap_or(end)
    }
}

/// Waits until the requests in flight have ended, or it is time to hand them over.
///
/// Copies go out at once, so that the streams survive even if the process dies early.
pub async fn wait(node: &Arc<Node>) {
    let unready = Instant::now() + UNREADY_TIME;
    log::info!("drain: {} streams are in progress", node.journal.unfinished().len());
    copy_all(node).await;
    while Instant::now() < node.hand_over_at() {
        let idle = node.journal.unfinished().is_empty() && storing(node) == 0;
        if idle && Instant::now() >= unready {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Waits until a planned stop leaves no time to begin a request that has arrived.
pub async fn too_late(node: &Node) {
    let mut stopping = node.stopping.subscribe();
    if stopping.wait_for(|stopping| *stopping).await.is_err() {
        return;
    }
    while Instant::now() < node.hand_over_at() {
        tokio::time::sleep(POLL).await;
    }
}

/// Hands over what has not ended, until the given task, which serves the callers, has ended or the
/// time is up. Requests that had arrived before the stop can still turn into streams.
pub async fn release(node: &Arc<Node>, mut server: tokio::task::JoinHandle<()>) {
    while Instant::now() < node.release_by() {
        if Instant::now() >= node.hand_over_at() {
            hand_over(node).await;
        }
        if server.is_finished() {
            if node.journal.unfinished().is_empty() && storing(node) == 0 {
                return;
            }
            tokio::time::sleep(POLL).await;
        } else {
            let _ = tokio::time::timeout(POLL, &mut server).await;
        }
    }
    hand_over(node).await;
    log::warn!("drain: requests were still in flight at the shutdown limit");
}

fn storing(node: &Node) -> usize {
    node.storing.load(Ordering::Relaxed)
}

async fn hand_over(node: &Arc<Node>) {
    for entry in node.journal.mirrored() {
        // Another node carries the stream, so the caller only has to resume there.
        entry.detach();
    }
    let left = node.journal.unfinished();
    if left.is_empty() {
        return;
    }
    let began = Instant::now();
    let handed = left.iter().map(|entry| hand_over_one(node, entry));
    let done = futures_util::stream::iter(handed).buffer_unordered(AT_A_TIME);
    let done = done.filter(|&done| std::future::ready(done)).count().await;
    log::info!("drain: handed over {done} of {} streams in {:?}", left.len(), began.elapsed());
}

async fn copy_all(node: &Arc<Node>) {
    let entries = node.journal.unfinished();
    let copies = entries.iter().map(|entry| copy(node, entry));
    futures_util::stream::iter(copies).buffer_unordered(AT_A_TIME).count().await;
}

/// Sends a copy of a stream to a peer, outside the own failure domain if there is one.
pub async fn copy(node: &Arc<Node>, entry: &Entry) {
    let mut pause = COPY_PAUSE;
    for _ in 0..COPY_ATTEMPTS {
        if !entry.is_carried() || entry.finish().is_some() {
            return;
        }
        let snapshot = stream::remote::snapshot(entry);
        let sent = send(node, entry, Request::Copy(snapshot), COPY_TIMEOUT).await;
        let result = if sent.is_some() { "held" } else { "refused" };
        node.metrics.copies.with_label_values(&[result]).inc();
        if sent.is_some() {
            return entry.set_holder(sent);
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
    }
}

/// Copies streams again whose copy was at a peer that has died or is about to stop.
pub async fn keep_copies(node: Arc<Node>) {
    loop {
        tokio::time::sleep(COPY_CHECK).await;
        if node.is_stopping() {
            return;
        }
        let members = node.members();
        let is_lost = |entry: &Arc<Entry>| {
            let Some(holder) = entry.holder() else { return false };
            !members.iter().any(|one| one.node == holder && one.status == Status::Alive)
        };
        let mut lost = node.journal.unfinished();
        lost.retain(is_lost);
        if lost.is_empty() {
            continue;
        }
        log::info!("drain: {} streams have lost their copy", lost.len());
        let copies = lost.into_iter().map(|entry| {
            let node = node.clone();
            async move {
                entry.set_holder(None);
                copy(&node, &entry).await;
            }
        });
        futures_util::stream::iter(copies).buffer_unordered(AT_A_TIME).count().await;
    }
}

async fn hand_over_one(node: &Arc<Node>, entry: &Arc<Entry>) -> bool {
    // The pump stops first, so that no token follows the snapshot.
    entry.detach();
    let snapshot = stream::remote::snapshot(entry);
    let id = &entry.request.id;
    let subject = Subject { request: Some(id.clone()), ..Subject::default() };
    loop {
        if let Some(peer) =
            send(node, entry, Request::HandOver(snapshot.clone()), REQUEST_TIMEOUT).await
        {
            node.metrics.handed_over.inc();
            let text = format!("stream handed over to {peer} at offset {}", entry.offset());
            node.record("drain", subject, text);
            return true;
        }
        if Instant::now() >= node.release_by() {
            log::error!("drain: stream {id} could not be handed over");
            node.record("drain", subject, "stream could not be handed over".to_owned());
            return false;
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Sends to the first peer that takes the stream and gives its name.
async fn send(node: &Node, entry: &Entry, request: Request, timeout: Duration) -> Option<Arc<str>> {
    let network = node.network.get()?;
    for member in holders(node, &entry.request.id).into_iter().take(PEERS_TRIED) {
        match network.request(member.address, request.clone(), timeout).await {
            Ok(Reply::Done) => return Some(member.node),
            Ok(_) => log::debug!("drain: {} refused stream {}", member.node, entry.request.id),
            Err(error) => log::debug!("drain: {} did not answer: {error}", member.node),
        }
    }
    None
}

/// Orders the peers that may hold a stream; those outside the own failure domain come first, since
/// a reclaim can take a whole failure domain.
pub fn holders(node: &Node, id: &str) -> Vec<Member> {
    let mut members: Vec<Member> = node.members();
    members.retain(|member| member.status == Status::Alive && member.node != node.settings.node);
    members.sort_by_cached_key(|member| {
        let same_domain = member.failure_domain == node.settings.failure_domain;
        (same_domain, stream::remote::rank(id, &member.node))
    });
    members
}
