//! Handlers that show the events of this node and the batches of all nodes.

use axum::Json;
use axum::extract::rejection::QueryRejection;
use axum::extract::{self, Path, Query};
use axum::response::{IntoResponse, Response};
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use serde::Deserialize;
use serde_json::json;

use crate::config::Role;
use crate::error::{Error, Kind};
use crate::operator::view::Refusal;
use crate::operator::{State, access};
use crate::timeline::{self, Subject};

#[derive(Debug, Deserialize)]
pub struct Filter {
    /// Milliseconds since the Unix epoch.
    #[serde(default)]
    since_ms: u64,
    #[serde(flatten)]
    subject: Subject,
}

/// Shows the events in the ring of this node; `dropped` counts those that no batch holds either.
pub async fn live(
    extract::State(state): extract::State<State>,
    filter: Result<Query<Filter>, QueryRejection>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    access::check(&state.tokens, &headers, Role::Read)?;
    let Query(filter) = filter?;
    let mut events = state.timeline.since(filter.since_ms);
    events.retain(|event| event.subject.matches(&filter.subject));
    let body = json!({
        "node": state.timeline.node(),
        "dropped": state.timeline.dropped(),
        "events": events,
    });
    Ok(Json(body).into_response())
}

/// Lists the batches that can hold events from a time on.
pub async fn batches(
    extract::State(state): extract::State<State>,
    filter: Result<Query<Filter>, QueryRejection>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    access::check(&state.tokens, &headers, Role::Read)?;
    let Query(filter) = filter?;
    let keys = state.client.list_objects(timeline::OBJECT_PREFIX).await;
    let keys = keys.map_err(|failure| Error::new(Kind::PlatformDown, failure.to_string()))?;
    Ok(Json(json!({ "batches": timeline::keys_since(keys, filter.since_ms) })).into_response())
}

/// Shows one batch as JSON lines.
pub async fn batch(
    extract::State(state): extract::State<State>,
    Path((node, sequence)): Path<(String, String)>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    access::check(&state.tokens, &headers, Role::Read)?;
    let allowed = |text: &str| {
        text.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_'))
    };
    if !allowed(&node) || !allowed(&sequence) {
        return Err(Refusal::new(Kind::NotFound, "there is no such batch"));
    }
    let key = format!("{}{node}/{sequence}", timeline::OBJECT_PREFIX);
    let body = state.client.get_object(&key).await;
    let body = body.map_err(|failure| Error::new(Kind::PlatformDown, failure.to_string()))?;
    let Some(body) = body else {
        return Err(Refusal::new(Kind::NotFound, "there is no such batch"));
    };
    Ok(([(CONTENT_TYPE, "application/jsonl")], body).into_response())
}
