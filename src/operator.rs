//! HTTP resource interface for operators.
//!
//! Reads show the table's rows with their versions, or the configuration in effect on this node
//! while the platform is unreachable. Writes go through `revision::commit`. The interface is
//! described in `docs/OPERATIONS.md`.

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

/// Largest request body; a set of 10,000 declarations stays below it.
const BODY_BYTES: usize = 8 << 20;

/// Gives a part of the status that another module owns.
pub type Report = Arc<dyn Fn() -> Value + Send + Sync>;

/// Holds what the interface needs from the rest of the daemon.
#[derive(Clone)]
pub struct State {
    pub node: Arc<str>,
    pub failure_domain: Arc<str>,
    pub tokens: Arc<[config::Token]>,
    pub client: platform::Client,
    pub revision: Arc<revision::State>,
    pub timeline: Arc<crate::timeline::Buffer>,
    /// Gives the current time, in milliseconds since the Unix epoch.
    pub now_ms: Arc<dyn Fn() -> u64 + Send + Sync>,
    /// Gives the reason why the node is not ready; `None` when it is.
    pub unready: Arc<dyn Fn() -> Option<String> + Send + Sync>,
    pub members: Report,
    pub leases: Report,
    /// Gives the metrics in the Prometheus text format.
    pub metrics: Arc<dyn Fn() -> String + Send + Sync>,
    /// Called with the revision of each commit, so that this node need not wait for its next poll.
    pub committed: Arc<dyn Fn(u64) + Send + Sync>,
}

impl fmt::Debug for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("State").field("node", &self.node).finish_non_exhaustive()
    }
}

/// Builds the routes of the interface.
///
/// Probes and metrics need no token, since load balancers and collectors carry none; they show no
/// configuration.
pub fn router(state: State) -> Router {
    Router::new()
        .route("/v1/resources", get(read::list))
        .route("/v1/resources/{kind}", get(read::list_kind))
        .route("/v1/resources/{kind}/{name}", get(read::one).put(write::put).delete(write::delete))
        .route("/v1/apply", post(write::apply))
        .route("/v1/watch", get(watch::watch))
        .route("/v1/status", get(read::status))
        .route("/v1/timeline", get(timeline::live))
        .route("/v1/timeline/batches", get(timeline::batches))
        .route("/v1/timeline/batches/{node}/{sequence}", get(timeline::batch))
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
