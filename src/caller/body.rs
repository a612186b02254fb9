//! Reads request bodies within bounds of size and time.

use std::time::Duration;

use axum::body::{Body, HttpBody};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};

use crate::config::Limits;
use crate::error::{Error, Kind, Result};

/// Bytes of a refused body that are still read.
const DISCARDED_BYTES: usize = 16 << 20;

/// Reads a whole body.
///
/// # Errors
///
/// Fails with `TooLarge`, `SlowSender` or `BadRequest`; the request was not run.
pub async fn read(body: Body, limits: &Limits) -> Result<Bytes> {
    // A declared length is known before the first byte, so the caller need not send the body.
    if body.size_hint().lower() > u64::try_from(limits.body_bytes).unwrap_or(u64::MAX) {
        tokio::spawn(discard(body, limits.read_timeout));
        return Err(too_large(limits.body_bytes));
    }
    let collect = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(limits.read_timeout, collect).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(limits.body_bytes)),
        Ok(Err(_)) => Err(Error::new(Kind::BadRequest, "the body ended early")),
        Err(_) => Err(slow(limits.read_timeout)),
    }
}

/// Reads on after a refusal: a connection that is closed while its caller still writes is reset, and
/// the caller loses the refusal with it.
async fn discard(body: Body, timeout: Duration) {
    let mut rest = Limited::new(body, DISCARDED_BYTES);
    let end = async { while let Some(Ok(_)) = rest.frame().await {} };
    if tokio::time::timeout(timeout, end).await.is_err() {
        log::debug!("caller: a refused body did not end within {timeout:?}");
    }
}

fn too_large(limit: usize) -> Error {
    Error::new(Kind::TooLarge, format!("the body is larger than {limit} bytes"))
}

fn slow(timeout: Duration) -> Error {
    Error::new(Kind::SlowSender, format!("the body did not arrive within {timeout:?}"))
}
