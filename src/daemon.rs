//! The daemon: starts the parts of an entry VM, runs their loops and stops them in order.

mod drain;
mod moves;
pub mod node;
mod peers;
mod vms;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::config::Settings;
use crate::util::serve;
use crate::{caller, claim, lease, operator, timeline};

pub use node::Node;

/// Time for which a finished stream can still be read.
const FINISHED_KEEP: Duration = Duration::from_secs(60);
/// Period in which events are written to the object store.
const TIMELINE_PERIOD: Duration = Duration::from_secs(2);
/// Time kept for the last steps of a stop: flushing events and releasing the lease.
const CLOSING_TIME: Duration = Duration::from_millis(1_500);

/// Runs the daemon until it is told to stop or its VM is reclaimed.
///
/// # Errors
///
/// Fails when an address can't be bound or signals can't be received.
pub async fn run(settings: Settings) -> std::io::Result<()> {
    let callers = bind("callers", settings.callers).await?;
    let operators = bind("operators", settings.operators).await?;
    let mut signals = Signals::new()?;
    let node = Arc::new(Node::new(settings));
    peers::start(&node).await?;
    let (close, closed) = watch::channel(false);
    let flush = tokio::spawn(flush_events(node.clone(), closed.clone()));
    let keeper = moves::keeper(&node);
    let moves = tokio::spawn(moves::run(node.clone(), keeper.clone()));
    tokio::spawn(vms::follow(node.clone()));
    tokio::spawn(peers::measure(node.clone()));
    let bounds = serve::Bounds {
        header_bytes: node.settings.limits.header_bytes,
        header_timeout: node.settings.limits.read_timeout,
    };
    let routes = operator::router(operator_state(&node, keeper));
    tokio::spawn(serve::serve(operators, routes, bounds, closed.clone()));
    let server = serve::serve(callers, caller::router(node.clone()), bounds, closed);
    let server = tokio::spawn(server);
    log::info!("daemon: node {} serves callers on {}", node.settings.node, node.settings.callers);
    node.record("daemon", timeline::Subject::default(), "started".to_owned());

    let end = wait_for_stop(&node, &mut signals).await;
    log::info!("daemon: stopping");
    let stopped = tokio::select! {
        () = stop(&node, end, close, server) => true,
        () = signals.next() => false,
    };
    if !stopped {
        log::warn!("daemon: a second signal ends the process at once");
        return Ok(());
    }
    let last = futures_util::future::join(flush, moves);
    let _ = tokio::time::timeout(CLOSING_TIME, last).await;
    log::info!("daemon: stopped");
    Ok(())
}

/// Receives the signals by which an operator stops the daemon.
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

/// Gives the time by which the process must have ended.
async fn wait_for_stop(node: &Node, signals: &mut Signals) -> Instant {
    let mut reclaimed = node.stop_by.subscribe();
    let reclaim = async { reclaimed.wait_for(Option::is_some).await.ok().and_then(|end| *end) };
    let limit = node.settings.timing.shutdown;
    tokio::select! {
        () = signals.next() => Instant::now() + limit,
        end = reclaim => end.unwrap_or_else(|| Instant::now() + limit),
    }
}

/// Makes the node unready, lets requests finish or hands them over, and closes the listeners.
async fn stop(
    node: &Arc<Node>,
    end: Instant,
    close: watch::Sender<bool>,
    server: tokio::task::JoinHandle<()>,
) {
    node.stopping.send_replace(true);
    node.record("daemon", timeline::Subject::default(), "stopping".to_owned());
    if let Some(network) = node.network.get() {
        network.announce_leaving().await;
    }
    let end = end.checked_sub(CLOSING_TIME).unwrap_or(end);
    drain::run(node, end).await;
    node.timeline.close(claim::keeper::unix_ms());
    close.send_replace(true);
    // Plain requests and the last bytes of streams still need their connections.
    if tokio::time::timeout_at(end.into(), server).await.is_err() {
        log::warn!("daemon: requests were still in flight at the shutdown limit");
    }
}

async fn flush_events(node: Arc<Node>, mut closed: watch::Receiver<bool>) {
    let stop = async move {
        let _ = closed.wait_for(|closed| *closed).await;
    };
    timeline::flush(node.timeline.clone(), node.client.clone(), TIMELINE_PERIOD, stop).await;
}

async fn bind(field: &str, address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        std::io::Error::new(error.kind(), format!("cannot bind {field} address {address}: {error}"))
    })
}

fn operator_state(node: &Arc<Node>, keeper: Arc<lease::Keeper>) -> operator::State {
    let (unready, members, metrics) = (node.clone(), node.clone(), node.clone());
    let revision = node.revision.clone();
    operator::State {
        node: node.settings.node.clone(),
        failure_domain: node.settings.failure_domain.clone(),
        tokens: node.settings.operator_tokens.as_slice().into(),
        client: node.client.clone(),
        revision: node.revision.clone(),
        timeline: node.timeline.clone(),
        now_ms: Arc::new(claim::keeper::unix_ms),
        unready: Arc::new(move || caller::admit_node(&unready).err().map(|error| error.detail)),
        members: Arc::new(move || members_json(&members)),
        leases: Arc::new(move || moves::show_lease(&keeper)),
        metrics: Arc::new(move || metrics.metrics.render()),
        committed: Arc::new(move |committed| revision.expect(committed)),
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
