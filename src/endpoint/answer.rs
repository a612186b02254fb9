//! Checks that an answer is whole and belongs to the request it was read for.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::pool::{Failure, Lent, Pool};

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

/// Sends a request on a connection that was just proved alive and reads the whole answer.
///
/// # Errors
///
/// Fails with `NotRun` only if no byte of the request was written.
pub async fn exchange(
    pool: &Arc<Pool>,
    request: Request<Full<Bytes>>,
    limit: usize,
) -> Result<Answer, Fault> {
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut connection = pool.checkout().await?;
    let response = connection.send(request).await?;
    let mut lent = Lent::new(pool.clone(), connection);
    check_head(&response, id.as_ref())?;
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
    let headers = response.headers();
    if let (Some(sent), Some(echoed)) = (id, headers.get(REQUEST_ID))
        && sent != echoed
    {
        return Err(Fault::Incomplete("the answer belongs to another request".to_owned()));
    }
    let framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if framed {
        Ok(())
    } else {
        Err(Fault::Incomplete("the answer has no length and no terminator".to_owned()))
    }
}
