//! Closed list of the answers that the gateway gives itself, with what each says to the caller.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};

use crate::gateway::relay::Body;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No declarations are known yet.
    NoCatalog,
    NoRoute,
    BadRequest,
    BodyTooLarge,
    BodyTooSlow,
    /// The caller's connection ended within the body.
    BodyCut,
    UnknownKey,
    /// The node can't show that keys are still valid.
    StaleKeys,
    OverQuota,
    /// No endpoint of the service is known.
    NoEndpoint,
    /// The process is about to end.
    Stopping,
    /// The request would not get its turn in time.
    Busy,
    /// The endpoint refused the request or wasn't reached; it was not run.
    NotRun,
    /// The request may have run, but there is no whole answer.
    Unknown,
    /// The time was up after the request had been sent.
    Timeout,
}

impl Cause {
    pub fn name(self) -> &'static str {
        match self {
            Cause::NoCatalog => "no_catalog",
            Cause::NoRoute => "no_route",
            Cause::BadRequest => "bad_request",
            Cause::BodyTooLarge => "body_too_large",
            Cause::BodyTooSlow => "body_too_slow",
            Cause::BodyCut => "body_cut",
            Cause::UnknownKey => "unknown_key",
            Cause::StaleKeys => "stale_keys",
            Cause::OverQuota => "over_quota",
            Cause::NoEndpoint => "no_endpoint",
            Cause::Stopping => "stopping",
            Cause::Busy => "busy",
            Cause::NotRun => "not_run",
            Cause::Unknown => "unknown",
            Cause::Timeout => "timeout",
        }
    }

    /// Gives the status; 429 and 503 promise that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Cause::NoRoute => StatusCode::NOT_FOUND,
            Cause::BadRequest | Cause::BodyCut => StatusCode::BAD_REQUEST,
            Cause::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Cause::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Cause::UnknownKey => StatusCode::UNAUTHORIZED,
            Cause::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Cause::NoCatalog
            | Cause::Stopping
            | Cause::StaleKeys
            | Cause::NoEndpoint
            | Cause::Busy
            | Cause::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Cause::Unknown => StatusCode::BAD_GATEWAY,
            Cause::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Tells whether the rest of the request is left unread, so that its connection has to close.
    fn leaves_body(self) -> bool {
        matches!(self, Cause::BodyTooLarge | Cause::BodyTooSlow | Cause::BodyCut)
    }

    /// Builds the answer, with the time after which the caller should come back.
    pub fn response(self, retry_after: Option<Duration>) -> Response<Body> {
        let mut response = Response::new(Body::whole(self.name()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(after) = retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        if self.leaves_body() {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
