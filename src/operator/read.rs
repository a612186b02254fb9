//! Handlers that return the configuration and the status of the node.

use axum::Json;
use axum::extract::{self, Path};
use axum::response::{IntoResponse, Response};
use http::HeaderMap;
use serde_json::{Value, json};

use crate::config::Role;
use crate::error::Kind;
use crate::operator::view::ErrorResponse;
use crate::operator::write::parse_id;
use crate::operator::{State, access, view};
use crate::resource::{self, Phase, Spec};
use crate::revision::commit::{self, Base};

type HandlerResult = Result<Response, ErrorResponse>;

pub async fn list(
    extract::State(state): extract::State<State>,
    headers: HeaderMap,
) -> HandlerResult {
    access::authorize(&state.tokens, &headers, Role::Read)?;
    let (base, source) = read_base(&state).await;
    Ok(Json(list_body(&base, source, view::resources_json(&base, |_| true))).into_response())
}

pub async fn list_kind(
    extract::State(state): extract::State<State>,
    Path(kind): Path<String>,
    headers: HeaderMap,
) -> HandlerResult {
    access::authorize(&state.tokens, &headers, Role::Read)?;
    let kind = parse_id(&kind, "")?.kind;
    let (base, source) = read_base(&state).await;
    Ok(Json(list_body(&base, source, view::resources_json(&base, |id| id.kind == kind)))
        .into_response())
}

pub async fn get(
    extract::State(state): extract::State<State>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
) -> HandlerResult {
    access::authorize(&state.tokens, &headers, Role::Read)?;
    let id = parse_id(&kind, &name)?;
    let (base, source) = read_base(&state).await;
    let found = view::resources_json(&base, |found| *found == id).pop();
    let Some(mut found) = found else {
        return Err(ErrorResponse::new(Kind::NotFound, format!("there is no {id}")));
    };
    found["revision"] = base.catalog.revision.into();
    found["source"] = source.into();
    Ok(Json(found).into_response())
}

fn list_body(base: &Base, source: &str, resources: Vec<Value>) -> Value {
    json!({ "revision": base.catalog.revision, "source": source, "resources": resources })
}

/// Returns the configuration from the table, or the one in effect on this node, without row
/// versions, if the table cannot be read; also returns the `source` named in responses.
async fn read_base(state: &State) -> (Base, &'static str) {
    match commit::read_base(&state.client).await {
        Ok(base) => {
            // Applies the revision that the response shows: otherwise, if the platform failed
            // before the next poll, the next response would show an older revision.
            if base.catalog.revision > state.revision.current().revision {
                state.revision.apply(base.catalog.clone());
            }
            (base, "table")
        }
        Err(failure) => {
            log::warn!(
                "operator: cannot read the table; showing the configuration in effect: {failure}"
            );
            let catalog = resource::Catalog::clone(&state.revision.current());
            (Base { catalog, ..Base::default() }, "node")
        }
    }
}

pub async fn status(
    extract::State(state): extract::State<State>,
    headers: HeaderMap,
) -> HandlerResult {
    access::authorize(&state.tokens, &headers, Role::Read)?;
    let catalog = state.revision.current();
    let moves = catalog.resources.iter().filter_map(|(id, found)| {
        let Spec::Move(spec) = &found.spec else { return None };
        let progress = found.status.progress.as_ref()?;
        let phase = match progress.phase {
            Phase::InProgress => "in_progress",
            Phase::Done => "done",
            Phase::Reverted => "reverted",
        };
        Some(json!({
            "name": id.name,
            "service": spec.service,
            "from": spec.from,
            "to": spec.to,
            "phase": phase,
            "share_permille": progress.share_permille,
            "reason": progress.reason,
            "deadline_ms": progress.accepted_ms.saturating_add(spec.within_s.saturating_mul(1_000)),
        }))
    });
    let unready_reason = (state.unready)();
    let body = json!({
        "node": state.node,
        "failure_domain": state.failure_domain,
        "revision": catalog.revision,
        "ready": unready_reason.is_none(),
        "reason": unready_reason,
        "members": (state.members)(),
        "leases": (state.leases)(),
        "moves": moves.collect::<Vec<_>>(),
    });
    Ok(Json(body).into_response())
}
