//! Finds out whether an endpoint crashed under a request, as evidence for the [`quarantine`].
//!
//! [`quarantine`]: crate::gateway::quarantine

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::gateway::clock;
use crate::gateway::handle::{Context, Refusal};
use crate::gateway::node::Node;
use crate::gateway::platform::Endpoint;
use crate::gateway::refusal::Cause;

/// Longest wait for a connection. A crashed process leaves a host that refuses at once; a host that doesn't
/// respond may only be cut off.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Checks whether an endpoint has crashed on which a request failed before its answer had begun. An endpoint
/// that was leaving anyway tells nothing.
pub fn investigate(node: &Rc<Node>, context: &Context, endpoint: &Endpoint) {
    let Some(prompt) = &context.metadata.prompt else { return };
    let is_leaving = node.roster.borrow().leaves_at(&endpoint.id, endpoint.started_ms).is_some();
    if is_leaving || !node.quarantine.borrow_mut().suspect(endpoint, prompt) {
        return;
    }
    let (node, endpoint) = (node.clone(), endpoint.clone());
    tokio::task::spawn_local(async move {
        let has_crashed = refuses_connections(endpoint.address).await;
        log::info!("crash: event=checked endpoint={} crashed={has_crashed}", endpoint.id);
        let parts = node.quarantine.borrow_mut().conclude(&endpoint, has_crashed, clock::now());
        record_quarantined(&node, &parts, &node.settings.node);
    });
}

/// Logs and counts parts that were quarantined for the evidence of a node.
pub fn record_quarantined(node: &Node, parts: &[u64], source: &str) {
    for part in parts {
        log::warn!("quarantine: event=quarantined part={part:x} source={source}");
        node.metrics.record_quarantined();
    }
}

/// Records that the answer to a request has begun.
pub fn record_start(node: &Node, context: &Context) {
    let Some(prompt) = &context.metadata.prompt else { return };
    for part in node.quarantine.borrow_mut().record_start(prompt, clock::now()) {
        log::info!("quarantine: event=released part={part:x} id={}", context.metadata.id);
    }
}

/// Returns the refusal of a request whose prompt has a part in quarantine.
pub fn refusal(node: &Node, context: &Context) -> Option<Refusal> {
    let prompt = context.metadata.prompt.as_ref()?;
    let now = clock::now();
    let may_try = node.holds_duties.get();
    let until = node.quarantine.borrow().refusal(prompt, may_try, now)?;
    Some((Cause::Quarantined, Some(until.saturating_sub(now))))
}

/// Notes that a request is sent to an endpoint, which tries a part whose quarantine has ended.
pub fn record_sent(node: &Node, context: &Context) {
    if let Some(prompt) = &context.metadata.prompt {
        node.quarantine.borrow_mut().start_trial(prompt, clock::now());
    }
}

/// Returns whether one more attempt at a request might crash one more endpoint.
pub fn is_suspect(node: &Node, context: &Context) -> bool {
    let prompt = context.metadata.prompt.as_ref();
    prompt.is_some_and(|prompt| node.quarantine.borrow().is_suspect(prompt))
}

async fn refuses_connections(address: SocketAddr) -> bool {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
