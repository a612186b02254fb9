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
    const ALL: [Cause; 15] = [
        Cause::NoCatalog,
        Cause::NoRoute,
        Cause::BadRequest,
        Cause::BodyTooLarge,
        Cause::BodyTooSlow,
        Cause::BodyCut,
        Cause::UnknownKey,
        Cause::StaleKeys,
        Cause::OverQuota,
        Cause::NoEndpoint,
        Cause::Stopping,
        Cause::Busy,
        Cause::NotRun,
        Cause::Unknown,
        Cause::Timeout,
    ];

    /// Finds a cause by the name that logs and metrics give it.
    pub fn find(name: &str) -> Option<Cause> {
        Cause::ALL.into_iter().find(|cause| cause.name() == name)
    }

    /// Says in a sentence what led to the answer.
    pub fn reason(self) -> &'static str {
        match self {
            Cause::NoCatalog => "the node had read no declarations yet",
            Cause::NoRoute => "no route takes this host and path",
            Cause::BadRequest => "its headers could not be read",
            Cause::BodyTooLarge => "its body is larger than the declared limit",
            Cause::BodyTooSlow => "its body did not arrive in time",
            Cause::BodyCut => "the caller's connection ended within the body",
            Cause::UnknownKey => "its key belongs to no tenant",
            Cause::StaleKeys => {
                "the node had not reached the store for too long to vouch for the keys; \
                 see catalog_age_ms and store_lost"
            }
            Cause::OverQuota => {
                "its tenant had used its quota in the window; see admitted and limit of quota_full, \
                 and nodes: silent peers keep their part"
            }
            Cause::NoEndpoint => "the service had no endpoint; see endpoint_gone and order",
            Cause::Stopping => "the node was about to end",
            Cause::Busy => {
                "it would not have got its turn, or the first token, within the target of its route; \
                 see queue_full, queue_late or crowded"
            }
            Cause::NotRun => "no endpoint took it; see unsent and endpoint_refused",
            Cause::Unknown => {
                "it was sent to an endpoint that gave no whole answer, so it may have run; see \
                 unknown"
            }
            Cause::Timeout => "its time was up while an endpoint worked on it; see placed",
        }
    }

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
