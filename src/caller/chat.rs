//! Chat completions: parsing, acceptance, and the answer as a stream or in one piece.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::Request;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, Visitor};
use tokio::time::Instant;

use super::{Context, body, draft, event, identify, pump, target};
use crate::admission::controller;
use crate::error::{Error, Kind, Result};
use crate::node::Node;
use crate::resource::{Protocol, Service};
use crate::stream::drain;
use crate::stream::{self, Finish};

/// Names the header by which a caller goes on with a stream whose connection broke.
const LAST_EVENT_ID: &str = "last-event-id";
/// Time in which an answer still reaches its caller before the process ends.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Longest time for which an answer that could begin waits for its copy: two silent peers.
const COPY_PATIENCE: Duration = Duration::from_millis(500);
/// Length of an answer for which the caller set no limit, as admission expects it.
const EXPECTED_TOKENS: u32 = 256;

/// Holds what the relay itself needs from the body; the engine reads the rest.
#[derive(Debug, PartialEq, Eq)]
pub struct Head {
    pub model: String,
    pub stream: bool,
    pub max_tokens: Option<u32>,
}

/// Answers `POST /v1/chat/completions`.
pub async fn handle(node: &Arc<Node>, id: Arc<str>, request: Request) -> Result<Response> {
    let context = identify(node, id, request.headers())?;
    let (parts, body) = request.into_parts();
    if let Some(last) = parts.headers.get(LAST_EVENT_ID) {
        return resume(node, &context, last).await;
    }
    let body = body::read(body, &node.settings.limits).await?;
    let text = std::str::from_utf8(&body)
        .map_err(|_| Error::new(Kind::BadRequest, "the body is not valid UTF-8"))?;
    let head = parse(text)?;
    let service = model_service(&context, &head.model)?;
    if !target::exists(node, &context.catalog, &head.model) {
        let detail = format!("model {} has no endpoint now", head.model);
        return Err(Error::new(Kind::NoEndpoint, detail));
    }
    let (permit, request) = admitted(node, &context, &head, service, text).await?;
    if draft::is_wanted(&parts.headers) {
        return draft::accept(node, permit, request).await;
    }
    let accepted = accept(node, permit, request)?;
    if !head.stream {
        return answer_whole(node, accepted).await;
    }
    wait_for_copy(node, &accepted).await;
    answer_stream(accepted, 0).await
}

/// Waits until a peer holds the prompt: a caller that has seen the beginning of an answer has an id
/// to resume with, which means nothing if this VM dies as the only one that knows it.
async fn wait_for_copy(node: &Node, entry: &stream::Entry) {
    if drain::copy_candidates(node, &entry.request.id).is_empty() {
        return;
    }
    if tokio::time::timeout(COPY_PATIENCE, entry.copied()).await.is_err() {
        log::warn!("stream: {} begins without a copy at a peer", entry.request.id);
    }
}

/// Reads the fields that the relay needs and checks that the rest is valid JSON.
pub fn parse(text: &str) -> Result<Head> {
    serde_json::from_str(text).map_err(|error| {
        Error::new(Kind::BadRequest, format!("the body is not a chat request: {error}"))
    })
}

fn model_service<'a>(context: &'a Context, model: &str) -> Result<&'a Service> {
    let service =
        context.catalog.service(model).filter(|service| service.protocol == Protocol::Model);
    service.ok_or_else(|| Error::new(Kind::NotFound, format!("there is no model \"{model}\"")))
}

/// Waits for admission.
async fn admitted(
    node: &Arc<Node>,
    context: &Context,
    head: &Head,
    service: &Service,
    text: &str,
) -> Result<(controller::Permit, stream::Request)> {
    let name: Arc<str> = head.model.as_str().into();
    let work = head.max_tokens.unwrap_or(EXPECTED_TOKENS);
    let permit = tokio::select! {
        permit = context.admit(node, &name, service, work) => permit?,
        () = drain::wait_for_hand_over(node) => {
            return Err(Error::new(Kind::Stopping, "this entry VM is shutting down"));
        }
    };
    let left = context.deadline(service.deadline_ms).saturating_duration_since(Instant::now());
    let request = stream::Request {
        id: context.id.clone(),
        workspace: context.workspace.clone(),
        service: name,
        body: text.into(),
        priority: context.priority,
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        draft: false,
    };
    Ok((permit, request))
}

/// Opens the journal entry; from here on the request is accepted.
pub fn accept(
    node: &Arc<Node>,
    permit: controller::Permit,
    request: stream::Request,
) -> Result<Arc<stream::Entry>> {
    let entry = node.journal.open(request, Vec::new()).ok_or_else(|| {
        Error::new(Kind::Overloaded, "too many streams are open on this entry VM")
    })?;
    entry.become_primary();
    // Placed while the endpoint works on the first token, so that it adds nothing to that time.
    let (copying, copied) = (node.clone(), entry.clone());
    tokio::spawn(async move { drain::place_copy(&copying, &copied).await });
    let (node, carried) = (node.clone(), entry.clone());
    tokio::spawn(async move {
        pump::carry(node, carried.clone()).await;
        if matches!(carried.finish(), Some(Finish::Complete { .. })) {
            permit.complete();
        }
    });
    Ok(entry)
}

async fn resume(node: &Arc<Node>, context: &Context, last: &HeaderValue) -> Result<Response> {
    let parsed = last.to_str().ok().and_then(stream::parse_event_id);
    let (id, offset) = parsed.ok_or_else(|| {
        Error::new(Kind::BadRequest, "the Last-Event-ID is not one of this service")
    })?;
    let entry = stream::remote::find(node, id).await?;
    if entry.request.workspace != context.workspace {
        return Err(Error::new(Kind::StreamGone, "the stream is not known any more"));
    }
    answer_stream(entry, offset).await
}

/// Waits for the first step, so that a failure before any token is an HTTP error.
async fn answer_stream(entry: Arc<stream::Entry>, offset: u64) -> Result<Response> {
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
        // The caller has seen no event yet, so it learns here with which id it can resume.
        encoder.position(offset)
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

async fn answer_whole(node: &Arc<Node>, entry: Arc<stream::Entry>) -> Result<Response> {
    let reader = entry.reader(0);
    let finish = entry.wait().await;
    drop(reader);
    let ended = match finish {
        Some(finish) => Some((entry.tokens(), finish)),
        None => stream::remote::read_rest(node, &entry, node.drain_deadline() - ANSWER_TIME).await,
    };
    match ended {
        None => Ok(moved(&entry.request.id)),
        Some((tokens, Finish::Complete { reason, usage })) => {
            let (id, model) = (&entry.request.id, &entry.request.service);
            let body = event::completion(id, model, &tokens.concat(), &reason, &usage);
            Ok(axum::Json(body).into_response())
        }
        Some((_, Finish::Failed { kind, detail })) => Err(Error::new(kind, &*detail)),
    }
}

/// Tells the caller of a whole answer that any other entry VM gives it for an event id.
fn moved(id: &str) -> Response {
    let last = format!("{id}.-1");
    let detail = format!("resume with Last-Event-ID: {last}");
    let mut response = Error::new(Kind::StreamMoved, detail).into_response();
    if let Ok(value) = HeaderValue::from_str(&last) {
        response.headers_mut().insert(LAST_EVENT_ID, value);
    }
    response
}

/// Gives the text of all messages, by which prompts with the same beginning are recognised.
pub fn prompt(body: &str) -> String {
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

/// Builds the body for an engine: the caller's fields, always as a stream, from an offset on.
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

impl<'de> Deserialize<'de> for Head {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Head, D::Error> {
        deserializer.deserialize_map(HeadVisitor)
    }
}

struct HeadVisitor;

impl<'de> Visitor<'de> for HeadVisitor {
    type Value = Head;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object with \"model\" and \"messages\"")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> std::result::Result<Head, A::Error> {
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
        Ok(Head { model, stream, max_tokens })
    }
}
