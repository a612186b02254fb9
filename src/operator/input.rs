//! Parses the bodies and headers of operator requests.

use std::sync::Arc;

use axum::body::Body;
use bytes::Bytes;
use http::{HeaderMap, header};
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::document::Mistake;
use crate::error::{Error, Kind};
use crate::operator::MAX_BODY_BYTES;
use crate::operator::edit::{ABSENT_VERSION, Upsert};
use crate::operator::view::ErrorResponse;
use crate::resource;

/// File name reported in mistakes if the request names no file.
const REQUEST_FILE: &str = "request";
/// Longest operation id; the id becomes part of a row key.
const MAX_OPERATION_BYTES: usize = 64;

/// Requests that a set of declarations be applied atomically.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    pub operation: Option<Arc<str>>,
    /// Whether to return the changes without applying them.
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
    /// File that the operator wrote the declaration in, reported in mistakes.
    file: Option<Arc<str>>,
    /// Line in `file`, counted from 1.
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

/// Reads a whole request body of at most `MAX_BODY_BYTES`.
pub async fn read_body(body: Body) -> Result<Bytes, Error> {
    axum::body::to_bytes(body, MAX_BODY_BYTES).await.map_err(|_| {
        Error::new(
            Kind::TooLarge,
            format!("the body is incomplete or exceeds {MAX_BODY_BYTES} bytes"),
        )
    })
}

pub fn parse_json<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, ErrorResponse> {
    serde_json::from_slice(body).map_err(|error| {
        let message = error.to_string();
        let mistake = Mistake {
            file: REQUEST_FILE.into(),
            line: error.line().max(1),
            field: String::new(),
            message,
        };
        ErrorResponse::from_mistakes(&[mistake])
    })
}

/// Parses all declarations of a request; fails with all mistakes found.
pub fn parse_declarations(declarations: &[Declaration]) -> Result<Vec<Upsert>, ErrorResponse> {
    let mut upserts = Vec::new();
    let mut mistakes = Vec::new();
    for (index, declaration) in declarations.iter().enumerate() {
        match parse_declaration(declaration) {
            Ok(upsert) => upserts.extend(upsert),
            Err(found) if declaration.file.is_some() => mistakes.extend(found),
            Err(found) => mistakes.extend(found.into_iter().map(|mistake| {
                let field = format!("resources[{index}].{}", mistake.field);
                Mistake { field: field.trim_end_matches('.').to_owned(), ..mistake }
            })),
        }
    }
    if mistakes.is_empty() { Ok(upserts) } else { Err(ErrorResponse::from_mistakes(&mistakes)) }
}

/// Parses a declaration with `resource::parse`, so that it is checked like a declaration file.
fn parse_declaration(declaration: &Declaration) -> Result<Option<Upsert>, Vec<Mistake>> {
    let file = declaration.file.clone().unwrap_or_else(|| REQUEST_FILE.into());
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
    let mut fields = declaration.spec.clone();
    fields.insert("kind".to_owned(), declaration.kind.clone().into());
    fields.insert("name".to_owned(), declaration.name.clone().into());
    let text = Value::Object(fields).to_string();
    let mut parsed = resource::parse(&file, &text).map_err(|found| {
        found.into_iter().map(|found| Mistake { line, ..found }).collect::<Vec<_>>()
    })?;
    let expected = declaration.resource_version;
    let upsert = parsed.pop();
    Ok(upsert.map(|found| Upsert { id: found.id, spec: found.spec, expected, file, line }))
}

/// Returns the row version that the request requires with `If-Match` or `If-None-Match: *`; `None`
/// without these headers.
pub fn expected_version(headers: &HeaderMap) -> Result<Option<u64>, Error> {
    let text = |name| headers.get(name).map(|value| value.to_str().unwrap_or("").trim());
    if let Some(value) = text(header::IF_NONE_MATCH) {
        return match value {
            "*" => Ok(Some(ABSENT_VERSION)),
            _ => Err(Error::new(Kind::BadRequest, "If-None-Match must be *")),
        };
    }
    let Some(value) = text(header::IF_MATCH) else { return Ok(None) };
    let version = value.trim_matches('"').parse().map_err(|_| {
        Error::new(Kind::BadRequest, "If-Match must be the resource_version of the resource")
    })?;
    Ok(Some(version))
}

/// Returns the operation id from the body or from `Idempotency-Key`, or else generates one.
pub fn operation_id(headers: &HeaderMap, body: Option<Arc<str>>) -> Result<Arc<str>, Error> {
    let header = headers.get("idempotency-key").map(|value| value.to_str().unwrap_or(""));
    let Some(id) = body.or_else(|| header.map(Arc::from)) else {
        return Ok(format!("auto-{:032x}", rand::random::<u128>()).into());
    };
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if id.is_empty() || id.len() > MAX_OPERATION_BYTES || !id.bytes().all(is_allowed) {
        let detail = "an operation id has 1 to 64 letters, digits, '-', '_' or '.'";
        return Err(Error::new(Kind::BadRequest, detail));
    }
    Ok(id)
}
