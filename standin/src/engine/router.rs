//! HTTP routes of the engine that belong to its published protocol.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::cache;
use super::control;
use super::scheduler;
use super::stream::{self, Lane, Stream};
use super::{Engine, Faults};

const BODY_BYTES: usize = 16 << 20;
const REQUEST_ID: &str = "x-request-id";
const COMPLETIONS: &str = "/v1/chat/completions";

/// Tokens of an answer when the request does not say.
const MAX_TOKENS: u64 = 16;

type Shared = State<Arc<Engine>>;

pub(super) fn router(engine: Arc<Engine>) -> Router {
    Router::new()
        .route(COMPLETIONS, post(complete))
        .route("/cancel/{id}", post(cancel))
        .route("/state/{id}", get(export).put(import))
        .route("/events", get(events))
        .route("/load", get(load))
        .route("/orders", post(control::order))
        .route("/healthz", get(|| async { "ok" }))
        .route("/control/faults", post(control::set_faults))
        .route("/control/counters", get(control::counters))
        .route("/control/orders", get(control::orders))
        .layer(DefaultBodyLimit::max(BODY_BYTES))
        .with_state(engine)
}

#[derive(Debug, Deserialize)]
struct Message {
    /// Text, or parts of any shape, whose JSON then counts as the text.
    #[serde(default)]
    content: Value,
}

impl Message {
    fn text(&self) -> String {
        self.content.as_str().map_or_else(|| self.content.to_string(), str::to_owned)
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Resume {
    offset: u64,
    tokens: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    model: String,
    messages: Vec<Message>,
    /// Counts from the start of the answer, also when it is resumed.
    max_tokens: Option<u64>,
    /// Larger numbers run first.
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    resume: Resume,
}

async fn complete(
    State(engine): Shared,
    headers: HeaderMap,
    Json(completion): Json<Completion>,
) -> Response {
    let number = engine.requests.fetch_add(1, Ordering::Relaxed) + 1;
    let (running, queued) = engine.scheduler().load();
    let busy = (running + queued) as u64;
    let faults = engine.faults().clone();
    let faults = match faults.scope.covers(COMPLETIONS, &completion.model, busy, number) {
        true => faults,
        false => Faults::default(),
    };
    let id = headers.get(REQUEST_ID).and_then(|id| id.to_str().ok());
    let id: Arc<str> = id.map_or_else(|| format!("engine-{number}").into(), Arc::from);
    let shown: Arc<str> = match engine.dice.hit(faults.wrong_id) {
        true => engine.scheduler().other_id(&id).unwrap_or_else(|| "crossed".into()),
        false => Arc::clone(&id),
    };
    let mut response = if engine.dice.hit(faults.fail_share) {
        engine.failed.fetch_add(1, Ordering::Relaxed);
        let body = json!({ "error": "failed as configured" });
        (StatusCode::INTERNAL_SERVER_ERROR, Json(body)).into_response()
    } else if completion.resume.offset != completion.resume.tokens.len() as u64 {
        (StatusCode::BAD_REQUEST, "resume.offset differs from the number of tokens").into_response()
    } else {
        let stream = open(&engine, number, id, &shown, completion, &faults);
        let lane = Lane { engine: Arc::clone(&engine), stream: Arc::clone(&stream) };
        engine.start(stream);
        let event_stream = [(CONTENT_TYPE, "text/event-stream")];
        (event_stream, stream::body(lane)).into_response()
    };
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(&shown) {
        headers.insert(REQUEST_ID, id);
    }
    if let Ok(load) = HeaderValue::from_str(&format!("{running},{queued}")) {
        headers.insert("x-load", load);
    }
    response
}

fn open(
    engine: &Engine,
    number: u64,
    id: Arc<str>,
    shown: &str,
    completion: Completion,
    faults: &Faults,
) -> Arc<Stream> {
    let contents: Vec<String> = completion.messages.iter().map(Message::text).collect();
    let prompt = contents.join("\n");
    let seed = stream::seed(&prompt);
    let offset = completion.resume.offset;
    let tokens = completion.resume.tokens.iter().zip(0..);
    if tokens.into_iter().any(|(token, index)| *token != stream::token(seed, index)) {
        engine.mismatches.fetch_add(1, Ordering::Relaxed);
    }
    Arc::new(Stream {
        number,
        id,
        shown_id: stream::quoted(shown),
        prompt: prompt.into(),
        seed,
        offset,
        end: completion.max_tokens.unwrap_or(MAX_TOKENS).max(offset),
        priority: completion.priority,
        slow: faults.slow.max(0.0),
        truncate_at: faults.truncate_after.map(|after| offset + after),
        truncate_abort: faults.truncate_abort,
        due: AtomicU64::new(offset),
        sent: AtomicU64::new(offset),
        cancelled: AtomicBool::new(false),
        cached: AtomicU64::new(0),
        recomputed: AtomicU64::new(0),
        wake: Notify::new(),
    })
}

async fn cancel(State(engine): Shared, Path(id): Path<String>) -> Json<Value> {
    let scheduler = engine.scheduler();
    let mut cancelled = 0;
    for stream in scheduler.streams().filter(|stream| *stream.id == *id) {
        stream.cancelled.store(true, Ordering::Release);
        stream.wake.notify_one();
        cancelled += 1;
    }
    Json(json!({ "cancelled": cancelled }))
}

/// Holds the exported state of a stream; the hashes stand for the real state.
#[derive(Debug, Serialize, Deserialize)]
struct Exported {
    id: String,
    offset: u64,
    words: u64,
    blocks: Vec<String>,
}

async fn export(State(engine): Shared, Path(id): Path<String>) -> Response {
    let Some(stream) = engine.scheduler().find(&id).cloned() else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let offset = stream.sent.load(Ordering::Relaxed);
    let text = scheduler::answered(&stream, offset);
    let words: Vec<&str> = text.split_whitespace().collect();
    let blocks = cache::blocks(&words);
    transfer(&engine, blocks.len()).await;
    let blocks = blocks.iter().map(|block| format!("{block:016x}")).collect();
    Json(Exported { id, offset, words: words.len() as u64, blocks }).into_response()
}

/// Takes the time that moving the state of so many blocks needs.
async fn transfer(engine: &Engine, blocks: usize) {
    tokio::time::sleep(super::millis(engine.options.state_ms * blocks as f64)).await;
}

async fn import(
    State(engine): Shared,
    Path(id): Path<String>,
    Json(state): Json<Exported>,
) -> StatusCode {
    let blocks: Result<Vec<u64>, _> =
        state.blocks.iter().map(|block| u64::from_str_radix(block, 16)).collect();
    let Ok(blocks) = blocks else { return StatusCode::BAD_REQUEST };
    transfer(&engine, blocks.len()).await;
    engine.scheduler().import(&id, state.words, &blocks, Instant::now());
    StatusCode::OK
}

#[derive(Debug, Deserialize)]
struct Since {
    #[serde(default)]
    since: u64,
}

async fn events(State(engine): Shared, Query(from): Query<Since>) -> Json<Value> {
    let lag = Duration::from_millis(engine.options.event_lag_ms);
    let mut events = engine.scheduler().cache.events(from.since, Instant::now(), lag);
    let next = events.last().map_or(from.since, |event| event.sequence);
    events.retain(|event| !engine.dice.hit_at(engine.options.event_loss, event.sequence));
    Json(json!({ "next": next, "events": events }))
}

async fn load(State(engine): Shared) -> Json<Value> {
    let lag = Duration::from_millis(engine.options.load_lag_ms);
    let (running, queued) = engine.scheduler().lagged_load(Instant::now(), lag);
    Json(json!({ "running": running, "queued": queued, "slots": engine.options.slots }))
}
