//! Reads the bodies, headers and queries of operator requests.

use std::sync::Arc;

use axum::body::Body;
use bytes::Bytes;
use http::{HeaderMap, header};
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::document::Mistake;
use crate::error::{Error, Kind};
use crate::operator::BODY_BYTES;
use crate::operator::edit::{ABSENT, Item};
use crate::operator::view::Refusal;
use crate::resource;

/// Names the file in mistakes of a request that does not name one.
const REQUEST: &str = "request";
/// Longest operation id; it becomes part of a row key.
const OPERATION_BYTES: usize = 64;

/// Asks for a set of declarations to take effect together.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    pub operation: Option<Arc<str>>,
    /// Asks only for the difference.
    #[serde(default)]
    pub dry_run: bool,
    pub resources: Vec<Declaration>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    kind: String,
    name: String,
    spec: Map<String, Value>,
    resource_version: Option<u64>,
    /// Place in the operator's file, repeated in mistakes.
    file: Option<Arc<str>>,
    line: Option<usize>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    pub operation: Option<Arc<str>>,
    spec: Map<String, Value>,
    resource_version: Option<u64>,
}

impl Put {
    pub fn into_declaration(self, kind: &str, name: &str, expected: Option<u64>) -> Declaration {
        Declaration {
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: self.spec,
            resource_version: expected.or(self.resource_version),
            file: None,
            line: None,
        }
    }
}

/// Reads a whole body within `BODY_BYTES`.
pub async fn read_body(body: Body) -> Result<Bytes, Error> {
    axum::body::to_bytes(body, BODY_BYTES).await.map_err(|_| {
        Error::new(Kind::TooLarge, format!("the body is not complete within {BODY_BYTES} bytes"))
    })
}

pub fn parse<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| {
        let message = error.to_string();
        let mistake = Mistake {
            file: REQUEST.into(),
            line: error.line().max(1),
            field: String::new(),
            message,
        };
        Refusal::mistakes(&[mistake])
    })
}

/// Checks all declarations of a set; fails with every mistake found.
pub fn items(declarations: &[Declaration]) -> Result<Vec<Item>, Refusal> {
    let mut items = Vec::new();
    let mut mistakes = Vec::new();
    for (index, declaration) in declarations.iter().enumerate() {
        match item(declaration) {
            Ok(item) => items.extend(item),
            Err(found) if declaration.file.is_some() => mistakes.extend(found),
            Err(found) => mistakes.extend(found.into_iter().map(|mistake| {
                let field = format!("resources[{index}].{}", mistake.field);
                Mistake { field: field.trim_end_matches('.').to_owned(), ..mistake }
            })),
        }
    }
    if mistakes.is_empty() { Ok(items) } else { Err(Refusal::mistakes(&mistakes)) }
}

/// Reads a declaration with the reader of declaration files, so that both have the same checks.
fn item(declaration: &Declaration) -> Result<Option<Item>, Vec<Mistake>> {
    let file = declaration.file.clone().unwrap_or_else(|| REQUEST.into());
    let line = declaration.line.unwrap_or(1);
    let mistake = |field: &str, message: &str| Mistake {
        file: file.clone(),
        line,
        field: field.to_owned(),
        message: message.to_owned(),
    };
    let reserved = ["kind", "name"].into_iter().filter(|name| declaration.spec.contains_key(*name));
    let reserved: Vec<_> = reserved.map(|name| mistake(name, "is not a known field")).collect();
    if !reserved.is_empty() {
        return Err(reserved);
    }
    let mut flat = declaration.spec.clone();
    flat.insert("kind".to_owned(), declaration.kind.clone().into());
    flat.insert("name".to_owned(), declaration.name.clone().into());
    let text = Value::Object(flat).to_string();
    let mut declared = resource::parse(&file, &text).map_err(|found| {
        found.into_iter().map(|found| Mistake { line, ..found }).collect::<Vec<_>>()
    })?;
    let expected = declaration.resource_version;
    let item = declared.pop();
    Ok(item.map(|found| Item { id: found.id, spec: found.spec, expected, file, line }))
}

/// Gives the row version that the request demands with `If-Match` or `If-None-Match: *`.
pub fn expected_version(headers: &HeaderMap) -> Result<Option<u64>, Error> {
    let text = |name| headers.get(name).map(|value| value.to_str().unwrap_or("").trim());
    if let Some(value) = text(header::IF_NONE_MATCH) {
        return match value {
            "*" => Ok(Some(ABSENT)),
            _ => Err(Error::new(Kind::BadRequest, "If-None-Match must be *")),
        };
    }
    let Some(value) = text(header::IF_MATCH) else { return Ok(None) };
    let version = value.trim_matches('"').parse().map_err(|_| {
        Error::new(Kind::BadRequest, "If-Match must be the resource_version of the resource")
    })?;
    Ok(Some(version))
}

/// Gives the operation id of the body or of `Idempotency-Key`; makes one up otherwise.
pub fn operation_id(headers: &HeaderMap, body: Option<Arc<str>>) -> Result<Arc<str>, Error> {
    let header = headers.get("idempotency-key").map(|value| value.to_str().unwrap_or(""));
    let Some(id) = body.or_else(|| header.map(Arc::from)) else {
        return Ok(format!("auto-{:032x}", rand::random::<u128>()).into());
    };
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if id.is_empty() || id.len() > OPERATION_BYTES || !id.bytes().all(allowed) {
        let detail = "an operation id has 1 to 64 letters, digits, '-', '_' or '.'";
        return Err(Error::new(Kind::BadRequest, detail));
    }
    Ok(id)
}
