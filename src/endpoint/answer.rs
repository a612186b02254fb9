//! Checks that an answer is whole and belongs to the request it was read for.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use super::pool::{Connection, Failure, Lent, Pool};

/// Names the header that carries the request id both ways.
pub const REQUEST_ID: &str = "x-request-id";

/// Holds a whole answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Tells why an exchange gave no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    NotRun(String),
    Unknown(String),
    /// The endpoint answered, but the answer was cut, crossed or has no provable end.
    Incomplete(String),
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

/// Sends a request on a connection that was proved alive within `proof` and reads the whole answer.
///
/// An endpoint need not echo the request id: plain services exist that know nothing of it. Without
/// an echo, an answer belongs to its request because a connection carries one request at a time and
/// is closed, not used again, unless the answer before was read to its end. An echo that differs is
/// never accepted.
///
/// # Errors
///
/// Fails with `NotRun` only if no byte of the request was written, and with `Unknown` when the
/// deadline has passed after that or the answer is one to another request.
pub async fn exchange(
    pool: &Arc<Pool>,
    request: Request<Full<Bytes>>,
    limit: usize,
    proof: Duration,
    deadline: Instant,
) -> Result<Answer, Fault> {
    let late = |_| Fault::NotRun("the deadline passed before the request was sent".to_owned());
    let connection = tokio::time::timeout_at(deadline, pool.checkout_within(proof)).await;
    let connection = connection.map_err(late)??;
    let late = |_| Fault::Unknown("the deadline has passed".to_owned());
    let answer = read(pool, connection, request, limit);
    tokio::time::timeout_at(deadline, answer).await.map_err(late)?
}

async fn read(
    pool: &Arc<Pool>,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    limit: usize,
) -> Result<Answer, Fault> {
    let id = request.headers().get(REQUEST_ID).cloned();
    let is_head = request.method() == Method::HEAD;
    let response = connection.send(request).await?;
    let mut lent = Lent::new(pool.clone(), connection);
    // An answer to another request says nothing about whether this one was run.
    check_id(response.headers(), id.as_ref()).map_err(Fault::Unknown)?;
    // The answer to HEAD ends with its head whatever the headers say.
    if !is_head {
        check_end(&response)?;
    }
    if response.body().size_hint().lower() > limit as u64 {
        return Err(Fault::TooLarge);
    }
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, limit).collect().await.map_err(|error| {
        if error.is::<http_body_util::LengthLimitError>() {
            Fault::TooLarge
        } else {
            Fault::Incomplete(error.to_string())
        }
    })?;
    lent.release();
    Ok(Answer { status: parts.status, headers: parts.headers, body: body.to_bytes() })
}

/// Checks the request id echo and that the end of the body can be told from a cut.
pub fn check_head(
    response: &Response<Incoming>,
    id: Option<&http::HeaderValue>,
) -> Result<(), Fault> {
    check_id(response.headers(), id).map_err(Fault::Incomplete)?;
    check_end(response)
}

fn check_id(headers: &HeaderMap, id: Option<&http::HeaderValue>) -> Result<(), String> {
    match (id, headers.get(REQUEST_ID)) {
        (Some(sent), Some(echoed)) if sent != echoed => {
            Err("the answer belongs to another request".to_owned())
        }
        _ => Ok(()),
    }
}

/// Refuses an answer that ends with its connection, since a cut looks the same; RFC 9112, section
/// 6.3. A transfer coding marks the end only if `chunked` is the last one.
fn check_end(response: &Response<Incoming>) -> Result<(), Fault> {
    let headers = response.headers();
    let coding = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let chunked = |value: &http::HeaderValue| {
        let last = value.to_str().unwrap_or_default().rsplit(',').next().unwrap_or_default();
        last.trim().eq_ignore_ascii_case("chunked")
    };
    let framed = match coding {
        Some(value) => chunked(value),
        None => {
            headers.contains_key(header::CONTENT_LENGTH)
                || matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        }
    };
    if framed {
        Ok(())
    } else {
        Err(Fault::Incomplete("the answer has no length and no terminator".to_owned()))
    }
}
