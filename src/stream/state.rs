//! Moves the cached state of a stream from an engine that leaves to the next one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use tokio::time::Instant;

use crate::endpoint::answer::{self, Answer};
use crate::endpoint::pool::PROOF_AGE;
use crate::node::Node;

/// Largest state that is moved; a larger one is computed again.
const STATE_BYTES: usize = 64 << 20;
/// Longest pause of a stream for its state. Computing a long prompt again takes about as long.
const LONGEST_MOVE: Duration = Duration::from_secs(1);
/// Time kept before the engine is gone, since a cut export is wasted.
const MARGIN: Duration = Duration::from_millis(500);

/// Exports the state at one engine and imports it at another, if the time left allows it.
pub async fn transfer(
    node: &Node,
    id: &str,
    from: SocketAddr,
    to: SocketAddr,
    left: Duration,
) -> bool {
    let limit = left.saturating_sub(MARGIN).min(LONGEST_MOVE);
    if limit.is_zero() || from == to {
        return false;
    }
    let deadline = Instant::now() + limit;
    let Some(state) = call(node, from, Method::GET, id, Bytes::new(), deadline).await else {
        return false;
    };
    call(node, to, Method::PUT, id, state.body, deadline).await.is_some()
}

async fn call(
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
    match answer::exchange(&pool, request, STATE_BYTES, PROOF_AGE, deadline).await {
        Ok(answer) if answer.status == StatusCode::OK => Some(answer),
        Ok(answer) => {
            log::debug!("stream: state of {id} at {address}: status {}", answer.status);
            None
        }
        Err(fault) => {
            log::debug!("stream: state of {id} at {address}: {fault:?}");
            None
        }
    }
}
