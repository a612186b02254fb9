//! Handlers that change the configuration.

use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::extract::{self, Path};
use axum::response::{IntoResponse, Response};
use http::{HeaderMap, StatusCode};
use serde_json::{Value, json};

use crate::config::Role;
use crate::error::{self, Error};
use crate::operator::edit::Upsert;
use crate::operator::view::ErrorResponse;
use crate::operator::{State, access, edit, input, view};
use crate::resource::{Catalog, Id, Kind};
use crate::revision::commit::{self, Base, Change, Committed, Operation};
use crate::timeline::{self, Subject};

type HandlerResult = Result<Response, ErrorResponse>;

pub async fn apply(
    extract::State(state): extract::State<State>,
    headers: HeaderMap,
    body: Body,
) -> HandlerResult {
    let operator = access::authorize(&state.tokens, &headers, Role::Write)?;
    let body = input::read_body(body).await?;
    let request: input::Apply = input::parse_json(&body)?;
    let upserts = input::parse_declarations(&request.resources)?;
    let now_ms = (state.now_ms)();
    if request.dry_run {
        return preview(&state, &upserts, now_ms).await;
    }
    let operation = Operation {
        id: input::operation_id(&headers, request.operation)?,
        digest: access::sha256_hex(&body).into(),
        operator,
        now_ms,
    };
    let edit = |base: &Base| edit::apply(base, &upserts, now_ms);
    let committed = commit_and_record(&state, &operation, &upserts, &edit).await?;
    Ok(Json(commit_summary(&operation, &committed)).into_response())
}

pub async fn put(
    extract::State(state): extract::State<State>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
    body: Body,
) -> HandlerResult {
    let operator = access::authorize(&state.tokens, &headers, Role::Write)?;
    let expected = input::expected_version(&headers)?;
    let body = input::read_body(body).await?;
    let request: input::Put = input::parse_json(&body)?;
    let operation = Operation {
        id: input::operation_id(&headers, request.operation.clone())?,
        digest: request_digest("PUT", &kind, &name, expected, &body),
        operator,
        now_ms: (state.now_ms)(),
    };
    let upserts = input::parse_declarations(&[request.into_declaration(&kind, &name, expected)])?;
    let edit = |base: &Base| edit::apply(base, &upserts, operation.now_ms);
    let committed = commit_and_record(&state, &operation, &upserts, &edit).await?;
    let created = committed.changes.iter().any(|found| found.action == commit::Action::Created);
    let status = if created { StatusCode::CREATED } else { StatusCode::OK };
    Ok((status, Json(commit_summary(&operation, &committed))).into_response())
}

pub async fn delete(
    extract::State(state): extract::State<State>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
) -> HandlerResult {
    let operator = access::authorize(&state.tokens, &headers, Role::Write)?;
    let expected = input::expected_version(&headers)?;
    let id = parse_id(&kind, &name)?;
    let operation = Operation {
        id: input::operation_id(&headers, None)?,
        digest: request_digest("DELETE", &kind, &name, expected, b""),
        operator,
        now_ms: (state.now_ms)(),
    };
    let edit =
        |base: &Base| edit::delete(base, &id, expected, &operation.operator, operation.now_ms);
    let committed = commit_and_record(&state, &operation, &[], &edit).await?;
    if committed.changes.is_empty() {
        return Err(ErrorResponse::new(error::Kind::NotFound, format!("there is no {id}")));
    }
    Ok(Json(commit_summary(&operation, &committed)).into_response())
}

/// Parses the resource kind and name of a request path.
pub fn parse_id(kind: &str, name: &str) -> Result<Id, Error> {
    let kind = kind.parse().map_err(|()| {
        Error::new(error::Kind::NotFound, format!("there is no resource kind \"{kind}\""))
    })?;
    Ok(Id::new(kind, name))
}

fn request_digest(
    method: &str,
    kind: &str,
    name: &str,
    expected: Option<u64>,
    body: &[u8],
) -> Arc<str> {
    let mut text = format!("{method} {kind}/{name} {expected:?}\n").into_bytes();
    text.extend_from_slice(body);
    access::sha256_hex(&text).into()
}

async fn commit_and_record(
    state: &State,
    operation: &Operation,
    upserts: &[Upsert],
    edit: commit::Edit<'_>,
) -> Result<Committed, ErrorResponse> {
    let result = commit::commit(&state.client, operation, edit).await;
    match &result {
        Ok(committed) => {
            log::info!(
                "operator: {} by {} resulted in revision {}{}",
                operation.id,
                operation.operator,
                committed.revision,
                if committed.repeated { " (repeated)" } else { "" }
            );
            record_changes(state, operation, committed);
            (state.on_commit)(committed.revision);
        }
        Err(failure) => {
            log::warn!("operator: {} by {} failed: {failure}", operation.id, operation.operator);
        }
    }
    result.map_err(|failure| ErrorResponse::from_commit(&failure, upserts))
}

/// Records each committed change on the timeline, unless an earlier attempt already committed it.
fn record_changes(state: &State, operation: &Operation, committed: &Committed) {
    if committed.repeated {
        return;
    }
    for change in &committed.changes {
        let name = || Some(change.id.name.clone());
        let subject = match change.id.kind {
            Kind::Move => Subject { move_name: name(), ..Subject::default() },
            Kind::Service => Subject { service: name(), ..Subject::default() },
            Kind::Workspace => Subject { workspace: name(), ..Subject::default() },
            Kind::Pool | Kind::Version => Subject::default(),
        };
        let action = change.action.as_str();
        let text = format!("{} {action} by {} ({})", change.id, operation.operator, operation.id);
        let numbers = [("revision".into(), committed.revision as f64)].into();
        let draft = timeline::Draft { part: "operator", subject, text, numbers };
        state.timeline.record(operation.now_ms, draft);
    }
}

async fn preview(state: &State, upserts: &[Upsert], now_ms: u64) -> HandlerResult {
    let base = commit::read_base(&state.client)
        .await
        .map_err(|failure| Error::new(error::Kind::PlatformDown, failure.to_string()))?;
    let catalog = edit::apply(&base, upserts, now_ms)
        .map_err(|failure| ErrorResponse::from_commit(&failure, upserts))?;
    let changes = commit::changes(&base.catalog, &catalog);
    let body = json!({
        "dry_run": true,
        "revision": base.catalog.revision,
        "changes": changes_json(&base.catalog, &catalog, &changes),
    });
    Ok(Json(body).into_response())
}

fn changes_json(old: &Catalog, new: &Catalog, changes: &[Change]) -> Vec<Value> {
    changes.iter().map(|change| view::change_json(old, new, change, 0)).collect()
}

fn commit_summary(operation: &Operation, committed: &Committed) -> Value {
    let changes: Vec<Value> = committed
        .changes
        .iter()
        .map(|change| {
            let version = (change.action != commit::Action::Deleted).then_some(committed.version);
            json!({
                "action": change.action,
                "kind": change.id.kind,
                "name": change.id.name,
                "resource_version": version,
            })
        })
        .collect();
    json!({
        "operation": operation.id,
        "revision": committed.revision,
        "repeated": committed.repeated,
        "changes": changes,
    })
}
