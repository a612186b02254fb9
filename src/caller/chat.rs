//! Chat completions: parsing, admission, and the response as an event stream or as one JSON object.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::Request;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, Visitor};
use tokio::time::Instant;

use super::{Context, authenticate, body, draft, event, pump, target};
use crate::admission::controller;
use crate::error::{Error, Kind, Result};
use crate::node::Node;
use crate::resource::{Protocol, Service};
use crate::stream::drain;
use crate::stream::{self, Finish};

/// Request header with which a caller resumes a stream after its connection broke.
const LAST_EVENT_ID: &str = "last-event-id";
/// Time reserved for sending a response to its caller before the process exits.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// Longest delay of a response until a peer holds a copy of its stream; covers two peers that do
/// not respond.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);
/// Output tokens that admission expects when the caller sets no `max_tokens`.
const DEFAULT_EXPECTED_TOKENS: u32 = 256;

/// Fields of a chat request that the relay needs; the engine parses the rest of the body.
#[derive(Debug, PartialEq, Eq)]
pub struct Fields {
    pub model: String,
    pub stream: bool,
    pub max_tokens: Option<u32>,
}

/// Answers `POST /v1/chat/completions`.
pub async fn handle(node: &Arc<Node>, id: Arc<str>, request: Request) -> Result<Response> {
    let context = authenticate(node, id, request.headers())?;
    let (parts, body) = request.into_parts();
    if let Some(last_event_id) = parts.headers.get(LAST_EVENT_ID) {
        return resume(node, &context, last_event_id).await;
    }
    let body = body::read(node, &parts, body, &context.workspace).await?;
    let text = std::str::from_utf8(&body)
        .map_err(|_| Error::new(Kind::BadRequest, "the body is not valid UTF-8"))?;
    let fields = parse(text)?;
    let service = model_service(&context, &fields.model)?;
    if !target::has_endpoint(node, &context.catalog, &fields.model) {
        let detail = format!("model {} has no endpoint at the moment", fields.model);
        return Err(Error::new(Kind::NoEndpoint, detail));
    }
    let (permit, request) = admit(node, &context, &fields, service, text).await?;
    if draft::is_requested(&parts.headers) {
        return draft::accept(node, permit, request).await;
    }
    let accepted = accept(node, permit, request)?;
    if !fields.stream {
        return full_response(node, accepted).await;
    }
    wait_for_copy(node, &accepted).await;
    stream_response(accepted, 0).await
}

/// Waits until a peer holds a copy of the request. A caller that has received the first event has
/// an id to resume with, which is useless if this VM dies while it is the only one that knows the
/// stream.
async fn wait_for_copy(node: &Node, entry: &stream::Entry) {
    if drain::copy_candidates(node, &entry.request.id).is_empty() {
        return;
    }
    if tokio::time::timeout(COPY_TIMEOUT, entry.copied()).await.is_err() {
        log::warn!("stream: {} starts without a copy at a peer", entry.request.id);
    }
}

/// Parses the fields that the relay needs and checks that the whole body is valid JSON.
pub fn parse(text: &str) -> Result<Fields> {
    serde_json::from_str(text).map_err(|error| {
        Error::new(Kind::BadRequest, format!("the body is not a valid chat request: {error}"))
    })
}

fn model_service<'a>(context: &'a Context, model: &str) -> Result<&'a Service> {
    let service =
        context.catalog.service(model).filter(|service| service.protocol == Protocol::Model);
    service.ok_or_else(|| Error::new(Kind::NotFound, format!("there is no model \"{model}\"")))
}

/// Waits for admission and builds the request to put into the journal.
async fn admit(
    node: &Arc<Node>,
    context: &Context,
    fields: &Fields,
    service: &Service,
    text: &str,
) -> Result<(controller::Permit, stream::Request)> {
    let name: Arc<str> = fields.model.as_str().into();
    let work = fields.max_tokens.unwrap_or(DEFAULT_EXPECTED_TOKENS);
    let permit = tokio::select! {
        permit = context.admit(node, &name, service, work) => permit?,
        () = drain::wait_for_hand_over(node) => {
            return Err(Error::new(Kind::Stopping, "this entry VM is shutting down"));
        }
    };
    let remaining = context.deadline(service.deadline_ms).saturating_duration_since(Instant::now());
    let request = stream::Request {
        id: context.id.clone(),
        workspace: context.workspace.clone(),
        service: name,
        body: text.into(),
        priority: context.priority,
        deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        draft: false,
    };
    Ok((permit, request))
}

/// Opens the journal entry and starts the stream. The request is accepted once the entry is open.
pub fn accept(
    node: &Arc<Node>,
    permit: controller::Permit,
    request: stream::Request,
) -> Result<Arc<stream::Entry>> {
    let entry = node.journal.open(request, Vec::new()).ok_or_else(|| {
        Error::new(Kind::Overloaded, "too many streams are open on this entry VM")
    })?;
    entry.become_primary();
    // The copy is sent while the endpoint computes the first token, so it does not add to that
    // time.
    let (copy_node, copy_entry) = (node.clone(), entry.clone());
    tokio::spawn(async move { drain::place_copy(&copy_node, &copy_entry).await });
    let (node, run_entry) = (node.clone(), entry.clone());
    tokio::spawn(async move {
        pump::run(node, run_entry.clone()).await;
        if matches!(run_entry.finish(), Some(Finish::Complete { .. })) {
            permit.complete();
        }
    });
    Ok(entry)
}

async fn resume(
    node: &Arc<Node>,
    context: &Context,
    last_event_id: &HeaderValue,
) -> Result<Response> {
    let parsed = last_event_id.to_str().ok().and_then(stream::parse_event_id);
    let (id, offset) = parsed.ok_or_else(|| {
        Error::new(Kind::BadRequest, "the Last-Event-ID is not a valid event id of this service")
    })?;
    let entry = stream::remote::find(node, id).await?;
    if entry.request.workspace != context.workspace {
        return Err(Error::new(Kind::StreamGone, "the stream is no longer known"));
    }
    stream_response(entry, offset).await
}

/// Waits for the first tokens or the end of the stream before it responds, so that a failure before
/// any token is reported as an HTTP error.
async fn stream_response(entry: Arc<stream::Entry>, offset: u64) -> Result<Response> {
    let encoder = event::Encoder::new(entry.request.id.clone(), entry.request.service.clone());
    let mut reader = entry.reader(offset);
    let part = reader.next().await;
    if let Some(Finish::Failed { kind, detail }) = &part.finish
        && part.tokens.is_empty()
        && offset == 0
    {
        return Err(Error::new(*kind, &**detail));
    }
    let first = if part.moved && part.tokens.is_empty() && part.finish.is_none() {
        // This may be the first event that the caller receives, so it carries the id to resume
        // with.
        encoder.encode_position(offset)
    } else {
        encoder.encode(offset, &part)
    };
    let body = event::body(reader, encoder, first, part.finish.is_some());
    let headers = [
        (header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream")),
        (header::CACHE_CONTROL, HeaderValue::from_static("no-cache")),
    ];
    Ok((StatusCode::OK, headers, body).into_response())
}

async fn full_response(node: &Arc<Node>, entry: Arc<stream::Entry>) -> Result<Response> {
    let reader = entry.reader(0);
    let finish = entry.wait().await;
    drop(reader);
    let result = match finish {
        Some(finish) => Some((entry.tokens(), finish)),
        None => stream::remote::read_rest(node, &entry, node.drain_deadline() - FLUSH_TIME).await,
    };
    match result {
        None => Ok(moved_response(&entry.request.id)),
        Some((tokens, Finish::Complete { reason, usage })) => {
            let (id, model) = (&entry.request.id, &entry.request.service);
            let body = event::completion(id, model, &tokens.concat(), &reason, &usage);
            Ok(axum::Json(body).into_response())
        }
        Some((_, Finish::Failed { kind, detail })) => Err(Error::new(kind, &*detail)),
    }
}

/// Refuses a request for a full response whose stream moved, with the event id by which any other
/// entry VM resumes it.
fn moved_response(id: &str) -> Response {
    let last_event_id = format!("{id}.-1");
    let detail = format!("resume with Last-Event-ID: {last_event_id}");
    let mut response = Error::new(Kind::StreamMoved, detail).into_response();
    if let Ok(value) = HeaderValue::from_str(&last_event_id) {
        response.headers_mut().insert(LAST_EVENT_ID, value);
    }
    response
}

/// Returns the text of all messages, from which prompts with a common prefix are recognised.
pub fn prompt_text(body: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    let messages = value["messages"].as_array().map(Vec::as_slice).unwrap_or_default();
    let mut text = String::new();
    for message in messages {
        if let Some(content) = message["content"].as_str() {
            text.push_str(content);
            text.push('\n');
        }
    }
    text
}

/// Builds the request body for an engine from the caller's fields. It always requests a stream,
/// which continues after `tokens` if there are any.
pub fn engine_body(entry: &stream::Entry, tokens: &[Arc<str>]) -> Bytes {
    let parsed = serde_json::from_str(&entry.request.body);
    let Ok(serde_json::Value::Object(mut fields)) = parsed else { return Bytes::new() };
    fields.insert("stream".to_owned(), true.into());
    fields.insert("priority".to_owned(), entry.request.priority.into());
    if !tokens.is_empty() {
        let tokens: Vec<&str> = tokens.iter().map(|token| &**token).collect();
        let resume = serde_json::json!({ "offset": tokens.len(), "tokens": tokens });
        fields.insert("resume".to_owned(), resume);
    }
    Bytes::from(serde_json::Value::Object(fields).to_string())
}

impl<'de> Deserialize<'de> for Fields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Fields, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object with \"model\" and \"messages\"")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> std::result::Result<Fields, A::Error> {
        let mut model = None;
        let mut stream = false;
        let mut messages = false;
        let mut max_tokens = None;
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "model" => model = Some(map.next_value()?),
                "stream" => stream = map.next_value::<Option<bool>>()?.unwrap_or(false),
                "max_tokens" => max_tokens = map.next_value()?,
                "messages" => {
                    map.next_value::<Vec<IgnoredAny>>()?;
                    messages = true;
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        if !messages {
            return Err(serde::de::Error::missing_field("messages"));
        }
        let model = model.ok_or_else(|| serde::de::Error::missing_field("model"))?;
        Ok(Fields { model, stream, max_tokens })
    }
}
