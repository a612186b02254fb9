//! Reads request bodies with a size limit, a timeout, and the memory account of the daemon.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, HttpBody};
use bytes::Bytes;
use http::request::Parts;
use http_body_util::{BodyExt, Limited};
use tokio::sync::Semaphore;
use xxhash_rust::xxh3;

use crate::error::{Error, Kind, Result};
use crate::intake::account::{Failure, Terms};
use crate::intake::{connections, ledger};
use crate::node::Node;

/// Largest number of bytes of a rejected body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Rejected bodies that are read at once; bounds the work that rejected callers can cause.
static DISCARDS: Semaphore = Semaphore::const_new(4);

/// Reads a whole body of a request of a workspace. From then on its connection is kept open until the response is
/// written.
///
/// # Errors
///
/// Fails with `TooLarge`, `SlowSender`, `MemoryFull` or `BadRequest`; the request was not run.
pub async fn read(node: &Node, parts: &Parts, body: Body, workspace: &str) -> Result<Bytes> {
    let limits = &node.settings.limits;
    // A declared length is known before the first byte, so the caller is refused without sending
    // its body.
    if body.size_hint().lower() > u64::try_from(limits.body_bytes).unwrap_or(u64::MAX) {
        tokio::spawn(discard(body, limits.read_timeout));
        return Err(too_large(limits.body_bytes));
    }
    let terms = Terms {
        owner: xxh3::xxh3_64(workspace.as_bytes()),
        kind: ledger::Kind::Unfinished,
        limit: limits.body_bytes,
        timeout: limits.read_timeout,
    };
    let body = node.intake.read(body, terms).await.map_err(|failure| match failure {
        Failure::TooLarge => too_large(limits.body_bytes),
        Failure::TooSlow => slow_sender(limits.read_timeout),
        Failure::MemoryFull => memory_full(),
        Failure::Broken(reason) => {
            Error::new(Kind::BadRequest, format!("the body ended early: {reason}"))
        }
    })?;
    let connection = parts.extensions.get::<Arc<connections::Request>>();
    if connection.is_none_or(|connection| connection.accept()) {
        Ok(body)
    } else {
        Err(memory_full())
    }
}

/// Reads and discards the body of a rejected request. Closing a connection while the caller still
/// writes resets it, and the caller may then not receive the error response.
async fn discard(body: Body, timeout: Duration) {
    let Ok(_permit) = DISCARDS.try_acquire() else {
        log::debug!("caller: too many rejected bodies are read; the connection is closed");
        return;
    };
    let mut remaining = Limited::new(body, MAX_DISCARDED_BYTES);
    let read_to_end = async { while let Some(Ok(_)) = remaining.frame().await {} };
    if tokio::time::timeout(timeout, read_to_end).await.is_err() {
        log::debug!("caller: the body of a rejected request did not end within {timeout:?}");
    }
}

fn too_large(limit: usize) -> Error {
    Error::new(Kind::TooLarge, format!("the body is larger than {limit} bytes"))
}

fn slow_sender(timeout: Duration) -> Error {
    Error::new(
        Kind::SlowSender,
        format!("the body did not arrive within {timeout:?} or at the lowest rate"),
    )
}

fn memory_full() -> Error {
    Error::new(Kind::MemoryFull, "this entry VM has no memory for the body")
}
