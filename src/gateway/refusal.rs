//! Responses that the gateway gives itself: the closed list of causes, with the status of each.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};

use crate::gateway::relay::Body;

/// Reason why the gateway refuses or fails a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The node has read no declarations yet.
    NoCatalog,
    /// The part of the newest declarations that decides on the request can't be read.
    Unreadable,
    NoRoute,
    BadRequest,
    BodyTooLarge,
    BodyTooSlow,
    /// This node has no memory for the body.
    MemoryFull,
    /// The caller's connection ended before the body was complete.
    BodyCut,
    UnknownKey,
    /// The node read the keys too long ago to prove that they are still valid.
    StaleKeys,
    OverQuota,
    /// No endpoint of the service is known.
    NoEndpoint,
    /// All endpoints of the service are in evacuated failure domains.
    Evacuated,
    /// The process is shutting down.
    Stopping,
    /// The request would miss its deadline in the queue or at the endpoints, or its tenant is above its share
    /// of a short service.
    Busy,
    /// All endpoints have named rate limits or are cold, and what they take is used up.
    Limited,
    /// All endpoints have asked for a pause.
    Paused,
    /// A part of the prompt crashes endpoints.
    Quarantined,
    /// Endpoints refused the request or could not be reached; it did not run.
    NotRun,
    /// The request may have run, but there is no complete response.
    Unknown,
    /// The deadline passed after the request had been sent.
    Timeout,
}

impl Cause {
    const ALL: [Cause; 21] = [
        Cause::NoCatalog,
        Cause::Unreadable,
        Cause::NoRoute,
        Cause::BadRequest,
        Cause::BodyTooLarge,
        Cause::BodyTooSlow,
        Cause::MemoryFull,
        Cause::BodyCut,
        Cause::UnknownKey,
        Cause::StaleKeys,
        Cause::OverQuota,
        Cause::NoEndpoint,
        Cause::Evacuated,
        Cause::Stopping,
        Cause::Busy,
        Cause::Limited,
        Cause::Paused,
        Cause::Quarantined,
        Cause::NotRun,
        Cause::Unknown,
        Cause::Timeout,
    ];

    /// Returns the cause with a name, as in logs and metrics.
    pub fn from_name(name: &str) -> Option<Cause> {
        Cause::ALL.into_iter().find(|cause| cause.name() == name)
    }

    /// Returns a sentence on what led to the response, with the log events to look at.
    pub fn reason(self) -> &'static str {
        match self {
            Cause::NoCatalog => "the node had read no declarations yet",
            Cause::Unreadable => {
                "the part of the newest declarations that decides on it could not be read; see \
                 unreadable_row and unreadable_entry"
            }
            Cause::NoRoute => "no route matches this host and path",
            Cause::BadRequest => "its headers could not be parsed",
            Cause::BodyTooLarge => "its body is larger than the declared limit",
            Cause::BodyTooSlow => "its body did not arrive in time",
            Cause::MemoryFull => {
                "the bodies of other requests had used the memory that the node has for them; see \
                 intake: event=body_refused and body_dropped"
            }
            Cause::BodyCut => "the caller's connection ended before the body was complete",
            Cause::UnknownKey => "no tenant has its key",
            Cause::StaleKeys => {
                "the node had not reached the store for too long to prove that the keys are valid; \
                 see catalog_age_ms and store_lost"
            }
            Cause::OverQuota => {
                "its tenant had used its quota in the window; see admitted and limit of quota_full, \
                 and nodes: silent peers keep their part"
            }
            Cause::NoEndpoint => "the service had no endpoint; see endpoint_gone and order",
            Cause::Evacuated => {
                "all endpoints of its service were in failure domains that the operators had ordered to \
                 evacuate; see evacuation_begun and order"
            }
            Cause::Stopping => "the node was shutting down",
            Cause::Busy => {
                "it would have missed the target latency of its route, in the queue or at the endpoints, or its \
                 tenant had used more than its share; see queue_full, queue_late, crowded or share_used"
            }
            Cause::Limited => {
                "its service's endpoints had named rate limits or were cold, and what they take was used up; see \
                 limits_used and endpoint_cold"
            }
            Cause::Paused => {
                "its service's endpoints had asked this node for a pause; see pause_asked and endpoints_paused"
            }
            Cause::Quarantined => {
                "a part of its prompt has crashed endpoints; see quarantined and crash: event=checked"
            }
            Cause::NotRun => "no endpoint accepted it; see unsent and endpoint_refused",
            Cause::Unknown => {
                "it was sent to an endpoint that gave no complete response, so it may have run; see \
                 unknown"
            }
            Cause::Timeout => "its deadline passed while an endpoint worked on it; see placed",
        }
    }

    /// Returns the name in logs, metrics and the response body.
    pub fn name(self) -> &'static str {
        match self {
            Cause::NoCatalog => "no_catalog",
            Cause::Unreadable => "unreadable",
            Cause::NoRoute => "no_route",
            Cause::BadRequest => "bad_request",
            Cause::BodyTooLarge => "body_too_large",
            Cause::BodyTooSlow => "body_too_slow",
            Cause::MemoryFull => "memory_full",
            Cause::BodyCut => "body_cut",
            Cause::UnknownKey => "unknown_key",
            Cause::StaleKeys => "stale_keys",
            Cause::OverQuota => "over_quota",
            Cause::NoEndpoint => "no_endpoint",
            Cause::Evacuated => "evacuated",
            Cause::Stopping => "stopping",
            Cause::Busy => "busy",
            Cause::Limited => "limited",
            Cause::Paused => "paused",
            Cause::Quarantined => "quarantined",
            Cause::NotRun => "not_run",
            Cause::Unknown => "unknown",
            Cause::Timeout => "timeout",
        }
    }

    /// Returns the status; 429 and 503 promise that the request did not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Cause::NoRoute => StatusCode::NOT_FOUND,
            Cause::BadRequest | Cause::BodyCut => StatusCode::BAD_REQUEST,
            Cause::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Cause::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Cause::UnknownKey => StatusCode::UNAUTHORIZED,
            Cause::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Cause::NoCatalog
            | Cause::Unreadable
            | Cause::Stopping
            | Cause::MemoryFull
            | Cause::StaleKeys
            | Cause::NoEndpoint
            | Cause::Evacuated
            | Cause::Busy
            | Cause::Limited
            | Cause::Paused
            | Cause::Quarantined
            | Cause::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Cause::Unknown => StatusCode::BAD_GATEWAY,
            Cause::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether the rest of the request body stays unread, so that the connection must close.
    fn leaves_body_unread(self) -> bool {
        matches!(
            self,
            Cause::BodyTooLarge | Cause::BodyTooSlow | Cause::BodyCut | Cause::MemoryFull
        )
    }

    /// Builds the response, with the time after which the caller should retry.
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
        if self.leaves_body_unread() {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
