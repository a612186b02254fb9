//! Transfers the cached state of a stream from an engine that is leaving to its replacement.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use tokio::time::Instant;

use crate::endpoint::answer::{self, Answer};
use crate::endpoint::pool::PROBE_AFTER;
use crate::node::Node;

/// Largest state that is transferred; the new engine recomputes a larger one.
const MAX_STATE_BYTES: usize = 64 << 20;
/// Longest time that a stream pauses for the transfer. Recomputing a long prompt takes about as
/// long.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(1);
/// Time between the end of the transfer and the shutdown of the engine, since a truncated export
/// is useless.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Exports the state from one engine and imports it into another; returns whether that succeeded.
///
/// `time_left` is the time until the exporting engine is gone.
pub async fn transfer(
    node: &Node,
    id: &str,
    from: SocketAddr,
    to: SocketAddr,
    time_left: Duration,
) -> bool {
    let timeout = time_left.saturating_sub(SHUTDOWN_MARGIN).min(MAX_TRANSFER_TIME);
    if timeout.is_zero() || from == to {
        return false;
    }
    let deadline = Instant::now() + timeout;
    let Some(export) = send(node, from, Method::GET, id, Bytes::new(), deadline).await else {
        return false;
    };
    send(node, to, Method::PUT, id, export.body, deadline).await.is_some()
}

async fn send(
    node: &Node,
    address: SocketAddr,
    method: Method,
    id: &str,
    body: Bytes,
    deadline: Instant,
) -> Option<Answer> {
    let request = Request::builder()
        .method(method)
        .uri(format!("/state/{id}"))
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .ok()?;
    let pool = node.directory.pool(address);
    match answer::exchange(&pool, request, MAX_STATE_BYTES, PROBE_AFTER, deadline).await {
        Ok(answer) if answer.status == StatusCode::OK => Some(answer),
        Ok(answer) => {
            log::debug!("stream: state transfer of {id} at {address}: status {}", answer.status);
            None
        }
        Err(fault) => {
            log::debug!("stream: state transfer of {id} at {address}: {fault:?}");
            None
        }
    }
}
