//! Usage: `standin service [--listen IP:PORT]`
//!
//! Stand-in for a plain booking service that counts how often it has run each operation.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use argh::FromArgs;
use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures_util::{StreamExt, stream};
use http::header::{ALLOW, CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::fault::{self, Dice, Scope};
use crate::serve;

const BODY_BYTES: usize = 16 << 20;
const REQUEST_ID: &str = "x-request-id";

/// stand-in for a plain booking service
#[derive(Debug, Clone, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct Options {
    /// address to listen on
    #[argh(option, default = "Options::default().listen")]
    pub listen: SocketAddr,
    /// seed of the draws for shares of faults
    #[argh(option, default = "Options::default().seed")]
    pub seed: u64,
    /// faults from the start, as the JSON of POST /control/faults
    #[argh(option, default = "Options::default().faults")]
    pub faults: String,
}

impl Default for Options {
    fn default() -> Options {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        Options { listen, seed: 1, faults: "{}".to_owned() }
    }
}

#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Selects the requests to which the other fields apply.
    scope: Scope,
    /// Delays the answer by this many milliseconds; the operation runs before the delay.
    delay_ms: u64,
    /// Answers this share with 500; the operation does not run.
    #[serde(deserialize_with = "fault::share")]
    fail_share: f64,
    /// Closes the connections of this share of requests without running the operation.
    #[serde(deserialize_with = "fault::share")]
    drop_before: f64,
    /// Runs the operation, then closes the connection without an answer, for this share.
    #[serde(deserialize_with = "fault::share")]
    drop_after: f64,
    /// Closes the connection halfway through the body of this share of answers.
    #[serde(deserialize_with = "fault::share")]
    truncate: f64,
    /// Echoes another request id in this share of answers.
    #[serde(deserialize_with = "fault::share")]
    wrong_id: f64,
}

#[derive(Debug, Default)]
struct Book {
    faults: Faults,
    executions: BTreeMap<String, u64>,
    last_id: Option<HeaderValue>,
}

#[derive(Debug)]
struct Service {
    dice: Dice,
    requests: AtomicU64,
    running: AtomicU64,
    book: Mutex<Book>,
}

type Shared = State<Arc<Service>>;

impl Service {
    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives the faults that apply to a request, or none when it is out of their scope.
    fn faults(&self, path: &str, running: u64) -> Faults {
        let number = self.requests.fetch_add(1, Ordering::Relaxed) + 1;
        let faults = self.book().faults.clone();
        match faults.scope.covers(path, "", running, number) {
            true => faults,
            false => Faults::default(),
        }
    }
}

/// Counts a request as running until it is dropped, also when the client has gone away.
#[derive(Debug)]
struct Running<'a>(&'a AtomicU64);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Binds the listen address, announces it and serves.
pub async fn execute(options: Options) -> io::Result<()> {
    run(serve::bind(options.listen).await?, options).await
}

/// Serves on the listener until the task is dropped; fails when the faults of the options are wrong.
pub async fn run(listener: TcpListener, options: Options) -> io::Result<()> {
    let faults = serde_json::from_str(&options.faults)?;
    let service = Arc::new(Service {
        dice: Dice::new(options.seed),
        requests: AtomicU64::new(0),
        running: AtomicU64::new(0),
        book: Mutex::new(Book { faults, ..Book::default() }),
    });
    let router = Router::new()
        .route("/healthz", get(|| async { "ok" }))
        .route("/control/executions", get(executions))
        .route("/control/faults", post(set_faults))
        .fallback(operate)
        .layer(DefaultBodyLimit::max(BODY_BYTES))
        .with_state(service);
    serve::serve(listener, router).await
}

async fn executions(State(service): Shared) -> Json<BTreeMap<String, u64>> {
    Json(service.book().executions.clone())
}

async fn set_faults(State(service): Shared, Json(patch): Json<Value>) -> Response {
    fault::update(&mut service.book().faults, patch)
}

async fn operate(
    State(service): Shared,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let running = service.running.fetch_add(1, Ordering::Relaxed);
    let guard = Running(&service.running);
    let faults = service.faults(uri.path(), running);
    let dice = &service.dice;
    if dice.hit(faults.drop_before) {
        return serve::abort();
    }
    let (status, answer) = match () {
        () if dice.hit(faults.fail_share) => {
            (StatusCode::INTERNAL_SERVER_ERROR, json!({ "error": "failed as configured" }))
        }
        () => answer(&service, &method, uri.path(), &headers, &body),
    };
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    drop(guard);
    if dice.hit(faults.drop_after) {
        return serve::abort();
    }
    let mut response = match dice.hit(faults.truncate) {
        true => truncated(status, &answer),
        false => (status, Json(answer)).into_response(),
    };
    if method == Method::OPTIONS {
        let allowed = HeaderValue::from_static("GET, HEAD, POST, PUT, DELETE, OPTIONS");
        response.headers_mut().insert(ALLOW, allowed);
    }
    if let Some(id) = echoed(&service, &headers, dice.hit(faults.wrong_id)) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Runs the operation of a request that changes something, and describes the result.
fn answer(
    service: &Service,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    body: &Bytes,
) -> (StatusCode, Value) {
    if method.is_safe() {
        let order = path.strip_prefix("/orders/").unwrap_or(path);
        let executions = service.book().executions.get(order).copied().unwrap_or(0);
        return (StatusCode::OK, json!({ "id": order, "executions": executions }));
    }
    let operation = operation(headers, body);
    let mut book = service.book();
    let executions = book.executions.entry(operation.clone()).or_default();
    *executions += 1;
    let answer = json!({ "operation": operation, "executions": *executions, "path": path });
    (StatusCode::CREATED, answer)
}

fn operation(headers: &HeaderMap, body: &Bytes) -> String {
    let header = headers.get("x-operation").and_then(|value| value.to_str().ok());
    if let Some(name) = header {
        return name.to_owned();
    }
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    body["operation"].as_str().unwrap_or("unnamed").to_owned()
}

/// Gives the id to echo: that of this request, or for a crossed answer that of the request before.
fn echoed(service: &Service, headers: &HeaderMap, wrong: bool) -> Option<HeaderValue> {
    let id = headers.get(REQUEST_ID).cloned()?;
    let before = service.book().last_id.replace(id.clone());
    match wrong {
        true => before.filter(|before| *before != id).or(Some(HeaderValue::from_static("other"))),
        false => Some(id),
    }
}

/// Declares the full length but closes the connection after half of the body.
fn truncated(status: StatusCode, answer: &Value) -> Response {
    let full = answer.to_string();
    let half = Bytes::copy_from_slice(&full.as_bytes()[..full.len() / 2]);
    let parts = [Ok(half), Err(io::Error::other("truncated as configured"))];
    // Pending before each part lets the server flush the first before it closes.
    let parts = stream::iter(parts).then(|part| async {
        tokio::task::yield_now().await;
        part
    });
    let mut response = Response::new(Body::from_stream(parts));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CONTENT_LENGTH, HeaderValue::from(full.len()));
    response
}
