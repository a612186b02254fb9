//! HTTP exchanges with endpoints, and checks that a response is complete and matches its request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use super::pool::{Connection, Failure, Guard, Pool};

/// Header of the request id, in requests and in responses that echo it.
pub const REQUEST_ID: &str = "x-request-id";

/// A complete HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The reason why an exchange produced no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// No byte of the request was written.
    NotRun(String),
    /// The endpoint may have run the request, also if what came is no final response.
    Unknown(String),
    /// The endpoint responded, but the response was truncated, belongs to another request, or its
    /// end can't be told from a broken connection.
    Incomplete(String),
    /// The response body exceeds the size limit.
    TooLarge,
}

impl From<Failure> for Fault {
    fn from(failure: Failure) -> Fault {
        match failure {
            Failure::NotRun(reason) => Fault::NotRun(reason),
            Failure::Unknown(reason) => Fault::Unknown(reason),
        }
    }
}

/// Sends a request and reads the complete response, whose body may have up to `max_bytes` bytes. A
/// pooled connection that has been idle for `probe_after` is probed first.
///
/// Endpoints need not echo the request id, since some plain services don't know that header.
/// Without an echo, a response is matched to its request by the connection: each one carries one
/// request at a time, and is closed unless the previous response was read to its end. A response
/// that echoes another id is always rejected.
///
/// # Errors
///
/// Fails with `NotRun` only if no byte of the request was written, with `Unknown` if the connection
/// failed or the deadline passed after that, the response echoes another request id or its status is
/// none of a final response, with `Incomplete` if the response was truncated or its end can't be
/// detected, and with `TooLarge` if its body exceeds `max_bytes`.
pub async fn exchange(
    pool: &Arc<Pool>,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
    probe_after: Duration,
    deadline: Instant,
) -> Result<Answer, Fault> {
    let timed_out = |_| Fault::NotRun("the deadline passed before the request was sent".to_owned());
    let connection = tokio::time::timeout_at(deadline, pool.checkout_probed(probe_after)).await;
    let connection = connection.map_err(timed_out)??;
    let timed_out = |_| Fault::Unknown("the deadline has passed".to_owned());
    let answer = read(pool, connection, request, max_bytes);
    tokio::time::timeout_at(deadline, answer).await.map_err(timed_out)?
}

async fn read(
    pool: &Arc<Pool>,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
) -> Result<Answer, Fault> {
    let id = request.headers().get(REQUEST_ID).cloned();
    let is_head = request.method() == Method::HEAD;
    let response = connection.send(request).await?;
    let mut guard = Guard::new(pool.clone(), connection);
    // A response to another request doesn't show whether this request was run.
    check_request_id(response.headers(), id.as_ref()).map_err(Fault::Unknown)?;
    check_status(response.status())?;
    // A response to HEAD has no body, whatever its headers say.
    if !is_head {
        check_framing(&response)?;
    }
    if response.body().size_hint().lower() > max_bytes as u64 {
        return Err(Fault::TooLarge);
    }
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, max_bytes).collect().await.map_err(|error| {
        if error.is::<http_body_util::LengthLimitError>() {
            Fault::TooLarge
        } else {
            Fault::Incomplete(error.to_string())
        }
    })?;
    guard.release();
    Ok(Answer { status: parts.status, headers: parts.headers, body: body.to_bytes() })
}

/// Checks the echoed request id and the status, and that a truncated body can be detected.
///
/// # Errors
///
/// Fails with `Incomplete` if the id differs or the end of the body is not marked, and with `Unknown` if the status is
/// none of a final response.
pub fn check_head(
    response: &Response<Incoming>,
    id: Option<&http::HeaderValue>,
) -> Result<(), Fault> {
    check_request_id(response.headers(), id).map_err(Fault::Incomplete)?;
    check_status(response.status())?;
    check_framing(response)
}

/// Returns whether a status is one of a final response, that is, of the classes 2xx to 5xx of RFC 9110, section 15.
/// An HTTP client may hand on others: an unasked switch of protocols, and numbers above 599.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

fn check_status(status: StatusCode) -> Result<(), Fault> {
    match is_final(status) {
        true => Ok(()),
        false => Err(Fault::Unknown(format!("status {} of no final response", status.as_u16()))),
    }
}

fn check_request_id(headers: &HeaderMap, id: Option<&http::HeaderValue>) -> Result<(), String> {
    match (id, headers.get(REQUEST_ID)) {
        (Some(sent), Some(echoed)) if sent != echoed => {
            Err("the response belongs to another request".to_owned())
        }
        _ => Ok(()),
    }
}

/// Rejects a response whose body ends with the connection, since it can't be told from a truncated
/// one; see RFC 9112, section 6.3. Transfer codings mark the end only if `chunked` is the last one.
fn check_framing(response: &Response<Incoming>) -> Result<(), Fault> {
    let headers = response.headers();
    let coding = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let is_chunked = |value: &http::HeaderValue| {
        let last = value.to_str().unwrap_or_default().rsplit(',').next().unwrap_or_default();
        last.trim().eq_ignore_ascii_case("chunked")
    };
    let has_end = match coding {
        Some(value) => is_chunked(value),
        None => {
            headers.contains_key(header::CONTENT_LENGTH)
                || matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        }
    };
    if has_end {
        Ok(())
    } else {
        Err(Fault::Incomplete(
            "the response has neither a content length nor chunked framing".to_owned(),
        ))
    }
}
