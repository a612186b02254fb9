//! The daemon: starts the parts of an entry VM, runs their loops and stops them in order.

pub mod node;

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::config::Settings;
use crate::util::serve;
use crate::{caller, revision};

pub use node::Node;

/// Time for which a finished stream can still be read.
const FINISHED_KEEP: Duration = Duration::from_secs(60);
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// Fails when an address can't be bound or signals can't be received.
pub async fn run(settings: Settings) -> std::io::Result<()> {
    let callers = bind("callers", settings.callers).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let node = Arc::new(Node::new(settings));
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(poll_config(node.clone()));
    tokio::spawn(poll_vms(node.clone()));
    tokio::spawn(sweep(node.clone()));
    let bounds = serve::Bounds {
        header_bytes: node.settings.limits.header_bytes,
        header_timeout: node.settings.limits.read_timeout,
    };
    let server = serve::serve(callers, caller::router(node.clone()), bounds, stopped);
    let server = tokio::spawn(server);
    log::info!("daemon: node {} serves callers on {}", node.settings.node, node.settings.callers);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("daemon: stopping");
    node.stopping.send_replace(true);
    stop.send_replace(true);
    tokio::select! {
        _ = server => {}
        _ = tokio::time::sleep(node.settings.timing.shutdown) => {
            log::warn!("daemon: requests were still in flight at the shutdown limit");
        }
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

async fn bind(field: &str, address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        std::io::Error::new(error.kind(), format!("cannot bind {field} address {address}: {error}"))
    })
}

async fn poll_config(node: Arc<Node>) {
    loop {
        let known = node.revision.current().revision;
        match revision::fetch(&node.client, known).await {
            Ok(Some(catalog)) => {
                let revision = catalog.revision;
                if node.revision.apply(catalog) {
                    log::info!("revision: configuration {revision} is in effect");
                }
            }
            Ok(None) => {}
            Err(error) => log::warn!("revision: {error}"),
        }
        tokio::time::sleep(node.settings.timing.config_poll).await;
    }
}

async fn poll_vms(node: Arc<Node>) {
    loop {
        match node.client.vms().await {
            Ok(vms) => {
                node.directory.retain(|address| vms.iter().any(|vm| vm.address == address));
                node.vms.send_if_modified(|known| {
                    let changed = **known != vms;
                    if changed {
                        *known = Arc::new(vms);
                    }
                    changed
                });
            }
            Err(error) => log::warn!("daemon: the VM list could not be read: {error}"),
        }
        tokio::time::sleep(node.settings.timing.vm_poll).await;
    }
}

async fn sweep(node: Arc<Node>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        node.journal.sweep(Instant::now(), FINISHED_KEEP);
    }
}
