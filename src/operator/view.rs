//! JSON representations of resources, conflicts and errors on the operator interface.

use axum::Json;
use axum::extract::rejection::QueryRejection;
use axum::response::{IntoResponse, Response};
use http::HeaderValue;
use http::header::RETRY_AFTER;
use serde_json::{Value, json};

use crate::document::Mistake;
use crate::error::{Advice, Error, Kind, RUN_HEADER};
use crate::operator::edit::Upsert;
use crate::resource::{Catalog, Id, Phase, Resource, Spec};
use crate::revision::commit::{Base, Change, Conflict, Failure};

/// Holds an error with the details that an operator needs to correct it.
#[derive(Debug)]
pub struct ErrorResponse {
    pub error: Error,
    /// Additional top-level fields of the response, for instance `mistakes` or `conflicts`.
    pub extra_fields: Value,
}

impl ErrorResponse {
    pub fn new(kind: Kind, detail: impl Into<String>) -> ErrorResponse {
        ErrorResponse { error: Error::new(kind, detail), extra_fields: json!({}) }
    }

    pub fn from_mistakes(mistakes: &[Mistake]) -> ErrorResponse {
        let detail = format!("{} mistake(s); nothing was applied", mistakes.len());
        let list: Vec<Value> = mistakes.iter().map(mistake_json).collect();
        let error = Error::new(Kind::BadRequest, detail);
        ErrorResponse { error, extra_fields: json!({ "mistakes": list }) }
    }

    /// Converts the failure of a commit; mistakes name the file and line of the matching upsert.
    pub fn from_commit(failure: &Failure, upserts: &[Upsert]) -> ErrorResponse {
        let kind = match failure {
            Failure::Refused(faults) => {
                let mistakes: Vec<Mistake> = faults
                    .iter()
                    .map(|fault| {
                        let source = upserts.iter().rfind(|upsert| upsert.id == fault.id);
                        let (file, line) = match source {
                            Some(upsert) => (upsert.file.clone(), upsert.line),
                            None => (format!("configuration {}", fault.id).into(), 1),
                        };
                        let field = fault.field.to_owned();
                        Mistake { file, line, field, message: fault.message.clone() }
                    })
                    .collect();
                return ErrorResponse::from_mistakes(&mistakes);
            }
            Failure::Conflict(conflicts) => {
                let list: Vec<Value> = conflicts.iter().map(conflict_json).collect();
                let error = Error::new(Kind::Conflict, failure.to_string());
                return ErrorResponse { error, extra_fields: json!({ "conflicts": list }) };
            }
            Failure::Mismatch => Kind::KeyMismatch,
            Failure::Contention => Kind::Overloaded,
            Failure::NotApplied(_) => Kind::PlatformDown,
            Failure::Unknown(_) => Kind::OutcomeUnknown,
        };
        ErrorResponse::new(kind, failure.to_string())
    }
}

impl From<QueryRejection> for ErrorResponse {
    fn from(rejection: QueryRejection) -> ErrorResponse {
        ErrorResponse::new(Kind::BadRequest, rejection.body_text())
    }
}

impl From<Error> for ErrorResponse {
    fn from(error: Error) -> ErrorResponse {
        ErrorResponse { error, extra_fields: json!({}) }
    }
}

impl IntoResponse for ErrorResponse {
    fn into_response(self) -> Response {
        let answer = self.error.kind.entry();
        let mut body = self.extra_fields;
        body["error"] = json!({
            "kind": answer.name,
            "message": self.error.detail,
            "run": answer.run.as_str(),
        });
        let mut retry_after = None;
        if let Advice::RetryAfter(millis) = answer.advice {
            body["error"]["retry_after_ms"] = millis.into();
            retry_after = Some(HeaderValue::from(millis.div_ceil(1_000)));
        }
        let mut response = (answer.status, Json(body)).into_response();
        let headers = response.headers_mut();
        headers.insert(RUN_HEADER, HeaderValue::from_static(answer.run.as_str()));
        headers.extend(retry_after.map(|retry_after| (RETRY_AFTER, retry_after)));
        response
    }
}

fn mistake_json(mistake: &Mistake) -> Value {
    json!({
        "file": mistake.file,
        "line": mistake.line,
        "field": mistake.field,
        "message": mistake.message,
    })
}

fn conflict_json(conflict: &Conflict) -> Value {
    let current = conflict
        .current
        .as_ref()
        .map(|(found, version)| resource_json(&conflict.id, found, *version));
    json!({ "kind": conflict.id.kind, "name": conflict.id.name, "current": current })
}

/// Returns the fields of a spec as in a declaration, without its kind and without unset fields.
pub fn spec_json(spec: &Spec) -> Value {
    let value = match spec {
        Spec::Workspace(spec) => serde_json::to_value(spec),
        Spec::Pool(spec) => serde_json::to_value(spec),
        Spec::Service(spec) => serde_json::to_value(spec),
        Spec::Version(spec) => serde_json::to_value(spec),
        Spec::Move(spec) => serde_json::to_value(spec),
    };
    let mut value = value.unwrap_or_default();
    remove_nulls(&mut value);
    value
}

fn remove_nulls(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, value| !value.is_null());
            fields.values_mut().for_each(remove_nulls);
        }
        Value::Array(elements) => elements.iter_mut().for_each(remove_nulls),
        _ => {}
    }
}

/// Returns a resource with its conditions; version 0 means that the row version is unknown.
pub fn resource_json(id: &Id, resource: &Resource, version: u64) -> Value {
    let mut status = json!({ "conditions": [condition_json(resource)] });
    if let Some(serving) = &resource.status.serving {
        status["serving"] = json!(serving);
    }
    if let Some(progress) = &resource.status.progress {
        status["share_permille"] = progress.share_permille.into();
        status["accepted_ms"] = progress.accepted_ms.into();
    }
    json!({
        "kind": id.kind,
        "name": id.name,
        "spec": spec_json(&resource.spec),
        "status": status,
        "generation": resource.generation,
        "resource_version": (version > 0).then_some(version),
    })
}

fn condition_json(resource: &Resource) -> Value {
    let Some(progress) = &resource.status.progress else {
        return json!({ "type": "done", "reason": "accepted" });
    };
    let kind = match progress.phase {
        Phase::InProgress => "in_progress",
        Phase::Done => "done",
        Phase::Reverted => "reverted",
    };
    json!({ "type": kind, "reason": progress.reason, "time_ms": progress.changed_ms })
}

/// Returns the resources of the base whose id satisfies `keep`.
pub fn resources_json(base: &Base, keep: impl Fn(&Id) -> bool) -> Vec<Value> {
    let found = base.catalog.resources.iter().filter(|(id, _)| keep(id));
    found
        .map(|(id, found)| resource_json(id, found, base.versions.get(id).copied().unwrap_or(0)))
        .collect()
}

/// Returns one change with the fields that differ; `version` is the row version of the new
/// resource, or 0 if the change is not committed or the version is unknown.
pub fn change_json(old: &Catalog, new: &Catalog, change: &Change, version: u64) -> Value {
    let before = old.resources.get(&change.id);
    let after = new.resources.get(&change.id);
    let mut fields = Vec::new();
    let old_spec = before.map(|found| spec_json(&found.spec)).unwrap_or_default();
    let new_spec = after.map(|found| spec_json(&found.spec)).unwrap_or_default();
    collect_field_changes("", &old_spec, &new_spec, &mut fields);
    json!({
        "action": change.action,
        "kind": change.id.kind,
        "name": change.id.name,
        "fields": fields,
        "resource": after.map(|found| resource_json(&change.id, found, version)),
    })
}

fn collect_field_changes(path: &str, old: &Value, new: &Value, fields: &mut Vec<Value>) {
    if let (Value::Object(before), Value::Object(after)) = (old, new) {
        let added = after.keys().filter(|name| !before.contains_key(*name));
        for name in before.keys().chain(added) {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            collect_field_changes(&path, &old[name], &new[name], fields);
        }
    } else if old != new && !path.is_empty() {
        fields.push(json!({ "field": path, "old": old, "new": new }));
    } else if old.is_object() != new.is_object() {
        let empty_object = Value::Object(serde_json::Map::new());
        let (old, new) = if old.is_object() { (old, &empty_object) } else { (&empty_object, new) };
        collect_field_changes(path, old, new, fields);
    }
}
