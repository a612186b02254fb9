//! The daemon: starts the parts of an entry VM, runs their loops and stops them in order.

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
use crate::node::Node;
use crate::stream::drain;
use crate::util::serve;
use crate::{caller, claim, lease, operator, timeline};

/// Time for which a finished stream can still be read.
const FINISHED_KEEP: Duration = Duration::from_secs(60);
/// Period in which events are written to the object store.
const TIMELINE_PERIOD: Duration = Duration::from_secs(2);

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
    let (end_flush, flush_ended) = watch::channel(false);
    let flush = tokio::spawn(flush_events(node.clone(), flush_ended));
    let keeper = moves::keeper(&node);
    let moves = tokio::spawn(moves::run(node.clone(), keeper.clone()));
    let capacity = node.settings.capacity.enabled;
    let capacity = capacity.then(|| tokio::spawn(capacity::run(node.clone())));
    tokio::spawn(vms::follow(node.clone()));
    tokio::spawn(draft::watch_members(node.clone()));
    tokio::spawn(drain::restore_copies(node.clone()));
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

    wait_for_stop(&node, &mut signals).await;
    log::info!("daemon: stopping");
    let stopped = tokio::select! {
        () = stop(&node, close, server) => true,
        () = signals.next() => false,
    };
    if !stopped {
        let detail = "a second signal ended the process before its requests had ended";
        return Err(std::io::Error::other(detail));
    }
    end_flush.send_replace(true);
    let capacity = futures_util::future::OptionFuture::from(capacity);
    let last = futures_util::future::join3(flush, moves, capacity);
    let _ = tokio::time::timeout(drain::CLEANUP_TIME, last).await;
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

/// Returns once a stop has begun; the node then knows the time by which the process must end.
async fn wait_for_stop(node: &Node, signals: &mut Signals) {
    let mut reclaimed = node.stop_by.subscribe();
    tokio::select! {
        () = signals.next() => {
            node.schedule_stop(node.settings.timing.shutdown);
        }
        _ = reclaimed.wait_for(Option::is_some) => {}
    }
}

/// Makes the node unready, lets requests finish or hands them over, and closes the listeners.
async fn stop(node: &Arc<Node>, close: watch::Sender<bool>, server: tokio::task::JoinHandle<()>) {
    node.stopping.send_replace(true);
    node.record("daemon", timeline::Subject::default(), "stopping".to_owned());
    if let Some(network) = node.network.get() {
        network.announce_leaving().await;
    }
    drain::wait_for_idle(node).await;
    close.send_replace(true);
    // Plain requests and the last bytes of streams still need their connections.
    drain::hand_over_remaining(node, server).await;
    node.timeline.close(claim::attempt::unix_ms());
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
        now_ms: Arc::new(claim::attempt::unix_ms),
        unready: Arc::new(move || caller::check_ready(&unready).err().map(|error| error.detail)),
        members: Arc::new(move || members_json(&members)),
        leases: Arc::new(move || moves::show_lease(&keeper)),
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
