//! Stops a daemon without cutting requests: hands its streams to other entry VMs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Node;
use crate::membership::{Member, Status};
use crate::peer::{Reply, Request};
use crate::stream::{self, Entry};
use crate::timeline::Subject;

/// Time kept for the final hand-over before the VM is gone.
const HAND_OVER_TIME: Duration = Duration::from_secs(2);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);
/// Peers tried for one stream.
const PEERS_TRIED: usize = 4;
const POLL: Duration = Duration::from_millis(20);

impl Node {
    /// Begins a planned stop that must be complete within the given time.
    pub fn reclaim_in(&self, left: Duration) {
        let end = Instant::now() + left;
        self.stop_by.send_if_modified(|known| {
            let sooner = known.is_none_or(|known| end < known);
            if sooner {
                *known = Some(end);
            }
            sooner
        });
    }
}

/// Waits until the streams in flight have ended, or hands them over before `end`.
///
/// Copies go out at once, so that the streams survive even if the process dies early.
pub async fn run(node: &Arc<Node>, end: Instant) {
    copy_all(node).await;
    let hand_over = end.checked_sub(HAND_OVER_TIME).unwrap_or(end);
    while !node.journal.unfinished().is_empty() && Instant::now() < hand_over {
        tokio::time::sleep(POLL).await;
    }
    let left = node.journal.unfinished();
    if left.is_empty() {
        return;
    }
    log::info!("drain: handing over {} streams", left.len());
    let handed = left.iter().map(|entry| hand_over_one(node, entry));
    futures_util::future::join_all(handed).await;
}

async fn copy_all(node: &Arc<Node>) {
    let entries = node.journal.unfinished();
    let copies = entries.iter().map(|entry| async {
        let snapshot = stream::remote::snapshot(entry);
        send(node, entry, Request::Copy(snapshot)).await
    });
    futures_util::future::join_all(copies).await;
}

async fn hand_over_one(node: &Arc<Node>, entry: &Arc<Entry>) {
    // The pump stops first, so that no token follows the snapshot.
    entry.detach();
    let snapshot = stream::remote::snapshot(entry);
    let id = &entry.request.id;
    let subject = Subject { request: Some(id.clone()), ..Subject::default() };
    match send(node, entry, Request::HandOver(snapshot)).await {
        Some(peer) => {
            node.metrics.handed_over.inc();
            let text = format!("stream handed over to {peer} at offset {}", entry.offset());
            node.record("drain", subject, text);
        }
        None => {
            log::error!("drain: stream {id} could not be handed over");
            node.record("drain", subject, "stream could not be handed over".to_owned());
        }
    }
}

/// Sends to the first peer that takes the stream and gives its name.
async fn send(node: &Node, entry: &Entry, request: Request) -> Option<Arc<str>> {
    let network = node.network.get()?;
    for member in holders(node, &entry.request.id).into_iter().take(PEERS_TRIED) {
        match network.request(member.address, request.clone(), REQUEST_TIMEOUT).await {
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
