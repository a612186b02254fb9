//! Starts the network between daemons and serves the requests of other daemons.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;

use super::{moves, vms};
use crate::membership::Status;
use crate::node::Node;
use crate::peer::{self, Reply, Request};
use crate::{revision, rollout, stream};

/// Reason for refusing a request that this node doesn't serve.
const REFUSAL: &str = "this node does not support the request";

/// Starts the peer network and the task that keeps the configuration up to date.
///
/// # Errors
///
/// Returns an error if the peer address can't be bound.
pub async fn start(node: &Arc<Node>) -> std::io::Result<()> {
    let mut config = peer::Config::from_settings(&node.settings);
    config.incarnation = node.incarnation;
    let weak = Arc::downgrade(node);
    let handler: peer::Handler = Arc::new(move |request| match weak.upgrade() {
        Some(node) => handle_request(node, request),
        None => Box::pin(async { Reply::Refused(REFUSAL.into()) }),
    });
    let weak = Arc::downgrade(node);
    let bad_versions: peer::BadVersionsHandler = Arc::new(move |bad_versions| {
        if let Some(node) = weak.upgrade() {
            node.add_marks(bad_versions, "a peer");
        }
    });
    let network =
        peer::Network::start(config, node.revision.clone(), handler, bad_versions).await?;
    let network = Arc::new(network);
    if node.network.set(network.clone()).is_err() {
        return Err(std::io::Error::other("the network is already running"));
    }
    let (state, client) = (node.revision.clone(), node.client.clone());
    let period = node.settings.timing.config_poll;
    tokio::spawn(revision::run(state, client, network, period, node.incarnation));
    Ok(())
}

fn handle_request(node: Arc<Node>, request: Request) -> BoxFuture<'static, Reply> {
    Box::pin(async move {
        match request {
            Request::FetchStream { id, offset } => stream::remote::serve(&node, &id, offset).await,
            Request::HandOver(bytes) => stream::remote::receive(&node, &bytes, true),
            Request::CopyStream(bytes) => stream::remote::receive(&node, &bytes, false),
            Request::ReportEvidence(bytes) => receive_evidence(&node, &bytes),
            Request::PullVms => vms::list_reply(&node),
            Request::PullConfig { .. } | Request::SyncMembers(_) => Reply::Refused(REFUSAL.into()),
        }
    })
}

fn receive_evidence(node: &Node, bytes: &[u8]) -> Reply {
    match postcard::from_bytes::<Vec<rollout::Report>>(bytes) {
        Ok(reports) => {
            moves::accept_reports(node, reports);
            Reply::Done
        }
        Err(error) => Reply::Refused(format!("cannot decode the reports: {error}").into()),
    }
}

/// Updates the metrics of the network, the members and the configuration every second, and removes
/// streams from the journal that ended longer ago than `FINISHED_STREAM_RETENTION`.
pub async fn update_metrics(node: Arc<Node>) {
    const PERIOD: Duration = Duration::from_secs(1);
    loop {
        tokio::time::sleep(PERIOD).await;
        let Some(network) = node.network.get() else { continue };
        use peer::Counter as C;
        let counters = network.counters();
        let sum = |names: &[C]| {
            let total: u64 = names.iter().map(|&name| counters.get(name)).sum();
            i64::try_from(total).unwrap_or(i64::MAX)
        };
        let metrics = &node.metrics;
        metrics.peer_bytes_sent.set(sum(&[C::DatagramBytesSent, C::StreamBytesSent]));
        metrics.peer_bytes_received.set(sum(&[C::DatagramBytesReceived, C::StreamBytesReceived]));
        let dropped: u64 =
            crate::wire::Error::ALL.iter().map(|&cause| counters.dropped(cause)).sum();
        metrics.peer_frames_dropped.set(i64::try_from(dropped).unwrap_or(i64::MAX));
        let alive = node.members().iter().filter(|member| member.status == Status::Alive).count();
        metrics.members_alive.set(i64::try_from(alive).unwrap_or(i64::MAX));
        let revision = node.revision.current().revision;
        metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        node.journal.remove_expired(Instant::now(), super::FINISHED_STREAM_RETENTION);
    }
}
