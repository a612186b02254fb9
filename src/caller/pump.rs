//! Runs an accepted stream on one or more endpoints until it ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use xxhash_rust::xxh3;

use super::target::{self, Attempt, Criteria, Failure};
use super::{PRIORITY, chat, draft};
use crate::endpoint::answer::{self, Fault, REQUEST_ID};
use crate::endpoint::pool::{Guard, PROBE_AFTER, Pool};
use crate::endpoint::sse;
use crate::error::Kind;
use crate::node::Node;
use crate::routing;
use crate::stream::{Entry, Finish, state};
use crate::timeline::Subject;

/// Base of the delay between attempts. The delay doubles with each attempt up to 640 ms, so that an
/// accepted stream waits for an endpoint without overloading those that remain.
const RETRY_DELAY: Duration = Duration::from_millis(10);
const MAX_RETRY_DOUBLINGS: u32 = 6;
/// A stream without data for this time is resumed on another endpoint. The limit is well above the
/// token gap of an overloaded engine and well below the delay at which a chat appears stalled to
/// its caller.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the first token, which may be delayed by a queue at the engine. The wait ends
/// after `SILENCE_TIMEOUT` if the engine does not respond to a load request either.
const FIRST_TOKEN_LIMIT: Duration = Duration::from_secs(10);
/// Largest response to a load request, in bytes.
const MAX_LOAD_BYTES: usize = 64 << 10;
/// Interval at which a pump checks whether its stream still has a reader.
const READER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Why an attempt did not finish the stream.
#[derive(Debug)]
enum Stop {
    /// The attempt failed; another endpoint can continue at the offset.
    Failed(Failure, String),
    /// The endpoint is leaving; its cached state may be transferred to the next one.
    Leaving,
    /// The request was rejected; other endpoints would reject it too.
    Refused(Kind, String),
}

/// Runs a stream until it finishes, its deadline passes, no caller reads it any more or another
/// node takes it over.
pub async fn run(node: Arc<Node>, entry: Arc<Entry>) {
    node.metrics.in_flight.inc();
    let finish = tokio::select! {
        finish = run_attempts(&node, &entry) => Some(finish),
        () = tokio::time::sleep_until(entry.deadline().into()) => {
            Some(failed_finish(Kind::DeadlinePassed, "the deadline has passed"))
        }
        () = wait_until_unread(&node, &entry) => Some(
            failed_finish(Kind::StreamGone, "no caller reads the stream")
        ),
        () = entry.detached() => None,
    };
    node.metrics.in_flight.dec();
    let Some(finish) = finish else { return };
    let result = match &finish {
        Finish::Failed { kind, detail } => {
            log::info!("stream: {} failed: {}: {detail}", entry.request.id, kind.entry().name);
            kind.entry().name
        }
        Finish::Complete { usage, .. } => {
            node.metrics.tokens.inc_by(entry.offset());
            node.metrics.recomputed_tokens.inc_by(usage.recomputed_tokens);
            "complete"
        }
    };
    node.metrics.requests.with_label_values(&[&*entry.request.service, result]).inc();
    entry.close(finish);
    if entry.request.draft {
        draft::store_answer(&node, &entry);
    }
}

async fn wait_until_unread(node: &Node, entry: &Entry) {
    loop {
        tokio::time::sleep(READER_CHECK_INTERVAL).await;
        let unread = entry.unread_for(Instant::now());
        if !entry.request.draft && unread > node.settings.timing.stream_idle {
            return;
        }
    }
}

fn failed_finish(kind: Kind, detail: &str) -> Finish {
    Finish::Failed { kind, detail: detail.into() }
}

async fn run_attempts(node: &Arc<Node>, entry: &Entry) -> Finish {
    let request = &entry.request;
    let hash = xxh3::xxh3_64(request.id.as_bytes());
    let mut criteria = Criteria::new(request.service.clone(), "/v1/chat/completions".into(), hash);
    criteria.blocks = routing::hash_blocks(&chat::prompt_text(&request.body)).into_iter().collect();
    let mut number = 0;
    // Endpoint whose cached state can be transferred to the next one.
    let mut source: Option<(Arc<str>, SocketAddr)> = None;
    loop {
        let catalog = node.revision.current();
        let Ok(attempt) = target::choose(node, &catalog, &criteria) else {
            // The request is accepted, so endpoints that failed are tried again when there is no
            // other.
            criteria.exclude.clear();
            criteria.avoid = None;
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        number += 1;
        if let Some((vm, from)) = source.take() {
            let remaining = node.time_until_gone(&vm);
            if state::transfer(node, &request.id, from, attempt.address, remaining).await {
                node.metrics.moved_states.inc();
            }
        }
        let (vm, fallback) = (attempt.vm.clone(), attempt.fallback.clone());
        let address = attempt.address;
        let version = attempt.version.clone();
        let stop = match run_attempt(node, entry, attempt).await {
            Ok(finish) => return finish,
            Err(stop) => stop,
        };
        if let Stop::Refused(kind, detail) = stop {
            return failed_finish(kind, &detail);
        }
        let (id, offset) = (&request.id, entry.offset());
        let reason = match &stop {
            Stop::Failed(_, reason) => reason,
            _ => "the endpoint is leaving",
        };
        log::info!("stream: {id} lost endpoint {vm} at offset {offset}: {reason}");
        let subject = Subject { request: Some(id.clone()), ..Subject::default() };
        node.record("stream", subject, format!("endpoint {vm} lost at offset {offset}: {reason}"));
        node.metrics.resumed_streams.inc();
        node.metrics.retries.with_label_values(&[&*request.service]).inc();
        if matches!(stop, Stop::Leaving) {
            source = Some((vm.clone(), address));
        }
        criteria.exclude.push(vm);
        if fallback.is_some() {
            criteria.avoid = Some(version);
        }
        let delay = if matches!(stop, Stop::Leaving) {
            Duration::ZERO
        } else {
            RETRY_DELAY * 2u32.pow(number.min(MAX_RETRY_DOUBLINGS))
        };
        tokio::time::sleep(delay).await;
    }
}

/// Runs one attempt and records its result for routing and for rollout evidence.
async fn run_attempt(node: &Arc<Node>, entry: &Entry, attempt: Attempt) -> Result<Finish, Stop> {
    let started = Instant::now();
    let before = entry.offset();
    let mut first_byte = None;
    let result = tokio::select! {
        result = exchange(node, entry, &attempt, &mut first_byte) => result,
        () = wait_until_leaving(node, &attempt.vm) => Err(Stop::Leaving),
    };
    let tokens = entry.offset().saturating_sub(before);
    let first_byte = first_byte.unwrap_or_else(|| started.elapsed());
    match &result {
        Ok(_) => {
            let gaps = u32::try_from(tokens.saturating_sub(1)).unwrap_or(u32::MAX);
            let streaming = started.elapsed().saturating_sub(first_byte);
            let gap = (gaps > 0).then(|| streaming / gaps.max(1));
            attempt.succeeded(false, first_byte, gap);
        }
        Err(Stop::Failed(failure, _)) => attempt.failed(*failure),
        Err(Stop::Refused(..)) => attempt.succeeded(true, first_byte, None),
        Err(Stop::Leaving) => drop(attempt),
    }
    result
}

/// Waits until an endpoint is leaving.
async fn wait_until_leaving(node: &Node, vm: &str) {
    let mut leaving = node.leaving.subscribe();
    let found = leaving.wait_for(|ids| ids.iter().any(|id| **id == *vm)).await.is_ok();
    if !found {
        std::future::pending().await
    }
}

async fn exchange(
    node: &Arc<Node>,
    entry: &Entry,
    attempt: &Attempt,
    first_byte: &mut Option<Duration>,
) -> Result<Finish, Stop> {
    let tokens = entry.tokens();
    let started = Instant::now();
    let pool = node.directory.pool(attempt.address);
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header(header::HOST, attempt.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_ID, &*entry.request.id)
        .header(PRIORITY, entry.request.priority.to_string())
        .body(Full::new(chat::engine_body(entry, &tokens)))
        .map_err(|error| Stop::Refused(Kind::BadRequest, error.to_string()))?;
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut connection = pool.checkout().await.map_err(|failure| stop_from(failure.into()))?;
    let response = match wait_while_responsive(&pool, connection.send(request)).await {
        Some(response) => response.map_err(|failure| stop_from(failure.into()))?,
        None => return Err(silent_connection(started.elapsed())),
    };
    let mut guard = Guard::new(pool, connection);
    answer::check_head(&response, id.as_ref()).map_err(stop_from)?;
    attempt.record_load(response.headers());
    let status = response.status();
    if status != StatusCode::OK {
        return Err(status_error(status));
    }
    let record_first_byte = |elapsed| *first_byte = first_byte.or(Some(elapsed));
    let start = Start { next: tokens.len() as u64, started };
    let finish = relay(entry, &guard.pool, start, response.into_body(), record_first_byte).await?;
    guard.release();
    Ok(finish)
}

/// Waits for the first data from an engine, which may have queued the request, as long as the
/// engine responds to load requests and at most about `FIRST_TOKEN_LIMIT`. Returns `None` on a
/// timeout.
async fn wait_while_responsive<T>(pool: &Arc<Pool>, work: impl Future<Output = T>) -> Option<T> {
    let start = Instant::now();
    tokio::pin!(work);
    loop {
        match tokio::time::timeout(SILENCE_TIMEOUT, &mut work).await {
            Ok(result) => return Some(result),
            Err(_) if start.elapsed() >= FIRST_TOKEN_LIMIT || !is_alive(pool).await => return None,
            Err(_) => {}
        }
    }
}

/// Reports whether an engine responds to a load request.
async fn is_alive(pool: &Arc<Pool>) -> bool {
    let request = Request::builder()
        .uri("/load")
        .header(header::HOST, pool.address().to_string())
        .body(Full::default());
    let Ok(request) = request else { return false };
    let deadline = tokio::time::Instant::now() + SILENCE_TIMEOUT / 2;
    answer::exchange(pool, request, MAX_LOAD_BYTES, PROBE_AFTER, deadline).await.is_ok()
}

fn silent_connection(limit: Duration) -> Stop {
    Stop::Failed(Failure::Connection, format!("no data received for {limit:?}"))
}

/// Where and when an attempt begins.
#[derive(Debug, Clone, Copy)]
struct Start {
    next: u64,
    started: Instant,
}

fn stop_from(fault: Fault) -> Stop {
    match fault {
        Fault::NotRun(reason) | Fault::Unknown(reason) => Stop::Failed(Failure::Connection, reason),
        Fault::Incomplete(reason) => invalid_answer(reason),
        Fault::TooLarge => invalid_answer("the answer is too large"),
    }
}

fn invalid_answer(reason: impl Into<String>) -> Stop {
    Stop::Failed(Failure::Answer, reason.into())
}

fn status_error(status: StatusCode) -> Stop {
    let detail = format!("the engine answered with status {status}");
    if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
        Stop::Refused(Kind::BadRequest, detail)
    } else {
        invalid_answer(detail)
    }
}

/// Appends the events of the engine to the journal and checks that they are complete and in order.
async fn relay(
    entry: &Entry,
    pool: &Arc<Pool>,
    start: Start,
    mut body: Incoming,
    mut record_first_byte: impl FnMut(Duration),
) -> Result<Finish, Stop> {
    let mut splitter = sse::Splitter::default();
    let mut next = start.next;
    let mut finish = None;
    loop {
        let frame = if next == start.next {
            wait_while_responsive(pool, body.frame()).await
        } else {
            tokio::time::timeout(SILENCE_TIMEOUT, body.frame()).await.ok()
        };
        let bytes = match frame {
            None => return Err(silent_connection(SILENCE_TIMEOUT)),
            Some(None) => return Err(invalid_answer("the stream ended early")),
            Some(Some(Err(error))) => return Err(stop_from(Fault::Unknown(error.to_string()))),
            Some(Some(Ok(frame))) => frame.into_data().unwrap_or_else(|_| Bytes::new()),
        };
        splitter.push(&bytes).map_err(invalid_answer)?;
        let events = read_events(&mut splitter, &entry.request.id, next);
        if !events.tokens.is_empty() {
            record_first_byte(start.started.elapsed());
            next += events.tokens.len() as u64;
            entry.push(events.tokens);
        }
        finish = events.finish.or(finish);
        match events.end {
            None => {}
            Some(Err(reason)) => return Err(invalid_answer(reason)),
            Some(Ok(())) => {
                let finish =
                    finish.ok_or_else(|| invalid_answer("the stream has no finish reason"))?;
                return close(body, finish).await;
            }
        }
    }
}

/// Reads the terminator of the chunked body, without which the connection is not reusable.
async fn close(body: Incoming, finish: Finish) -> Result<Finish, Stop> {
    match tokio::time::timeout(SILENCE_TIMEOUT, body.collect()).await {
        Ok(Ok(_)) => Ok(finish),
        _ => Err(invalid_answer("the chunked body has no terminator")),
    }
}

/// Events parsed from the data received so far.
struct Events {
    tokens: Vec<Arc<str>>,
    finish: Option<Finish>,
    /// Set when the stream has ended: `Ok` at its regular end, or the reason why it is invalid.
    end: Option<Result<(), String>>,
}

fn read_events(splitter: &mut sse::Splitter, id: &str, mut next: u64) -> Events {
    let mut events = Events { tokens: Vec::new(), finish: None, end: None };
    while let Some(event) = splitter.next_event() {
        if event == b"[DONE]" {
            events.end = Some(Ok(()));
            break;
        }
        match parse_event(event, id, next) {
            Ok(event) => {
                next += u64::from(event.token.is_some());
                events.tokens.extend(event.token);
                events.finish = event.finish.or(events.finish);
            }
            Err(reason) => {
                events.end = Some(Err(reason));
                break;
            }
        }
    }
    events
}

struct Event {
    token: Option<Arc<str>>,
    finish: Option<Finish>,
}

fn parse_event(event: &[u8], id: &str, next: u64) -> Result<Event, String> {
    let chunk = sse::parse(event).map_err(|error| format!("a chunk is malformed: {error}"))?;
    if chunk.id != id {
        return Err("a chunk belongs to another request".to_owned());
    }
    let token = chunk.content.filter(|content| !content.is_empty());
    if token.is_some() && chunk.index.is_some_and(|index| index != next) {
        return Err(format!("a chunk has a wrong index, expected {next}"));
    }
    let finish = chunk.finish.map(|reason| Finish::Complete {
        reason: reason.as_ref().into(),
        usage: chunk.usage.unwrap_or_default(),
    });
    Ok(Event { token: token.map(|token| token.as_ref().into()), finish })
}
