//! Error kinds and the table that maps each of them to an HTTP response.
//!
//! The table also states whether the request was run, from which a caller decides whether it may
//! retry the request; see `docs/errors.md`.

use std::fmt;

use axum::response::{IntoResponse, Response};
use http::{HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};

/// Header of error responses that states whether the request was run.
pub const RUN_HEADER: &str = "x-request-run";

/// States whether an endpoint executed the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Run {
    No,
    Unknown,
    Yes,
}

impl Run {
    pub fn as_str(self) -> &'static str {
        match self {
            Run::No => "no",
            Run::Unknown => "unknown",
            Run::Yes => "yes",
        }
    }
}

/// Advice to a caller on how to proceed after an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advice {
    /// Change the request before it is sent again.
    ChangeRequest,
    /// Retry the unchanged request after this many milliseconds.
    RetryAfter(u32),
    /// Check the outcome first, for instance by a request with the same idempotency key.
    CheckOutcome,
}

/// Reason for which a request is refused or fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    BadRequest,
    Unauthorized,
    Forbidden,
    NotFound,
    MethodNotAllowed,
    SlowSender,
    TooLarge,
    HeadersTooLarge,
    KeyMismatch,
    KeyInFlight,
    Conflict,
    Overloaded,
    ShareExceeded,
    MemoryFull,
    NotReady,
    Stopping,
    NoEndpoint,
    PlatformDown,
    DeadlineTooShort,
    DeadlinePassed,
    EndpointFailed,
    OutcomeUnknown,
    AnswerIncomplete,
    AnswerTooLarge,
    StreamGone,
    StreamMoved,
    Internal,
}

/// Table entry of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    pub name: &'static str,
    pub status: StatusCode,
    pub run: Run,
    pub advice: Advice,
}

impl Kind {
    /// All kinds, for tests and documentation that iterate over the table.
    pub const ALL: [Kind; 27] = [
        Kind::BadRequest,
        Kind::Unauthorized,
        Kind::Forbidden,
        Kind::NotFound,
        Kind::MethodNotAllowed,
        Kind::SlowSender,
        Kind::TooLarge,
        Kind::HeadersTooLarge,
        Kind::KeyMismatch,
        Kind::KeyInFlight,
        Kind::Conflict,
        Kind::Overloaded,
        Kind::ShareExceeded,
        Kind::MemoryFull,
        Kind::NotReady,
        Kind::Stopping,
        Kind::NoEndpoint,
        Kind::PlatformDown,
        Kind::DeadlineTooShort,
        Kind::DeadlinePassed,
        Kind::EndpointFailed,
        Kind::OutcomeUnknown,
        Kind::AnswerIncomplete,
        Kind::AnswerTooLarge,
        Kind::StreamGone,
        Kind::StreamMoved,
        Kind::Internal,
    ];

    /// Returns the table entry of the kind; this is the only place that maps kinds to HTTP.
    pub fn entry(self) -> Entry {
        use Advice::{ChangeRequest, CheckOutcome, RetryAfter};
        let (name, status, run, advice) = match self {
            Kind::BadRequest => ("bad_request", 400, Run::No, ChangeRequest),
            Kind::Unauthorized => ("unauthorized", 401, Run::No, ChangeRequest),
            Kind::Forbidden => ("forbidden", 403, Run::No, ChangeRequest),
            Kind::NotFound => ("not_found", 404, Run::No, ChangeRequest),
            Kind::MethodNotAllowed => ("method_not_allowed", 405, Run::No, ChangeRequest),
            Kind::SlowSender => ("slow_sender", 408, Run::No, RetryAfter(1_000)),
            Kind::TooLarge => ("too_large", 413, Run::No, ChangeRequest),
            Kind::HeadersTooLarge => ("headers_too_large", 431, Run::No, ChangeRequest),
            Kind::KeyMismatch => ("key_mismatch", 422, Run::No, ChangeRequest),
            Kind::KeyInFlight => ("key_in_flight", 409, Run::Unknown, CheckOutcome),
            Kind::Conflict => ("conflict", 409, Run::No, ChangeRequest),
            Kind::Overloaded => ("overloaded", 429, Run::No, RetryAfter(1_000)),
            Kind::ShareExceeded => ("share_exceeded", 429, Run::No, RetryAfter(1_000)),
            Kind::MemoryFull => ("memory_full", 503, Run::No, RetryAfter(1_000)),
            Kind::NotReady => ("not_ready", 503, Run::No, RetryAfter(500)),
            Kind::Stopping => ("stopping", 503, Run::No, RetryAfter(100)),
            Kind::NoEndpoint => ("no_endpoint", 503, Run::No, RetryAfter(1_000)),
            Kind::PlatformDown => ("platform_down", 503, Run::No, RetryAfter(2_000)),
            Kind::DeadlineTooShort => ("deadline_too_short", 504, Run::No, RetryAfter(1_000)),
            Kind::DeadlinePassed => ("deadline_passed", 504, Run::Unknown, CheckOutcome),
            Kind::EndpointFailed => ("endpoint_failed", 502, Run::Unknown, CheckOutcome),
            Kind::OutcomeUnknown => ("outcome_unknown", 502, Run::Unknown, CheckOutcome),
            Kind::AnswerIncomplete => ("answer_incomplete", 502, Run::Yes, CheckOutcome),
            Kind::AnswerTooLarge => ("answer_too_large", 502, Run::Yes, CheckOutcome),
            Kind::StreamGone => ("stream_gone", 410, Run::Unknown, CheckOutcome),
            Kind::StreamMoved => ("stream_moved", 503, Run::Yes, CheckOutcome),
            Kind::Internal => ("internal", 500, Run::Unknown, CheckOutcome),
        };
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Entry { name, status, run, advice }
    }
}

/// Error of a request: its kind and a detail for human readers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    pub kind: Kind,
    pub detail: String,
}

impl Error {
    pub fn new(kind: Kind, detail: impl Into<String>) -> Error {
        Error { kind, detail: detail.into() }
    }

    /// Returns whether an endpoint has run, or may have run, the request.
    pub fn run(&self) -> Run {
        self.kind.entry().run
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.entry().name, self.detail)
    }
}

impl std::error::Error for Error {}

impl IntoResponse for Error {
    fn into_response(self) -> Response {
        let entry = self.kind.entry();
        let mut error = serde_json::json!({
            "kind": entry.name,
            "message": self.detail,
            "run": entry.run.as_str(),
        });
        if let Advice::RetryAfter(millis) = entry.advice {
            error["retry_after_ms"] = millis.into();
        }
        let body = axum::Json(serde_json::json!({ "error": error }));
        let mut response = (entry.status, body).into_response();
        let headers = response.headers_mut();
        if self.kind == Kind::MemoryFull {
            headers.insert(http::header::CONNECTION, HeaderValue::from_static("close"));
        }
        headers.insert(RUN_HEADER, HeaderValue::from_static(entry.run.as_str()));
        if let Advice::RetryAfter(millis) = entry.advice {
            headers.insert(http::header::RETRY_AFTER, HeaderValue::from(millis.div_ceil(1_000)));
        }
        response
    }
}

pub type Result<T> = std::result::Result<T, Error>;
