//! HTTP resource interface for operators.
//!
//! Reads return the configuration stored in the platform's table with its row versions, or, while
//! the platform is unreachable, the configuration in effect on this node. Writes go through
//! `revision::commit`. The interface is described in `docs/OPERATIONS.md`.

pub mod access;
pub mod edit;
mod input;
mod read;
mod timeline;
pub mod view;
mod watch;
mod write;

use std::fmt;
use std::sync::Arc;

use axum::Router;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use http::header::CONTENT_TYPE;
use serde_json::Value;

use crate::error::{Error, Kind};
use crate::{config, platform, revision};

/// Largest request body; a set of 10,000 declarations fits.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Returns one section of the status response, supplied by another module.
pub type StatusSource = Arc<dyn Fn() -> Value + Send + Sync>;

/// Holds the dependencies that all request handlers share.
#[derive(Clone)]
pub struct State {
    pub node: Arc<str>,
    pub failure_domain: Arc<str>,
    pub tokens: Arc<[config::Token]>,
    pub client: platform::Client,
    pub revision: Arc<revision::State>,
    pub timeline: Arc<crate::timeline::Buffer>,
    /// Returns the current time, in milliseconds since the Unix epoch.
    pub now_ms: Arc<dyn Fn() -> u64 + Send + Sync>,
    /// Returns the reason why the node is not ready, or `None` if it is ready.
    pub unready: Arc<dyn Fn() -> Option<String> + Send + Sync>,
    pub members: StatusSource,
    pub leases: StatusSource,
    /// Returns the metrics in the Prometheus text format.
    pub metrics: Arc<dyn Fn() -> String + Send + Sync>,
    /// Called with the revision of each commit, so that this node loads a newer revision without
    /// waiting for its next poll.
    pub on_commit: Arc<dyn Fn(u64) + Send + Sync>,
}

impl fmt::Debug for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("State").field("node", &self.node).finish_non_exhaustive()
    }
}

/// Builds the routes of the interface.
///
/// Health checks and metrics require no token, since load balancers and metrics collectors send
/// none; their responses contain no configuration.
pub fn router(state: State) -> Router {
    Router::new()
        .route("/v1/resources", get(read::list))
        .route("/v1/resources/{kind}", get(read::list_kind))
        .route("/v1/resources/{kind}/{name}", get(read::get).put(write::put).delete(write::delete))
        .route("/v1/apply", post(write::apply))
        .route("/v1/watch", get(watch::watch))
        .route("/v1/status", get(read::status))
        .route("/v1/timeline", get(timeline::list_events))
        .route("/v1/timeline/batches", get(timeline::list_batches))
        .route("/v1/timeline/batches/{node}/{sequence}", get(timeline::get_batch))
        .route("/metrics", get(metrics))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .fallback(|| async { Error::new(Kind::NotFound, "there is no such path") })
        .with_state(state)
}

async fn metrics(state: axum::extract::State<State>) -> Response {
    ([(CONTENT_TYPE, "text/plain; version=0.0.4")], (state.metrics)()).into_response()
}

async fn ready(state: axum::extract::State<State>) -> Response {
    match (state.unready)() {
        None => "ready\n".into_response(),
        Some(reason) => Error::new(Kind::NotReady, reason).into_response(),
    }
}
