//! Carries an accepted stream over one or more endpoints to its end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};

use super::target::{self, Exclude, Target};
use super::{PRIORITY, chat};
use crate::daemon::Node;
use crate::endpoint::answer::{self, Fault, REQUEST_ID};
use crate::endpoint::pool::Lent;
use crate::endpoint::sse;
use crate::error::Kind;
use crate::stream::{Entry, Finish};

/// Pause before the next attempt; jitter comes from the endpoints' own spread.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// A stream that has been silent this long is resumed on another endpoint. It is well above the
/// token gap of an overloaded engine and well below what a caller takes for a stalled chat.
const SILENCE: Duration = Duration::from_secs(2);
/// Period in which a pump looks whether anybody still wants its stream.
const WANTED_PERIOD: Duration = Duration::from_secs(1);

/// Tells why an attempt did not finish the stream.
#[derive(Debug)]
enum Stop {
    /// Another endpoint can go on at the offset.
    Lost(String),
    /// Every endpoint would answer the same.
    Refused(Kind, String),
}

/// Carries one stream until it has finished, its deadline has passed or nobody wants it.
pub async fn carry(node: Arc<Node>, entry: Arc<Entry>) {
    let deadline = entry.accepted + Duration::from_millis(entry.request.deadline_ms);
    let finish = tokio::select! {
        finish = attempts(&node, &entry) => finish,
        () = tokio::time::sleep_until(deadline.into()) => {
            failed(Kind::DeadlinePassed, "the deadline has passed")
        }
        () = unwanted(&node, &entry) => failed(Kind::StreamGone, "no caller reads the stream"),
    };
    if let Finish::Failed { kind, detail } = &finish {
        log::info!("stream: {} failed: {}: {detail}", entry.request.id, kind.answer().name);
    }
    entry.close(finish);
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
    let mut exclude = Exclude::new();
    loop {
        let catalog = node.revision.current();
        let target = match target::choose(node, &catalog, &entry.request.service, &exclude) {
            Ok(target) => target,
            Err(_) => {
                // An endpoint that failed once may be the only one; the request is accepted.
                exclude.clear();
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        match attempt(node, entry, &target).await {
            Ok(finish) => return finish,
            Err(Stop::Refused(kind, detail)) => return failed(kind, &detail),
            Err(Stop::Lost(reason)) => {
                let (id, offset) = (&entry.request.id, entry.offset());
                log::info!("stream: {id} lost endpoint {} at {offset}: {reason}", target.vm);
                exclude.push(target.vm);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn attempt(node: &Arc<Node>, entry: &Entry, target: &Target) -> Result<Finish, Stop> {
    let tokens = entry.tokens();
    let pool = node.directory.pool(target.address);
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header(header::HOST, target.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_ID, &*entry.request.id)
        .header(PRIORITY, entry.request.priority.to_string())
        .body(Full::new(chat::engine_body(entry, &tokens)))
        .map_err(|error| Stop::Refused(Kind::BadRequest, error.to_string()))?;
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut connection = pool.checkout().await.map_err(|failure| lost(failure.into()))?;
    let response = connection.send(request).await.map_err(|failure| lost(failure.into()))?;
    let mut lent = Lent::new(pool, connection);
    answer::check_head(&response, id.as_ref()).map_err(lost)?;
    let status = response.status();
    if status != StatusCode::OK {
        return Err(refusal(status));
    }
    let finish = relay(entry, tokens.len() as u64, response.into_body()).await?;
    lent.release();
    Ok(finish)
}

fn lost(fault: Fault) -> Stop {
    Stop::Lost(match fault {
        Fault::NotRun(reason) | Fault::Unknown(reason) | Fault::Incomplete(reason) => reason,
        Fault::TooLarge => "the answer is too large".to_owned(),
    })
}

fn refusal(status: StatusCode) -> Stop {
    let detail = format!("the engine answered with status {status}");
    if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
        Stop::Refused(Kind::BadRequest, detail)
    } else {
        Stop::Lost(detail)
    }
}

/// Moves events from the engine to the journal and checks that they are whole and in order.
async fn relay(
    entry: &Entry,
    mut next: u64,
    mut body: hyper::body::Incoming,
) -> Result<Finish, Stop> {
    let mut splitter = sse::Splitter::default();
    let mut finish = None;
    loop {
        let bytes = match tokio::time::timeout(SILENCE, body.frame()).await {
            Err(_) => return Err(Stop::Lost(format!("no token for {SILENCE:?}"))),
            Ok(None) => return Err(Stop::Lost("the stream ended early".to_owned())),
            Ok(Some(Err(error))) => return Err(Stop::Lost(error.to_string())),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_else(|_| Bytes::new()),
        };
        splitter.push(&bytes).map_err(|reason| Stop::Lost(reason.to_owned()))?;
        let mut tokens = Vec::new();
        let mut done = false;
        let mut broken = None;
        while let Some(event) = splitter.next_event() {
            if event == b"[DONE]" {
                done = true;
                break;
            }
            match step(event, &entry.request.id, next) {
                Ok(Step { token, end }) => {
                    if let Some(token) = token {
                        tokens.push(token);
                        next += 1;
                    }
                    finish = end.or(finish);
                }
                Err(reason) => {
                    broken = Some(reason);
                    break;
                }
            }
        }
        if !tokens.is_empty() {
            entry.push(tokens);
        }
        if let Some(reason) = broken {
            return Err(Stop::Lost(reason));
        }
        if done {
            let Some(finish) = finish else {
                return Err(Stop::Lost("the stream ended without a finish reason".to_owned()));
            };
            // The terminator of the chunked body must follow, or the connection is not reusable.
            let rest = tokio::time::timeout(SILENCE, body.collect()).await;
            return match rest {
                Ok(Ok(_)) => Ok(finish),
                _ => Err(Stop::Lost("the stream has no terminator".to_owned())),
            };
        }
    }
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
