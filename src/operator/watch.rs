//! Streams changes of the configuration in effect as JSON lines.

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
use crate::operator::view::Refusal;
use crate::operator::{State, access, view};
use crate::resource::Catalog;
use crate::revision::commit;

/// Longest time a watch stays open, so that it does not hold up a graceful shutdown; the watcher
/// comes back with the last revision it saw.
const OPEN: Duration = Duration::from_secs(20);

#[derive(Debug, Deserialize)]
pub struct Since {
    /// Revision that the watcher knows; 0 asks for everything.
    #[serde(default)]
    since: u64,
}

struct Watch {
    receiver: watch::Receiver<Arc<Catalog>>,
    known: Option<Arc<Catalog>>,
    since: u64,
    until: Instant,
}

/// Sends one line per revision in effect. The first line shows the whole configuration when it is
/// newer than `since`, since a node keeps no older revisions to compare with.
pub async fn watch(
    extract::State(state): extract::State<State>,
    query: Result<Query<Since>, QueryRejection>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    access::check(&state.tokens, &headers, Role::Read)?;
    let Query(query) = query?;
    let receiver = state.revision.subscribe();
    let until = Instant::now() + OPEN;
    let watch = Watch { receiver, known: None, since: query.since, until };
    let lines = stream::unfold(watch, |mut watch| async move {
        let line = tokio::time::timeout_at(watch.until, next_line(&mut watch)).await.ok()??;
        Some((Ok::<Bytes, std::convert::Infallible>(line), watch))
    });
    Ok(([(CONTENT_TYPE, "application/jsonl")], Body::from_stream(lines)).into_response())
}

async fn next_line(watch: &mut Watch) -> Option<Bytes> {
    loop {
        let catalog = watch.receiver.borrow_and_update().clone();
        let known = watch.known.replace(catalog.clone());
        // A watcher that already knows the revision in effect needs only what comes after it.
        let old = match &known {
            None if catalog.revision <= watch.since => Some(catalog.clone()),
            None => None,
            Some(_) => known,
        };
        let empty = Catalog::default();
        let complete = old.is_none();
        let old = old.as_deref().unwrap_or(&empty);
        if old.revision != catalog.revision && catalog.revision > watch.since {
            let changes = commit::changes(old, &catalog);
            let changes = changes.iter().map(|change| view::change(old, &catalog, change, 0));
            let line = json!({
                "revision": catalog.revision,
                "complete": complete,
                "changes": changes.collect::<Vec<_>>(),
            });
            return Some(Bytes::from(format!("{line}\n")));
        }
        watch.receiver.changed().await.ok()?;
    }
}
