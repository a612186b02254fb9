//! Plain services: forwards requests, retries idempotent ones and runs those with an idempotency
//! key at most once.

mod idempotent;

use std::sync::Arc;
use std::time::Duration;

use axum::extract::Request;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use http_body_util::Full;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use super::target::{self, Attempt, Criteria, Failure};
use super::{Context, authenticate, body};
use crate::admission::controller;
use crate::claim::{self, attempt};
use crate::endpoint::answer::{self, Answer, Fault, REQUEST_ID};
use crate::endpoint::pool;
use crate::error::{Error, Kind, Result, Run};
use crate::node::Node;

/// Request header with which a caller makes a non-idempotent request safe to repeat.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header that passes the workspace of a request to the endpoint.
pub const WORKSPACE: &str = "x-workspace";
/// Largest length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Largest number of endpoints tried for a request that is not idempotent. It goes to another
/// endpoint only if it provably did not run.
const MAX_ENDPOINTS: usize = 4;
/// A missing answer counts as a failure of the endpoint only if the endpoint had at least this time
/// before the deadline.
const MIN_FAILURE_WAIT: Duration = Duration::from_millis(250);
/// Work of one plain request, in the unit of its service's admission.
const WORK_PER_REQUEST: u32 = 1;

/// Hop-by-hop headers, which are not forwarded; RFC 9110, section 7.6.1.
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

/// A request in the form in which every attempt sends it.
#[derive(Debug)]
struct Call {
    service: Arc<str>,
    method: Method,
    /// Declared path template that matches; rollout evidence is kept per route.
    route: Arc<str>,
    /// Path without the service name, with the query.
    path: String,
    headers: HeaderMap,
    body: Bytes,
    deadline: Instant,
}

/// Handles requests for `/{service}/...`.
pub async fn handle(node: &Arc<Node>, id: Arc<str>, request: Request) -> Result<Response> {
    let context = authenticate(node, id, request.headers())?;
    let (parts, body) = request.into_parts();
    let (name, path) = split_service(parts.uri.path());
    let service = context
        .catalog
        .service(name)
        .ok_or_else(|| Error::new(Kind::NotFound, format!("there is no service \"{name}\"")))?;
    let key = idempotency_key(&parts.headers)?;
    let body = body::read(node, &parts, body, &context.workspace).await?;
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
    let is_idempotent = service.is_idempotent(&call.method, path);
    let permit = match context.admit(node, &call.service, service, WORK_PER_REQUEST).await {
        Ok(permit) => permit,
        Err(error) => {
            // If the key's request ran earlier, its recorded answer is returned without an
            // endpoint.
            let key = key.filter(|_| !is_idempotent).ok_or_else(|| error.clone())?;
            let claim = call.claim(&context, key);
            let recorded = attempt::read_answer(&node.client, &claim.key, &claim.digest).await;
            return Ok(respond(recorded_response(&recorded.ok_or(error)?)?));
        }
    };
    let key = key.map(str::to_owned);
    let work = run(node.clone(), context, call, is_idempotent, key, permit);
    let result = if is_idempotent {
        work.await
    } else {
        // A request that is not idempotent is finished and recorded even if its caller disconnects,
        // so that the caller can repeat it at another entry VM with the same key and receive the
        // answer.
        let failed = |_| Err(Error::new(Kind::Internal, "the request task was interrupted"));
        tokio::spawn(work).await.unwrap_or_else(failed)
    };
    Ok(respond(result?))
}

async fn run(
    node: Arc<Node>,
    context: Context,
    call: Call,
    is_idempotent: bool,
    key: Option<String>,
    permit: controller::Permit,
) -> Result<Answer> {
    let (node, context) = (&node, &context);
    // Admission predicts from the response times of endpoints. If it counted a request that was not
    // sent, for instance during an outage of the platform, it would refuse requests after the
    // outage.
    let mut is_sent = true;
    let result = match key {
        _ if is_idempotent => idempotent::send_with_retries(node, context, &call).await,
        Some(key) => match claim_key(node, context, &call, &key).await {
            Ok(attempt::Claim::Started(claim)) => run_claimed(node, context, &call, claim).await,
            Ok(attempt::Claim::Recorded(recorded)) => {
                is_sent = false;
                recorded_response(&recorded)
            }
            Err(error) => {
                is_sent = false;
                Err(error)
            }
        },
        None => send_at_most_once(node, context, &call).await.map_err(|fault| fault_error(&fault)),
    };
    if is_sent && !result.as_ref().is_err_and(|error| error.run() == Run::No) {
        permit.complete();
    }
    let label = result.as_ref().map_or_else(|error| error.kind.entry().name, |_| "complete");
    node.metrics.requests.with_label_values(&[&*call.service, label]).inc();
    result
}

impl Call {
    fn criteria(&self, context: &Context) -> Criteria {
        let hash = xxh3::xxh3_64(context.id.as_bytes());
        Criteria::new(self.service.clone(), self.route.clone(), hash)
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

fn split_service(path: &str) -> (&str, &str) {
    let rest = path.strip_prefix('/').unwrap_or(path);
    match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key)),
        _ => {
            let detail = format!(
                "the idempotency key must have 1 to {MAX_KEY_BYTES} visible ASCII characters"
            );
            Err(Error::new(Kind::BadRequest, detail))
        }
    }
}

/// Sends a request so that it runs at most once: it goes to another endpoint only if it provably
/// did not run.
async fn send_at_most_once(
    node: &Arc<Node>,
    context: &Context,
    call: &Call,
) -> std::result::Result<Answer, Fault> {
    let mut criteria = call.criteria(context);
    let mut last = Fault::NotRun("no endpoint could be reached".to_owned());
    for _ in 0..MAX_ENDPOINTS {
        let Ok(target_attempt) = target::choose(node, &context.catalog, &criteria) else { break };
        criteria.exclude.push(target_attempt.vm.clone());
        match send(node, context, call, target_attempt, pool::STRICT_PROBE_AFTER).await {
            Err(Fault::NotRun(reason)) => last = Fault::NotRun(reason),
            other => return other,
        }
    }
    Err(last)
}

async fn claim_key(
    node: &Arc<Node>,
    context: &Context,
    call: &Call,
    key: &str,
) -> Result<attempt::Claim> {
    attempt::claim(&node.client, &node.batcher, call.claim(context, key)).await
}

async fn run_claimed(
    node: &Arc<Node>,
    context: &Context,
    call: &Call,
    execution: attempt::Execution,
) -> Result<Answer> {
    match send_at_most_once(node, context, call).await {
        Ok(answer) => {
            execution.record(&node.batcher, claim_answer(&answer)).await;
            Ok(answer)
        }
        Err(fault) => {
            match &fault {
                Fault::NotRun(_) => execution.release(&node.batcher).await,
                _ => execution.record_lost(&node.batcher),
            }
            Err(fault_error(&fault))
        }
    }
}

async fn send(
    node: &Arc<Node>,
    context: &Context,
    call: &Call,
    target_attempt: Attempt,
    probe_after: Duration,
) -> std::result::Result<Answer, Fault> {
    let started = Instant::now();
    let result = exchange(node, context, call, &target_attempt, probe_after).await;
    let is_cut_short = Instant::now() >= call.deadline && started.elapsed() < MIN_FAILURE_WAIT;
    match &result {
        // The endpoint had too little time, for instance because the platform was slow, which is no
        // evidence against the endpoint or its version. Dropping the attempt counts it as
        // cancelled.
        Err(_) if is_cut_short => drop(target_attempt),
        Ok(answer) => {
            target_attempt.record_load(&answer.headers);
            let failed = answer.status.is_client_error() || answer.status.is_server_error();
            target_attempt.succeeded(failed, started.elapsed(), None);
        }
        Err(Fault::NotRun(_) | Fault::Unknown(_)) => target_attempt.failed(Failure::Connection),
        Err(Fault::Incomplete(_) | Fault::TooLarge) => target_attempt.failed(Failure::Answer),
    }
    result
}

async fn exchange(
    node: &Arc<Node>,
    context: &Context,
    call: &Call,
    target_attempt: &Attempt,
    probe_after: Duration,
) -> std::result::Result<Answer, Fault> {
    let mut request = http::Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() =
        call.path.parse().map_err(|_| Fault::NotRun("the path is not valid".to_owned()))?;
    *request.headers_mut() = call.headers.clone();
    let host = HeaderValue::from_str(&target_attempt.address.to_string());
    if let (Ok(host), Ok(id)) = (host, HeaderValue::from_str(&context.id)) {
        request.headers_mut().insert(header::HOST, host);
        request.headers_mut().insert(REQUEST_ID, id);
    }
    let pool = node.directory.pool(target_attempt.address);
    let limit = node.settings.limits.answer_bytes;
    answer::exchange(&pool, request, limit, probe_after, call.deadline).await
}

fn fault_error(fault: &Fault) -> Error {
    match fault {
        Fault::NotRun(reason) => Error::new(Kind::NoEndpoint, reason),
        Fault::Unknown(reason) => Error::new(Kind::OutcomeUnknown, reason),
        Fault::Incomplete(reason) => Error::new(Kind::AnswerIncomplete, reason),
        Fault::TooLarge => Error::new(Kind::AnswerTooLarge, "the answer is too large to relay"),
    }
}

fn forward_headers(headers: &HeaderMap, context: &Context) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    // The token only identifies the workspace to the entry VM; the endpoint receives the workspace
    // name instead.
    forwarded.remove(header::AUTHORIZATION);
    forwarded.remove(header::CONTENT_LENGTH);
    forwarded.remove(header::EXPECT);
    if let Ok(workspace) = HeaderValue::from_str(&context.workspace) {
        forwarded.insert(WORKSPACE, workspace);
    }
    forwarded.append(header::VIA, HeaderValue::from_static("1.1 pomelolink"));
    forwarded
}

/// Copies headers except the hop-by-hop ones and those that `Connection` lists.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let text = name.as_str();
        if !HOP_BY_HOP.contains(&text) && !listed.iter().any(|listed| listed == text) {
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

fn claim_answer(answer: &Answer) -> claim::Answer {
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

fn recorded_response(recorded: &claim::Answer) -> Result<Answer> {
    let broken = || Error::new(Kind::OutcomeUnknown, "the recorded answer is not valid");
    let mut headers = HeaderMap::new();
    for (name, value) in &recorded.headers {
        let name: HeaderName = name.parse().map_err(|_| broken())?;
        headers.append(name, value.parse().map_err(|_| broken())?);
    }
    let status = StatusCode::from_u16(recorded.status).ok().filter(|it| answer::is_final(*it));
    let status = status.ok_or_else(broken)?;
    let body = claim::unhex(&recorded.body).ok_or_else(broken)?;
    Ok(Answer { status, headers, body: body.into() })
}
