//! Carries an accepted stream over one or more endpoints to its end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use xxhash_rust::xxh3;

use super::target::{self, Flight, Trouble, Wish};
use super::{PRIORITY, chat, draft};
use crate::endpoint::answer::{self, Fault, REQUEST_ID};
use crate::endpoint::pool::{Guard, PROBE_AFTER, Pool};
use crate::endpoint::sse;
use crate::error::Kind;
use crate::node::Node;
use crate::routing;
use crate::stream::{Entry, Finish, state};
use crate::timeline::Subject;

/// Pause before the second attempt; it doubles up to 640 ms, so that an accepted stream waits for
/// an endpoint without overloading those that are left.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_DOUBLING: u32 = 6;
/// A stream that has been silent this long is resumed on another endpoint. It is well above the
/// token gap of an overloaded engine and well below what a caller takes for a stalled chat.
const SILENCE: Duration = Duration::from_secs(2);
/// Longest wait for the first token; a queue at the engine is not a silent connection. An engine
/// that does not even answer a request for its load is left after `SILENCE`.
const HEAD_SILENCE: Duration = Duration::from_secs(10);
/// Largest load report.
const LOAD_BYTES: usize = 64 << 10;
/// Period in which a pump looks whether anybody still wants its stream.
const WANTED_PERIOD: Duration = Duration::from_secs(1);

/// Tells why an attempt did not finish the stream.
#[derive(Debug)]
enum Stop {
    /// Another endpoint can go on at the offset.
    Lost(Trouble, String),
    /// The endpoint is leaving; its cached state may be moved.
    Leaving,
    /// Every endpoint would answer the same.
    Refused(Kind, String),
}

/// Carries one stream until it has finished, its deadline has passed, nobody wants it or another
/// node takes it over.
pub async fn carry(node: Arc<Node>, entry: Arc<Entry>) {
    node.metrics.in_flight.inc();
    let finish = tokio::select! {
        finish = attempts(&node, &entry) => Some(finish),
        () = tokio::time::sleep_until(entry.deadline().into()) => {
            Some(failed(Kind::DeadlinePassed, "the deadline has passed"))
        }
        () = unwanted(&node, &entry) => Some(failed(Kind::StreamGone, "no caller reads the stream")),
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
        draft::store(&node, &entry);
    }
}

async fn unwanted(node: &Node, entry: &Entry) {
    loop {
        tokio::time::sleep(WANTED_PERIOD).await;
        let unread = entry.unread_for(Instant::now());
        if !entry.request.draft && unread > node.settings.timing.stream_idle {
            return;
        }
    }
}

fn failed(kind: Kind, detail: &str) -> Finish {
    Finish::Failed { kind, detail: detail.into() }
}

async fn attempts(node: &Arc<Node>, entry: &Entry) -> Finish {
    let request = &entry.request;
    let hash = xxh3::xxh3_64(request.id.as_bytes());
    let mut wish = Wish::new(request.service.clone(), "/v1/chat/completions".into(), hash);
    wish.blocks = routing::hash_blocks(&chat::prompt(&request.body)).into_iter().collect();
    let mut number = 0;
    // Endpoint whose cached state the next one can take.
    let mut source: Option<(Arc<str>, SocketAddr)> = None;
    loop {
        let catalog = node.revision.current();
        let Ok(flight) = target::choose(node, &catalog, &wish) else {
            // An endpoint that failed once may be the only one; the request is accepted.
            wish.exclude.clear();
            wish.avoid = None;
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        number += 1;
        if let Some((vm, from)) = source.take() {
            let left = node.time_until_gone(&vm);
            if state::transfer(node, &request.id, from, flight.address, left).await {
                node.metrics.moved_states.inc();
            }
        }
        let (vm, fallback) = (flight.vm.clone(), flight.fallback.clone());
        let address = flight.address;
        let version = flight.version.clone();
        let stop = match attempt(node, entry, flight).await {
            Ok(finish) => return finish,
            Err(stop) => stop,
        };
        if let Stop::Refused(kind, detail) = stop {
            return failed(kind, &detail);
        }
        let (id, offset) = (&request.id, entry.offset());
        let reason = match &stop {
            Stop::Lost(_, reason) => reason,
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
        wish.exclude.push(vm);
        if fallback.is_some() {
            wish.avoid = Some(version);
        }
        let pause = if matches!(stop, Stop::Leaving) {
            Duration::ZERO
        } else {
            RETRY_PAUSE * 2u32.pow(number.min(LONGEST_DOUBLING))
        };
        tokio::time::sleep(pause).await;
    }
}

/// Makes one attempt and reports to routing and evidence how it ended.
async fn attempt(node: &Arc<Node>, entry: &Entry, flight: Flight) -> Result<Finish, Stop> {
    let began = Instant::now();
    let before = entry.offset();
    let mut first_byte = None;
    let result = tokio::select! {
        result = exchange(node, entry, &flight, &mut first_byte) => result,
        () = left(node, &flight.vm) => Err(Stop::Leaving),
    };
    let tokens = entry.offset().saturating_sub(before);
    let first_byte = first_byte.unwrap_or_else(|| began.elapsed());
    match &result {
        Ok(_) => {
            let gaps = u32::try_from(tokens.saturating_sub(1)).unwrap_or(u32::MAX);
            let streaming = began.elapsed().saturating_sub(first_byte);
            let gap = (gaps > 0).then(|| streaming / gaps.max(1));
            flight.succeeded(false, first_byte, gap);
        }
        Err(Stop::Lost(trouble, _)) => flight.failed(*trouble),
        Err(Stop::Refused(..)) => flight.succeeded(true, first_byte, None),
        Err(Stop::Leaving) => drop(flight),
    }
    result
}

/// Waits until an endpoint has to be left.
async fn left(node: &Node, vm: &str) {
    let mut leaving = node.leaving.subscribe();
    let found = leaving.wait_for(|ids| ids.iter().any(|id| **id == *vm)).await.is_ok();
    if !found {
        std::future::pending().await
    }
}

async fn exchange(
    node: &Arc<Node>,
    entry: &Entry,
    flight: &Flight,
    first_byte: &mut Option<Duration>,
) -> Result<Finish, Stop> {
    let tokens = entry.tokens();
    let began = Instant::now();
    let pool = node.directory.pool(flight.address);
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header(header::HOST, flight.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_ID, &*entry.request.id)
        .header(PRIORITY, entry.request.priority.to_string())
        .body(Full::new(chat::engine_body(entry, &tokens)))
        .map_err(|error| Stop::Refused(Kind::BadRequest, error.to_string()))?;
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut connection = pool.checkout().await.map_err(|failure| lost(failure.into()))?;
    let response = match patient(&pool, connection.send(request)).await {
        Some(response) => response.map_err(|failure| lost(failure.into()))?,
        None => return Err(silent(began.elapsed())),
    };
    let mut lent = Guard::new(pool, connection);
    answer::check_head(&response, id.as_ref()).map_err(lost)?;
    flight.load(response.headers());
    let status = response.status();
    if status != StatusCode::OK {
        return Err(refusal(status));
    }
    let seen = |elapsed| *first_byte = first_byte.or(Some(elapsed));
    let start = Start { next: tokens.len() as u64, began };
    let finish = relay(entry, &lent.pool, start, response.into_body(), seen).await?;
    lent.release();
    Ok(finish)
}

/// Waits for the first answer of an engine, which may queue the request, for as long as the engine
/// itself still answers.
async fn patient<T>(pool: &Arc<Pool>, work: impl Future<Output = T>) -> Option<T> {
    let began = Instant::now();
    tokio::pin!(work);
    loop {
        match tokio::time::timeout(SILENCE, &mut work).await {
            Ok(result) => return Some(result),
            Err(_) if began.elapsed() >= HEAD_SILENCE || !responds(pool).await => return None,
            Err(_) => {}
        }
    }
}

/// Tells whether an engine answers a request for its load.
async fn responds(pool: &Arc<Pool>) -> bool {
    let request = Request::builder()
        .uri("/load")
        .header(header::HOST, pool.address().to_string())
        .body(Full::default());
    let Ok(request) = request else { return false };
    let deadline = tokio::time::Instant::now() + SILENCE / 2;
    answer::exchange(pool, request, LOAD_BYTES, PROBE_AFTER, deadline).await.is_ok()
}

fn silent(limit: Duration) -> Stop {
    Stop::Lost(Trouble::Connection, format!("no byte for {limit:?}"))
}

/// Says where an attempt begins.
#[derive(Debug, Clone, Copy)]
struct Start {
    next: u64,
    began: Instant,
}

fn lost(fault: Fault) -> Stop {
    match fault {
        Fault::NotRun(reason) | Fault::Unknown(reason) => Stop::Lost(Trouble::Connection, reason),
        Fault::Incomplete(reason) => broken(reason),
        Fault::TooLarge => broken("the answer is too large"),
    }
}

fn broken(reason: impl Into<String>) -> Stop {
    Stop::Lost(Trouble::Answer, reason.into())
}

fn refusal(status: StatusCode) -> Stop {
    let detail = format!("the engine answered with status {status}");
    if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
        Stop::Refused(Kind::BadRequest, detail)
    } else {
        broken(detail)
    }
}

/// Moves events from the engine to the journal and checks that they are whole and in order.
async fn relay(
    entry: &Entry,
    pool: &Arc<Pool>,
    start: Start,
    mut body: Incoming,
    mut seen: impl FnMut(Duration),
) -> Result<Finish, Stop> {
    let mut splitter = sse::Splitter::default();
    let mut next = start.next;
    let mut finish = None;
    loop {
        let frame = if next == start.next {
            patient(pool, body.frame()).await
        } else {
            tokio::time::timeout(SILENCE, body.frame()).await.ok()
        };
        let bytes = match frame {
            None => return Err(silent(SILENCE)),
            Some(None) => return Err(broken("the stream ended early")),
            Some(Some(Err(error))) => return Err(lost(Fault::Unknown(error.to_string()))),
            Some(Some(Ok(frame))) => frame.into_data().unwrap_or_else(|_| Bytes::new()),
        };
        splitter.push(&bytes).map_err(broken)?;
        let read = read_events(&mut splitter, &entry.request.id, next);
        if !read.tokens.is_empty() {
            seen(start.began.elapsed());
            next += read.tokens.len() as u64;
            entry.push(read.tokens);
        }
        finish = read.finish.or(finish);
        match read.end {
            None => {}
            Some(Err(reason)) => return Err(broken(reason)),
            Some(Ok(())) => {
                let finish = finish.ok_or_else(|| broken("the stream has no finish reason"))?;
                return close(body, finish).await;
            }
        }
    }
}

/// Reads the terminator of the chunked body; without it the connection is not reusable.
async fn close(body: Incoming, finish: Finish) -> Result<Finish, Stop> {
    match tokio::time::timeout(SILENCE, body.collect()).await {
        Ok(Ok(_)) => Ok(finish),
        _ => Err(broken("the stream has no terminator")),
    }
}

/// Holds what the events that have arrived so far say.
struct Read {
    tokens: Vec<Arc<str>>,
    finish: Option<Finish>,
    /// Set when the stream is over: as it should, or for a reason.
    end: Option<Result<(), String>>,
}

fn read_events(splitter: &mut sse::Splitter, id: &str, mut next: u64) -> Read {
    let mut read = Read { tokens: Vec::new(), finish: None, end: None };
    while let Some(event) = splitter.next_event() {
        if event == b"[DONE]" {
            read.end = Some(Ok(()));
            break;
        }
        match step(event, id, next) {
            Ok(step) => {
                next += u64::from(step.token.is_some());
                read.tokens.extend(step.token);
                read.finish = step.end.or(read.finish);
            }
            Err(reason) => {
                read.end = Some(Err(reason));
                break;
            }
        }
    }
    read
}

struct Step {
    token: Option<Arc<str>>,
    end: Option<Finish>,
}

fn step(event: &[u8], id: &str, next: u64) -> Result<Step, String> {
    let chunk = sse::parse(event).map_err(|error| format!("a chunk is malformed: {error}"))?;
    if chunk.id != id {
        return Err("a chunk belongs to another request".to_owned());
    }
    let token = chunk.content.filter(|content| !content.is_empty());
    if token.is_some() && chunk.index.is_some_and(|index| index != next) {
        return Err(format!("a chunk has a wrong index, expected {next}"));
    }
    let end = chunk.finish.map(|reason| Finish::Complete {
        reason: reason.as_ref().into(),
        usage: chunk.usage.unwrap_or_default(),
    });
    Ok(Step { token: token.map(|token| token.as_ref().into()), end })
}
