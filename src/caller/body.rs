//! Reads request bodies with a size limit and a timeout.

use std::time::Duration;

use axum::body::{Body, HttpBody};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};

use crate::config::Limits;
use crate::error::{Error, Kind, Result};

/// Largest number of bytes of a rejected body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// Reads a whole body.
///
/// # Errors
///
/// Fails with `TooLarge`, `SlowSender` or `BadRequest`; the request was not run.
pub async fn read(body: Body, limits: &Limits) -> Result<Bytes> {
    // A declared length is known before the first byte, so the caller is refused without sending
    // its body.
    if body.size_hint().lower() > u64::try_from(limits.body_bytes).unwrap_or(u64::MAX) {
        tokio::spawn(discard(body, limits.read_timeout));
        return Err(too_large(limits.body_bytes));
    }
    let collect = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(limits.read_timeout, collect).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(limits.body_bytes)),
        Ok(Err(_)) => Err(Error::new(Kind::BadRequest, "the body ended early")),
        Err(_) => Err(slow_sender(limits.read_timeout)),
    }
}

/// Reads and discards the body of a rejected request. Closing a connection while the caller still
/// writes resets it, and the caller may then not receive the error response.
async fn discard(body: Body, timeout: Duration) {
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
    Error::new(Kind::SlowSender, format!("the body did not arrive within {timeout:?}"))
}
