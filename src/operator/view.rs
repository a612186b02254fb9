//! JSON forms of resources, conflicts and refusals on the operator interface.

use axum::Json;
use axum::extract::rejection::QueryRejection;
use axum::response::{IntoResponse, Response};
use http::HeaderValue;
use http::header::RETRY_AFTER;
use serde_json::{Value, json};

use crate::document::Mistake;
use crate::error::{Advice, Error, Kind, RUN_HEADER};
use crate::operator::edit::Item;
use crate::resource::{Catalog, Id, Phase, Resource, Spec};
use crate::revision::commit::{Base, Change, Conflict, Failure};

/// Carries an error together with what an operator needs to correct it.
#[derive(Debug)]
pub struct Refusal {
    pub error: Error,
    /// Further top-level fields of the answer, for instance `mistakes` or `conflicts`.
    pub extra: Value,
}

impl Refusal {
    pub fn new(kind: Kind, detail: impl Into<String>) -> Refusal {
        Refusal { error: Error::new(kind, detail), extra: json!({}) }
    }

    pub fn mistakes(mistakes: &[Mistake]) -> Refusal {
        let detail = format!("{} mistake(s); nothing was applied", mistakes.len());
        let list: Vec<Value> = mistakes.iter().map(mistake).collect();
        let error = Error::new(Kind::BadRequest, detail);
        Refusal { error, extra: json!({ "mistakes": list }) }
    }

    /// Explains why a commit failed; `items` give the places of the declarations.
    pub fn commit(failure: &Failure, items: &[Item]) -> Refusal {
        let kind = match failure {
            Failure::Refused(faults) => {
                let mistakes: Vec<Mistake> = faults
                    .iter()
                    .map(|fault| {
                        let place = items.iter().rfind(|item| item.id == fault.id);
                        let (file, line) = match place {
                            Some(item) => (item.file.clone(), item.line),
                            None => (format!("configuration {}", fault.id).into(), 1),
                        };
                        let field = fault.field.to_owned();
                        Mistake { file, line, field, message: fault.message.clone() }
                    })
                    .collect();
                return Refusal::mistakes(&mistakes);
            }
            Failure::Conflict(conflicts) => {
                let list: Vec<Value> = conflicts.iter().map(conflict).collect();
                let error = Error::new(Kind::Conflict, failure.to_string());
                return Refusal { error, extra: json!({ "conflicts": list }) };
            }
            Failure::Mismatch => Kind::KeyMismatch,
            Failure::Contention => Kind::Overloaded,
            Failure::NotApplied(_) => Kind::PlatformDown,
            Failure::Unknown(_) => Kind::OutcomeUnknown,
        };
        Refusal::new(kind, failure.to_string())
    }
}

impl From<QueryRejection> for Refusal {
    fn from(rejection: QueryRejection) -> Refusal {
        Refusal::new(Kind::BadRequest, rejection.body_text())
    }
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Refusal {
        Refusal { error, extra: json!({}) }
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let answer = self.error.kind.answer();
        let mut body = self.extra;
        body["error"] = json!({
            "kind": answer.name,
            "message": self.error.detail,
            "run": answer.run.as_str(),
        });
        let mut wait = None;
        if let Advice::After(millis) = answer.advice {
            body["error"]["retry_after_ms"] = millis.into();
            wait = Some(HeaderValue::from(millis.div_ceil(1_000)));
        }
        let mut response = (answer.status, Json(body)).into_response();
        let headers = response.headers_mut();
        headers.insert(RUN_HEADER, HeaderValue::from_static(answer.run.as_str()));
        headers.extend(wait.map(|wait| (RETRY_AFTER, wait)));
        response
    }
}

fn mistake(mistake: &Mistake) -> Value {
    json!({
        "file": mistake.file,
        "line": mistake.line,
        "field": mistake.field,
        "message": mistake.message,
    })
}

fn conflict(conflict: &Conflict) -> Value {
    let current =
        conflict.current.as_ref().map(|(found, version)| resource(&conflict.id, found, *version));
    json!({ "kind": conflict.id.kind, "name": conflict.id.name, "current": current })
}

/// Gives the fields of a spec without its kind and without unset fields, as in a declaration.
pub fn spec(spec: &Spec) -> Value {
    let value = match spec {
        Spec::Workspace(spec) => serde_json::to_value(spec),
        Spec::Pool(spec) => serde_json::to_value(spec),
        Spec::Service(spec) => serde_json::to_value(spec),
        Spec::Version(spec) => serde_json::to_value(spec),
        Spec::Move(spec) => serde_json::to_value(spec),
    };
    let mut value = value.unwrap_or_default();
    strip_unset(&mut value);
    value
}

fn strip_unset(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, value| !value.is_null());
            fields.values_mut().for_each(strip_unset);
        }
        Value::Array(items) => items.iter_mut().for_each(strip_unset),
        _ => {}
    }
}

/// Gives a resource with its conditions; version 0 stands for "not known".
pub fn resource(id: &Id, resource: &Resource, version: u64) -> Value {
    let mut status = json!({ "conditions": [condition(resource)] });
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
        "spec": spec(&resource.spec),
        "status": status,
        "generation": resource.generation,
        "resource_version": (version > 0).then_some(version),
    })
}

fn condition(resource: &Resource) -> Value {
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

/// Gives the resources of a catalog, restricted by `keep`.
pub fn resources(base: &Base, keep: impl Fn(&Id) -> bool) -> Vec<Value> {
    let found = base.catalog.resources.iter().filter(|(id, _)| keep(id));
    found
        .map(|(id, found)| resource(id, found, base.versions.get(id).copied().unwrap_or(0)))
        .collect()
}

/// Gives one change with the fields that differ; `version` is 0 unless the change is committed.
pub fn change(old: &Catalog, new: &Catalog, change: &Change, version: u64) -> Value {
    let before = old.resources.get(&change.id);
    let after = new.resources.get(&change.id);
    let mut fields = Vec::new();
    let old_spec = before.map(|found| spec(&found.spec)).unwrap_or_default();
    let new_spec = after.map(|found| spec(&found.spec)).unwrap_or_default();
    differences("", &old_spec, &new_spec, &mut fields);
    json!({
        "action": change.action,
        "kind": change.id.kind,
        "name": change.id.name,
        "fields": fields,
        "resource": after.map(|found| resource(&change.id, found, version)),
    })
}

fn differences(path: &str, old: &Value, new: &Value, fields: &mut Vec<Value>) {
    if let (Value::Object(before), Value::Object(after)) = (old, new) {
        let added = after.keys().filter(|name| !before.contains_key(*name));
        for name in before.keys().chain(added) {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            differences(&path, &old[name], &new[name], fields);
        }
    } else if old != new && !path.is_empty() {
        fields.push(json!({ "field": path, "old": old, "new": new }));
    } else if old.is_object() != new.is_object() {
        let empty = Value::Object(serde_json::Map::new());
        let (old, new) = if old.is_object() { (old, &empty) } else { (&empty, new) };
        differences(path, old, new, fields);
    }
}
