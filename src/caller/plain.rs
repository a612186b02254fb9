//! Plain services: pass-through, retries of idempotent requests, at-most-once for keyed ones.

mod lookup;

use std::sync::Arc;
use std::time::Duration;

use axum::extract::Request;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use http_body_util::Full;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use super::target::{self, Flight, Trouble, Wish};
use super::{Context, body, identify};
use crate::admission::controller;
use crate::claim::{self, attempt};
use crate::endpoint::answer::{self, Answer, Fault, REQUEST_ID};
use crate::endpoint::pool;
use crate::error::{Error, Kind, Result, Run};
use crate::node::Node;

/// Names the header by which a caller makes a non-idempotent request repeatable.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Tells endpoints which workspace sent a request.
pub const WORKSPACE: &str = "x-workspace";
/// Longest idempotency key, in bytes.
const KEY_BYTES: usize = 256;
/// Endpoints tried for a request that provably did not reach the one before.
const ENDPOINTS_TRIED: usize = 4;
/// An endpoint that got less time than this before the deadline is not blamed for a missing answer.
const FAIR_WAIT: Duration = Duration::from_millis(250);
/// Work of one plain request in the unit of admission.
const WORK: u32 = 1;

/// Headers that belong to one connection; RFC 9110, section 7.6.1.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Holds a request as every attempt sends it.
#[derive(Debug)]
struct Call {
    service: Arc<str>,
    method: Method,
    /// Declared path that matches, by which evidence is kept apart.
    route: Arc<str>,
    /// Path below the service, with the query.
    path: String,
    headers: HeaderMap,
    body: Bytes,
    deadline: Instant,
}

/// Answers `/{service}/...`.
pub async fn handle(node: &Arc<Node>, id: Arc<str>, request: Request) -> Result<Response> {
    let context = identify(node, id, request.headers())?;
    let (parts, body) = request.into_parts();
    let (name, path) = split(parts.uri.path());
    let service = context
        .catalog
        .service(name)
        .ok_or_else(|| Error::new(Kind::NotFound, format!("there is no service \"{name}\"")))?;
    let key = idempotency_key(&parts.headers)?;
    let body = body::read(body, &node.settings.limits).await?;
    let query = parts.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let call = Call {
        service: name.into(),
        route: service.route(&parts.method, path).map_or("/".into(), |route| route.path.clone()),
        path: format!("{path}{query}"),
        headers: forward_headers(&parts.headers, &context),
        deadline: context.deadline(service.deadline_ms),
        method: parts.method,
        body,
    };
    let idempotent = service.is_idempotent(&call.method, path);
    let permit = match context.admit(node, &call.service, service, WORK).await {
        Ok(permit) => permit,
        Err(error) => {
            // A repeat of a request that was run needs no endpoint, only its recorded answer.
            let key = key.filter(|_| !idempotent).ok_or_else(|| error.clone())?;
            let claim = call.claim(&context, key);
            let recorded = attempt::read_answer(&node.client, &claim.key, &claim.digest).await;
            return Ok(respond(replay(&recorded.ok_or(error)?)?));
        }
    };
    let key = key.map(str::to_owned);
    let work = run(node.clone(), context, call, idempotent, key, permit);
    let result = if idempotent {
        work.await
    } else {
        // A request that changes something is finished and recorded although its caller may have
        // gone: the caller can repeat it elsewhere under the same key and gets the answer.
        let failed = |_| Err(Error::new(Kind::Internal, "the request was interrupted"));
        tokio::spawn(work).await.unwrap_or_else(failed)
    };
    Ok(respond(result?))
}

async fn run(
    node: Arc<Node>,
    context: Context,
    call: Call,
    idempotent: bool,
    key: Option<String>,
    permit: controller::Permit,
) -> Result<Answer> {
    let (node, context) = (&node, &context);
    // Admission predicts from the time that endpoints take. A request that was not sent, for instance
    // during an outage of the platform, would teach it to refuse requests after the outage.
    let mut sent = true;
    let result = match key {
        _ if idempotent => lookup::repeat(node, context, &call).await,
        Some(key) => match enter(node, context, &call, &key).await {
            Ok(attempt::Claim::Started(started)) => run_once(node, context, &call, started).await,
            Ok(attempt::Claim::Recorded(recorded)) => {
                sent = false;
                replay(&recorded)
            }
            Err(error) => {
                sent = false;
                Err(error)
            }
        },
        None => send_once(node, context, &call).await.map_err(|fault| refuse(&fault)),
    };
    if sent && !result.as_ref().is_err_and(|error| error.run() == Run::No) {
        permit.complete();
    }
    let label = result.as_ref().map_or_else(|error| error.kind.entry().name, |_| "complete");
    node.metrics.requests.with_label_values(&[&*call.service, label]).inc();
    result
}

impl Call {
    fn wish(&self, context: &Context) -> Wish {
        let hash = xxh3::xxh3_64(context.id.as_bytes());
        Wish::new(self.service.clone(), self.route.clone(), hash)
    }

    fn claim(&self, context: &Context, key: &str) -> attempt::Attempt {
        attempt::Attempt {
            key: claim::row_key(&context.workspace, &self.service, key),
            id: context.id.clone(),
            digest: claim::digest(self.method.as_str(), &self.path, &self.body),
            deadline: self.deadline,
        }
    }
}

fn split(path: &str) -> (&str, &str) {
    let rest = path.strip_prefix('/').unwrap_or(path);
    match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= KEY_BYTES => Ok(Some(key)),
        _ => {
            let detail = format!("the idempotency key must have 1 to {KEY_BYTES} visible bytes");
            Err(Error::new(Kind::BadRequest, detail))
        }
    }
}

/// Sends a request at most once; only what provably did not run goes to another endpoint.
async fn send_once(
    node: &Arc<Node>,
    context: &Context,
    call: &Call,
) -> std::result::Result<Answer, Fault> {
    let mut wish = call.wish(context);
    let mut last = Fault::NotRun("no endpoint could be reached".to_owned());
    for _ in 0..ENDPOINTS_TRIED {
        let Ok(flight) = target::choose(node, &context.catalog, &wish) else { break };
        wish.exclude.push(flight.vm.clone());
        match send(node, context, call, flight, pool::STRICT_PROBE_AFTER).await {
            Err(Fault::NotRun(reason)) => last = Fault::NotRun(reason),
            other => return other,
        }
    }
    Err(last)
}

async fn enter(
    node: &Arc<Node>,
    context: &Context,
    call: &Call,
    key: &str,
) -> Result<attempt::Claim> {
    attempt::claim(&node.client, &node.batcher, call.claim(context, key)).await
}

async fn run_once(
    node: &Arc<Node>,
    context: &Context,
    call: &Call,
    started: attempt::Execution,
) -> Result<Answer> {
    match send_once(node, context, call).await {
        Ok(answer) => {
            started.record(&node.batcher, record(&answer)).await;
            Ok(answer)
        }
        Err(fault) => {
            match &fault {
                Fault::NotRun(_) => started.release(&node.batcher).await,
                _ => started.record_lost(&node.batcher),
            }
            Err(refuse(&fault))
        }
    }
}

async fn send(
    node: &Arc<Node>,
    context: &Context,
    call: &Call,
    flight: Flight,
    proof: Duration,
) -> std::result::Result<Answer, Fault> {
    let began = Instant::now();
    let result = exchange(node, context, call, &flight, proof).await;
    let rushed = Instant::now() >= call.deadline && began.elapsed() < FAIR_WAIT;
    match &result {
        // What was left of the time, for instance by a slow platform, proves nothing against the
        // endpoint or its version; dropping the flight counts it as cancelled.
        Err(_) if rushed => drop(flight),
        Ok(answer) => {
            flight.load(&answer.headers);
            let failed = answer.status.is_client_error() || answer.status.is_server_error();
            flight.succeeded(failed, began.elapsed(), None);
        }
        Err(Fault::NotRun(_) | Fault::Unknown(_)) => flight.failed(Trouble::Connection),
        Err(Fault::Incomplete(_) | Fault::TooLarge) => flight.failed(Trouble::Answer),
    }
    result
}

async fn exchange(
    node: &Arc<Node>,
    context: &Context,
    call: &Call,
    flight: &Flight,
    proof: Duration,
) -> std::result::Result<Answer, Fault> {
    let mut request = http::Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() =
        call.path.parse().map_err(|_| Fault::NotRun("the path is not valid".to_owned()))?;
    *request.headers_mut() = call.headers.clone();
    let host = HeaderValue::from_str(&flight.address.to_string());
    if let (Ok(host), Ok(id)) = (host, HeaderValue::from_str(&context.id)) {
        request.headers_mut().insert(header::HOST, host);
        request.headers_mut().insert(REQUEST_ID, id);
    }
    let pool = node.directory.pool(flight.address);
    let limit = node.settings.limits.answer_bytes;
    answer::exchange(&pool, request, limit, proof, call.deadline).await
}

fn refuse(fault: &Fault) -> Error {
    match fault {
        Fault::NotRun(reason) => Error::new(Kind::NoEndpoint, reason),
        Fault::Unknown(reason) => Error::new(Kind::OutcomeUnknown, reason),
        Fault::Incomplete(reason) => Error::new(Kind::AnswerIncomplete, reason),
        Fault::TooLarge => Error::new(Kind::AnswerTooLarge, "the answer is too large to relay"),
    }
}

fn forward_headers(headers: &HeaderMap, context: &Context) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    // The token identifies the workspace here and is of no use to an endpoint.
    forwarded.remove(header::AUTHORIZATION);
    forwarded.remove(header::CONTENT_LENGTH);
    forwarded.remove(header::EXPECT);
    if let Ok(workspace) = HeaderValue::from_str(&context.workspace) {
        forwarded.insert(WORKSPACE, workspace);
    }
    forwarded.append(header::VIA, HeaderValue::from_static("1.1 pomelolink"));
    forwarded
}

/// Copies headers without those that belong to one connection.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let text = name.as_str();
        if !HOP_BY_HOP.contains(&text) && !named.iter().any(|named| named == text) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

fn respond(answer: Answer) -> Response {
    let mut headers = end_to_end(&answer.headers);
    headers.remove(header::CONTENT_LENGTH);
    let mut response = (answer.status, answer.body).into_response();
    response.headers_mut().remove(header::CONTENT_TYPE);
    response.headers_mut().extend(headers);
    response
}

fn record(answer: &Answer) -> claim::Answer {
    let headers = end_to_end(&answer.headers);
    let headers = headers.iter().filter(|(name, _)| *name != REQUEST_ID);
    let headers = headers.filter_map(|(name, value)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    });
    claim::Answer {
        status: answer.status.as_u16(),
        headers: headers.collect(),
        body: claim::hex(&answer.body),
    }
}

fn replay(recorded: &claim::Answer) -> Result<Answer> {
    let broken = || Error::new(Kind::OutcomeUnknown, "the recorded answer is broken");
    let mut headers = HeaderMap::new();
    for (name, value) in &recorded.headers {
        let name: HeaderName = name.parse().map_err(|_| broken())?;
        headers.append(name, value.parse().map_err(|_| broken())?);
    }
    let status = StatusCode::from_u16(recorded.status).map_err(|_| broken())?;
    let body = claim::unhex(&recorded.body).ok_or_else(broken)?;
    Ok(Answer { status, headers, body: body.into() })
}
