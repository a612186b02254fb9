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
use crate::operator::edit::Item;
use crate::operator::view::Refusal;
use crate::operator::{State, access, edit, input, view};
use crate::resource::{Catalog, Id, Kind};
use crate::revision::commit::{self, Base, Change, Committed, Operation};
use crate::timeline::{self, Subject};

type Answer = Result<Response, Refusal>;

pub async fn apply(
    extract::State(state): extract::State<State>,
    headers: HeaderMap,
    body: Body,
) -> Answer {
    let operator = access::check(&state.tokens, &headers, Role::Write)?;
    let body = input::read_body(body).await?;
    let request: input::Apply = input::parse(&body)?;
    let items = input::items(&request.resources)?;
    let now_ms = (state.now_ms)();
    if request.dry_run {
        return preview(&state, &items, now_ms).await;
    }
    let operation = Operation {
        id: input::operation_id(&headers, request.operation)?,
        digest: access::digest(&body).into(),
        operator,
        now_ms,
    };
    let edit = |base: &Base| edit::apply(base, &items, now_ms);
    let committed = run(&state, &operation, &items, &edit).await?;
    Ok(Json(summary(&operation, &committed)).into_response())
}

pub async fn put(
    extract::State(state): extract::State<State>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
    body: Body,
) -> Answer {
    let operator = access::check(&state.tokens, &headers, Role::Write)?;
    let expected = input::expected_version(&headers)?;
    let body = input::read_body(body).await?;
    let request: input::Put = input::parse(&body)?;
    let operation = Operation {
        id: input::operation_id(&headers, request.operation.clone())?,
        digest: request_digest("PUT", &kind, &name, expected, &body),
        operator,
        now_ms: (state.now_ms)(),
    };
    let items = input::items(&[request.into_declaration(&kind, &name, expected)])?;
    let edit = |base: &Base| edit::apply(base, &items, operation.now_ms);
    let committed = run(&state, &operation, &items, &edit).await?;
    let created = committed.changes.iter().any(|found| found.action == commit::Action::Created);
    let status = if created { StatusCode::CREATED } else { StatusCode::OK };
    Ok((status, Json(summary(&operation, &committed))).into_response())
}

pub async fn delete(
    extract::State(state): extract::State<State>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
) -> Answer {
    let operator = access::check(&state.tokens, &headers, Role::Write)?;
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
    let committed = run(&state, &operation, &[], &edit).await?;
    if committed.changes.is_empty() {
        return Err(Refusal::new(error::Kind::NotFound, format!("there is no {id}")));
    }
    Ok(Json(summary(&operation, &committed)).into_response())
}

/// Gives the id that a path names.
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
    access::digest(&text).into()
}

async fn run(
    state: &State,
    operation: &Operation,
    items: &[Item],
    edit: commit::Edit<'_>,
) -> Result<Committed, Refusal> {
    let result = commit::commit(&state.client, operation, edit).await;
    match &result {
        Ok(committed) => {
            log::info!(
                "operator: {} by {} gives revision {}{}",
                operation.id,
                operation.operator,
                committed.revision,
                if committed.repeated { " (repeated)" } else { "" }
            );
            record(state, operation, committed);
            (state.committed)(committed.revision);
        }
        Err(failure) => {
            log::warn!("operator: {} by {} failed: {failure}", operation.id, operation.operator);
        }
    }
    result.map_err(|failure| Refusal::commit(&failure, items))
}

/// Puts each accepted change on the timeline.
fn record(state: &State, operation: &Operation, committed: &Committed) {
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

async fn preview(state: &State, items: &[Item], now_ms: u64) -> Answer {
    let base = commit::read_base(&state.client)
        .await
        .map_err(|failure| Error::new(error::Kind::PlatformDown, failure.to_string()))?;
    let catalog =
        edit::apply(&base, items, now_ms).map_err(|failure| Refusal::commit(&failure, items))?;
    let changes = commit::changes(&base.catalog, &catalog);
    let body = json!({
        "dry_run": true,
        "revision": base.catalog.revision,
        "changes": difference(&base.catalog, &catalog, &changes),
    });
    Ok(Json(body).into_response())
}

fn difference(old: &Catalog, new: &Catalog, changes: &[Change]) -> Vec<Value> {
    changes.iter().map(|change| view::change(old, new, change, 0)).collect()
}

fn summary(operation: &Operation, committed: &Committed) -> Value {
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
