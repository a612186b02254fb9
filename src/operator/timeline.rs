//! Handlers that return the timeline events of this node and the event batches of all nodes.

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
use crate::operator::view::ErrorResponse;
use crate::operator::{State, access};
use crate::timeline::{self, Subject};

#[derive(Debug, Deserialize)]
pub struct Filter {
    /// Earliest time of interest, in milliseconds since the Unix epoch.
    #[serde(default)]
    since_ms: u64,
    #[serde(flatten)]
    subject: Subject,
}

/// Returns the events in the ring buffer of this node; `dropped` counts the events that were
/// evicted before they were added to a batch.
pub async fn list_events(
    extract::State(state): extract::State<State>,
    filter: Result<Query<Filter>, QueryRejection>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    access::authorize(&state.tokens, &headers, Role::Read)?;
    let Query(filter) = filter?;
    let mut events = state.timeline.events_since(filter.since_ms);
    events.retain(|event| event.subject.matches(&filter.subject));
    let body = json!({
        "node": state.timeline.node(),
        "dropped": state.timeline.dropped(),
        "events": events,
    });
    Ok(Json(body).into_response())
}

/// Lists the keys of the batches that can contain events at or after `since_ms`.
pub async fn list_batches(
    extract::State(state): extract::State<State>,
    filter: Result<Query<Filter>, QueryRejection>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    access::authorize(&state.tokens, &headers, Role::Read)?;
    let Query(filter) = filter?;
    let keys = state.client.list_objects(timeline::OBJECT_PREFIX).await;
    let keys = keys.map_err(|failure| Error::new(Kind::PlatformDown, failure.to_string()))?;
    Ok(Json(json!({ "batches": timeline::keys_since(keys, filter.since_ms) })).into_response())
}

/// Returns one batch as JSON lines.
pub async fn get_batch(
    extract::State(state): extract::State<State>,
    Path((node, sequence)): Path<(String, String)>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    access::authorize(&state.tokens, &headers, Role::Read)?;
    let is_key_segment = |text: &str| {
        text.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_'))
    };
    if !is_key_segment(&node) || !is_key_segment(&sequence) {
        return Err(ErrorResponse::new(Kind::NotFound, "there is no such batch"));
    }
    let key = format!("{}{node}/{sequence}", timeline::OBJECT_PREFIX);
    let body = state.client.get_object(&key).await;
    let body = body.map_err(|failure| Error::new(Kind::PlatformDown, failure.to_string()))?;
    let Some(body) = body else {
        return Err(ErrorResponse::new(Kind::NotFound, "there is no such batch"));
    };
    Ok(([(CONTENT_TYPE, "application/jsonl")], body).into_response())
}
