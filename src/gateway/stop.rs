//! Planned stop of a node.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::clock;
use crate::gateway::node::Node;

/// Time in which the load balancer notices that the node is not ready: two missed probes, one a
/// second.
const LEAVE_TIME: Duration = Duration::from_millis(2_600);
/// Time that is left of the grace period when the process ends.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Pause between two looks at the requests in flight.
const PERIOD: Duration = Duration::from_millis(50);

/// Waits for SIGTERM, then until the requests in flight have ended or the grace period is over.
///
/// Once the load balancer must have noticed, new requests are refused: a stream that is taken late
/// would be cut at the end of the grace period, and the sooner the process ends the sooner a new one
/// serves.
pub async fn wait(node: Rc<Node>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => log::info!("stop: event=reload note=\"settings apply at a start\""),
        }
    }
    let began = clock::now();
    node.stopping.set(true);
    log::info!("stop: event=stopping active={}", node.active.get());
    tokio::time::sleep(LEAVE_TIME).await;
    node.closing.set(true);
    node.stop.notify_waiters();
    let end = began + node.settings.bounds.grace.saturating_sub(GRACE_MARGIN);
    while node.active.get() > 0 && clock::now() < end {
        tokio::time::sleep(PERIOD).await;
    }
    log::info!("stop: event=stopped active={}", node.active.get());
    Ok(())
}
