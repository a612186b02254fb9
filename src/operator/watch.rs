//! Streams changes of the configuration in effect on this node as JSON lines.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::rejection::QueryRejection;
use axum::extract::{self, Query};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use futures_util::stream;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::config::Role;
use crate::operator::view::ErrorResponse;
use crate::operator::{State, access, view};
use crate::resource::Catalog;
use crate::revision::commit;

/// Longest time that a watch stays open, so that it does not delay a graceful shutdown; the client
/// reconnects with the last revision it received.
const MAX_WATCH_TIME: Duration = Duration::from_secs(20);

#[derive(Debug, Deserialize)]
pub struct Since {
    /// Last revision that the client received; 0 requests the whole configuration.
    #[serde(default)]
    since: u64,
}

struct Watch {
    receiver: watch::Receiver<Arc<Catalog>>,
    /// Catalog in effect when the watch last checked for a change.
    previous: Option<Arc<Catalog>>,
    since: u64,
    closes_at: Instant,
}

/// Sends one line per revision that takes effect. If the first revision is newer than `since`, its
/// line contains the whole configuration, because a node keeps no older revisions to compare with.
pub async fn watch(
    extract::State(state): extract::State<State>,
    query: Result<Query<Since>, QueryRejection>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    access::authorize(&state.tokens, &headers, Role::Read)?;
    let Query(query) = query?;
    let receiver = state.revision.subscribe();
    let closes_at = Instant::now() + MAX_WATCH_TIME;
    let watch = Watch { receiver, previous: None, since: query.since, closes_at };
    let lines = stream::unfold(watch, |mut watch| async move {
        let line = tokio::time::timeout_at(watch.closes_at, next_line(&mut watch)).await.ok()??;
        Some((Ok::<Bytes, std::convert::Infallible>(line), watch))
    });
    Ok(([(CONTENT_TYPE, "application/jsonl")], Body::from_stream(lines)).into_response())
}

async fn next_line(watch: &mut Watch) -> Option<Bytes> {
    loop {
        let catalog = watch.receiver.borrow_and_update().clone();
        let previous = watch.previous.replace(catalog.clone());
        // A client that already has the revision in effect needs only later changes.
        let old = match &previous {
            None if catalog.revision <= watch.since => Some(catalog.clone()),
            None => None,
            Some(_) => previous,
        };
        let empty = Catalog::default();
        let is_complete = old.is_none();
        let old = old.as_deref().unwrap_or(&empty);
        if old.revision != catalog.revision && catalog.revision > watch.since {
            let changes = commit::changes(old, &catalog);
            let changes = changes.iter().map(|change| view::change_json(old, &catalog, change, 0));
            let line = json!({
                "revision": catalog.revision,
                "complete": is_complete,
                "changes": changes.collect::<Vec<_>>(),
            });
            return Some(Bytes::from(format!("{line}\n")));
        }
        watch.receiver.changed().await.ok()?;
    }
}
