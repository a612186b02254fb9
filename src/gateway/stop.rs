//! Graceful shutdown of a node.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::clock;
use crate::gateway::node::Node;

/// Time after which the load balancer has seen that the node is not ready: two failed probes, sent
/// once a second.
const READINESS_DELAY: Duration = Duration::from_millis(2_600);
/// Part of the grace period that remains unused when the process ends.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Interval between two checks of the number of requests in flight.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Waits for SIGTERM, then drains: returns once no request is in flight or the grace period is
/// over.
///
/// New requests are refused once the load balancer must have stopped sending them: a stream
/// accepted later would be cut at the end of the grace period, and an earlier exit lets the new
/// process serve sooner.
///
/// # Errors
///
/// Fails when a signal handler can't be installed.
pub async fn wait(node: Rc<Node>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => log::info!("stop: event=reload note=\"settings load only at start\""),
        }
    }
    let stop_time = clock::now();
    node.stopping.set(true);
    log::info!("stop: event=stopping active={}", node.active.get());
    tokio::time::sleep(READINESS_DELAY).await;
    node.closing.set(true);
    node.stop.notify_waiters();
    let deadline = stop_time + node.settings.bounds.grace.saturating_sub(GRACE_MARGIN);
    while node.active.get() > 0 && clock::now() < deadline {
        tokio::time::sleep(POLL_PERIOD).await;
    }
    log::info!("stop: event=stopped active={}", node.active.get());
    Ok(())
}
