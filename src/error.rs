//! The closed list of error kinds and the one table from kind to answer.
//!
//! A caller decides from the table whether it may send the request again, so the table also states
//! whether the request was run; see `docs/errors.md`.

use std::fmt;

use axum::response::{IntoResponse, Response};
use http::{HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};

/// Names the header that tells whether a refused request was run.
pub const RUN_HEADER: &str = "x-request-run";

/// Tells whether the request reached an endpoint that acted on it.
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

/// Tells a caller what to do after a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advice {
    /// The request itself has to change first.
    Change,
    /// The same request may be sent again after this many milliseconds.
    After(u32),
    /// The outcome has to be read back first, for instance with the same idempotency key.
    Check,
}

/// Lists every reason for which a request is refused or fails.
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

/// Holds what the table says about one kind.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    pub name: &'static str,
    pub status: StatusCode,
    pub run: Run,
    pub advice: Advice,
}

impl Kind {
    /// Lists every kind, so that tests and documents can walk the table.
    pub const ALL: [Kind; 26] = [
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

    /// Gives the answer for a kind; this is the only place that maps kinds to HTTP.
    pub fn answer(self) -> Answer {
        use Advice::{After, Change, Check};
        let (name, status, run, advice) = match self {
            Kind::BadRequest => ("bad_request", 400, Run::No, Change),
            Kind::Unauthorized => ("unauthorized", 401, Run::No, Change),
            Kind::Forbidden => ("forbidden", 403, Run::No, Change),
            Kind::NotFound => ("not_found", 404, Run::No, Change),
            Kind::MethodNotAllowed => ("method_not_allowed", 405, Run::No, Change),
            Kind::SlowSender => ("slow_sender", 408, Run::No, After(1_000)),
            Kind::TooLarge => ("too_large", 413, Run::No, Change),
            Kind::HeadersTooLarge => ("headers_too_large", 431, Run::No, Change),
            Kind::KeyMismatch => ("key_mismatch", 422, Run::No, Change),
            Kind::KeyInFlight => ("key_in_flight", 409, Run::Unknown, Check),
            Kind::Conflict => ("conflict", 409, Run::No, Change),
            Kind::Overloaded => ("overloaded", 429, Run::No, After(1_000)),
            Kind::ShareExceeded => ("share_exceeded", 429, Run::No, After(1_000)),
            Kind::NotReady => ("not_ready", 503, Run::No, After(500)),
            Kind::Stopping => ("stopping", 503, Run::No, After(100)),
            Kind::NoEndpoint => ("no_endpoint", 503, Run::No, After(1_000)),
            Kind::PlatformDown => ("platform_down", 503, Run::No, After(2_000)),
            Kind::DeadlineTooShort => ("deadline_too_short", 504, Run::No, After(1_000)),
            Kind::DeadlinePassed => ("deadline_passed", 504, Run::Unknown, Check),
            Kind::EndpointFailed => ("endpoint_failed", 502, Run::Unknown, Check),
            Kind::OutcomeUnknown => ("outcome_unknown", 502, Run::Unknown, Check),
            Kind::AnswerIncomplete => ("answer_incomplete", 502, Run::Yes, Check),
            Kind::AnswerTooLarge => ("answer_too_large", 502, Run::Yes, Check),
            Kind::StreamGone => ("stream_gone", 410, Run::Unknown, Check),
            Kind::StreamMoved => ("stream_moved", 503, Run::Yes, Check),
            Kind::Internal => ("internal", 500, Run::Unknown, Check),
        };
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Answer { name, status, run, advice }
    }
}

/// Carries a kind with a detail for people and the request it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    pub kind: Kind,
    pub detail: String,
}

impl Error {
    pub fn new(kind: Kind, detail: impl Into<String>) -> Error {
        Error { kind, detail: detail.into() }
    }

    /// Tells whether the request may have reached an endpoint.
    pub fn run(&self) -> Run {
        self.kind.answer().run
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.answer().name, self.detail)
    }
}

impl std::error::Error for Error {}

impl IntoResponse for Error {
    fn into_response(self) -> Response {
        let answer = self.kind.answer();
        let mut error = serde_json::json!({
            "kind": answer.name,
            "message": self.detail,
            "run": answer.run.as_str(),
        });
        if let Advice::After(millis) = answer.advice {
            error["retry_after_ms"] = millis.into();
        }
        let body = axum::Json(serde_json::json!({ "error": error }));
        let mut response = (answer.status, body).into_response();
        let headers = response.headers_mut();
        headers.insert(RUN_HEADER, HeaderValue::from_static(answer.run.as_str()));
        if let Advice::After(millis) = answer.advice {
            headers.insert(http::header::RETRY_AFTER, HeaderValue::from(millis.div_ceil(1_000)));
        }
        response
    }
}

pub type Result<T> = std::result::Result<T, Error>;
