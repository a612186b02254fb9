//! Reads request bodies within bounds of size and time.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};

use crate::config::Limits;
use crate::error::{Error, Kind, Result};

/// Reads a whole body.
///
/// # Errors
///
/// Fails with `TooLarge`, `SlowSender` or `BadRequest`; the request was not run.
pub async fn read(body: Body, limits: &Limits) -> Result<Bytes> {
    let collect = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(limits.read_timeout, collect).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("the body is larger than {} bytes", limits.body_bytes);
            Err(Error::new(Kind::TooLarge, detail))
        }
        Ok(Err(_)) => Err(Error::new(Kind::BadRequest, "the body ended early")),
        Err(_) => Err(slow(limits.read_timeout)),
    }
}

fn slow(timeout: Duration) -> Error {
    Error::new(Kind::SlowSender, format!("the body did not arrive within {timeout:?}"))
}
