//! Daemon of an entry VM: starts its servers and background tasks and shuts them down in order.

pub mod capacity;

mod moves;

mod peers;
mod vms;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::caller::draft;
use crate::config::Settings;
use crate::intake::connections;
use crate::node::Node;
use crate::stream::drain;
use crate::util::serve;
use crate::{caller, claim, lease, operator, timeline};

/// Time for which a finished stream stays readable.
const FINISHED_STREAM_RETENTION: Duration = Duration::from_secs(60);
/// Most connections of operators, probes and metrics; views of the time line hold theirs for long.
const OPERATOR_CONNECTIONS: usize = 64;
/// Interval between writes of time line events to the object store.
const TIMELINE_FLUSH_PERIOD: Duration = Duration::from_secs(2);

/// Runs the daemon until a signal or the reclaim of its VM stops it.
///
/// # Errors
///
/// Returns an error if an address can't be bound, a signal handler can't be installed, or a second
/// signal interrupts the shutdown.
pub async fn run(settings: Settings) -> std::io::Result<()> {
    let callers = bind("callers", settings.callers).await?;
    let operators = bind("operators", settings.operators).await?;
    let mut signals = Signals::new()?;
    let node = Arc::new(Node::new(settings));
    peers::start(&node).await?;
    let (close, closed) = watch::channel(false);
    let (flush_end_sender, flush_end) = watch::channel(false);
    let flush = tokio::spawn(flush_events(node.clone(), flush_end));
    let keeper = moves::new_keeper(&node);
    let moves = tokio::spawn(moves::run(node.clone(), keeper.clone()));
    let capacity = node.settings.capacity.enabled;
    let capacity = capacity.then(|| tokio::spawn(capacity::run(node.clone())));
    tokio::spawn(vms::poll(node.clone()));
    tokio::spawn(draft::watch_members(node.clone()));
    tokio::spawn(drain::restore_copies(node.clone()));
    tokio::spawn(peers::update_metrics(node.clone()));
    let bounds = serve::Bounds {
        header_bytes: node.settings.limits.header_bytes,
        header_timeout: node.settings.limits.read_timeout,
    };
    let routes = operator::router(operator_state(&node, keeper));
    let table = connections::Table::new(OPERATOR_CONNECTIONS);
    tokio::spawn(serve::serve(operators, routes, bounds, table, closed.clone()));
    let table = node.connections.clone();
    let server = serve::serve(callers, caller::router(node.clone()), bounds, table, closed);
    let server = tokio::spawn(server);
    log::info!("daemon: node {} serves callers on {}", node.settings.node, node.settings.callers);
    node.record("daemon", timeline::Subject::default(), "started".to_owned());

    wait_for_stop(&node, &mut signals).await;
    log::info!("daemon: stopping");
    let is_drained = tokio::select! {
        () = stop(&node, close, server) => true,
        () = signals.next() => false,
    };
    if !is_drained {
        let detail = "a second signal interrupted the shutdown while requests were in flight";
        return Err(std::io::Error::other(detail));
    }
    flush_end_sender.send_replace(true);
    let capacity = futures_util::future::OptionFuture::from(capacity);
    let tasks = futures_util::future::join3(flush, moves, capacity);
    let _ = tokio::time::timeout(drain::CLEANUP_TIME, tasks).await;
    log::info!("daemon: stopped");
    Ok(())
}

/// Receives SIGTERM and SIGINT, which stop the daemon.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Signals> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(Signals { terminate, interrupt: signal(SignalKind::interrupt())? })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a stop signal or the reclaim of this VM; `stop_deadline` of the node is set on return.
async fn wait_for_stop(node: &Node, signals: &mut Signals) {
    let mut stop_deadline = node.stop_deadline.subscribe();
    tokio::select! {
        () = signals.next() => {
            node.schedule_stop(node.settings.timing.shutdown);
        }
        _ = stop_deadline.wait_for(Option::is_some) => {}
    }
}

/// Makes the node unready, drains or hands over its requests, and closes the listeners.
async fn stop(node: &Arc<Node>, close: watch::Sender<bool>, server: tokio::task::JoinHandle<()>) {
    node.stopping.send_replace(true);
    node.record("daemon", timeline::Subject::default(), "stopping".to_owned());
    if let Some(network) = node.network.get() {
        network.announce_leaving().await;
    }
    drain::wait_for_idle(node).await;
    close.send_replace(true);
    // Plain requests and streams that are still being written need their connections.
    drain::hand_over_remaining(node, server).await;
    node.timeline.close(claim::attempt::unix_ms());
}

async fn flush_events(node: Arc<Node>, mut end: watch::Receiver<bool>) {
    let stop = async move {
        let _ = end.wait_for(|is_ended| *is_ended).await;
    };
    timeline::flush_periodically(
        node.timeline.clone(),
        node.client.clone(),
        TIMELINE_FLUSH_PERIOD,
        stop,
    )
    .await;
}

async fn bind(field: &str, address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        std::io::Error::new(error.kind(), format!("cannot bind {field} address {address}: {error}"))
    })
}

fn operator_state(node: &Arc<Node>, keeper: Arc<lease::Keeper>) -> operator::State {
    let (admitting, members, metrics) = (node.clone(), node.clone(), node.clone());
    let revision = node.revision.clone();
    operator::State {
        node: node.settings.node.clone(),
        failure_domain: node.settings.failure_domain.clone(),
        tokens: node.settings.operator_tokens.as_slice().into(),
        client: node.client.clone(),
        revision: node.revision.clone(),
        timeline: node.timeline.clone(),
        now_ms: Arc::new(claim::attempt::unix_ms),
        unready: Arc::new(move || caller::check_ready(&admitting).err().map(|error| error.detail)),
        members: Arc::new(move || members_json(&members)),
        leases: Arc::new(move || moves::lease_json(&keeper)),
        metrics: Arc::new(move || metrics.metrics.render()),
        on_commit: Arc::new(move |committed| revision.request_revision(committed)),
    }
}

fn members_json(node: &Node) -> serde_json::Value {
    let members = node.members().into_iter().map(|member| {
        json!({
            "node": member.node,
            "address": member.address,
            "region": member.region,
            "failure_domain": member.failure_domain,
            "status": member.status.as_str(),
        })
    });
    members.collect()
}
