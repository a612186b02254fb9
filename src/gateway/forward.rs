//! Sends a request to endpoints until there is a final answer.
//!
//! A request that must not run twice goes to a second endpoint only when the first one proved that
//! it did not run: no byte was sent, or the endpoint says so. Its caller gets 503 only with the same
//! proof; see `docs/platform.md`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smallvec::SmallVec;

use crate::endpoint::pool::{Failure, Lent};
use crate::gateway::catalog::Kind;
use crate::gateway::clock;
use crate::gateway::handle::{self, Active, Context, Refusal};
use crate::gateway::node::Node;
use crate::gateway::place::{self, Placed};
use crate::gateway::platform::{Dispatch, Endpoint};
use crate::gateway::pump;
use crate::gateway::queue;
use crate::gateway::refusal::Cause;
use crate::gateway::relay::{Body, Splitter};

/// Largest answer of a plain service that is held in memory.
const ANSWER_BYTES: usize = 16 << 20;
/// Endpoints tried one after the other when connections can't be made.
const CONNECT_TRIES: usize = 4;
/// Advice after an endpoint has refused a request.
const REFUSED_ADVICE: Duration = Duration::from_millis(150);

/// Says where a stream goes on.
#[derive(Debug, Clone, Default)]
pub struct Resume {
    /// Identifier of the last event that the caller has got.
    pub last_event: Option<Arc<str>>,
    /// State that the endpoint goes on from, if it was moved.
    pub state: Option<Arc<str>>,
}

/// Remembers what has happened to a request so far.
#[derive(Debug, Default)]
pub struct History {
    /// Endpoints that were tried.
    pub tried: SmallVec<[Arc<str>; 4]>,
    /// Endpoints that the request was sent to.
    pub sent: u32,
    /// Set once the request may have run.
    pub may_have_run: bool,
}

/// Tells how one try at an endpoint ended.
#[derive(Debug)]
pub enum Attempt {
    Answer(Response<Body>),
    Stream(Box<Open>),
    /// No byte was sent.
    Unsent(String),
    /// The endpoint says that it did not run the request.
    Refused(String),
    /// The request may have run.
    Unknown(String),
    TimedOut,
}

/// A stream whose first event has come.
#[derive(Debug)]
pub struct Open {
    pub response: Response<()>,
    pub body: Incoming,
    pub lent: Lent,
    pub splitter: Splitter,
    /// The first events; empty when the stream ended without any.
    pub first: Bytes,
    pub ended: bool,
    pub placed: Placed,
}

/// Serves a request that may run.
pub async fn run(node: Rc<Node>, ask: Context, active: Active) -> Response<Body> {
    node.budget.borrow_mut().record_request(&ask.service, clock::now());
    if let Some(prompt) = &ask.demand.prompt {
        node.demand.borrow_mut().record(&ask.service, prompt.prompt_tokens);
    }
    let mut history = History::default();
    let mut next = None;
    // Answer of an endpoint that failed; it is delivered if there is no better one.
    let mut failed: Option<Response<Body>> = None;
    loop {
        let placed = match next.take() {
            Some(placed) => placed,
            None => match place::wait(&node, &ask, &history.tried).await {
                Ok(placed) => placed,
                Err(refusal) => return give_up(&node, &ask, &history, failed, refusal),
            },
        };
        let endpoint = placed.endpoint.id.clone();
        history.tried.push(endpoint.clone());
        history.sent += 1;
        let attempt = attempt(&node, &ask, placed, Resume::default()).await;
        let refusal = match attempt {
            Attempt::Answer(response) => {
                if response.status().is_server_error()
                    && ask.route.is_repeatable()
                    && let Some(other) = place::at_once(&node, &ask, &history.tried)
                    && may_repeat(&node, &ask, &mut history, &endpoint, "endpoint_error")
                {
                    next = Some(other);
                    failed = Some(response);
                    history.may_have_run = true;
                    continue;
                }
                return answer(&node, &ask, &history, &endpoint, response);
            }
            Attempt::Stream(open) => return pump::start(node, ask, history, *open, active),
            Attempt::Unsent(reason) => {
                note(&ask, &endpoint, "unsent", &reason);
                history.sent -= 1;
                if history.tried.len() < CONNECT_TRIES {
                    continue;
                }
                (Cause::NotRun, Some(queue::spread(REFUSED_ADVICE, ask.hash)))
            }
            Attempt::Refused(reason) => {
                note(&ask, &endpoint, "endpoint_refused", &reason);
                if may_repeat(&node, &ask, &mut history, &endpoint, "endpoint_refused") {
                    continue;
                }
                (Cause::NotRun, Some(queue::spread(REFUSED_ADVICE, ask.hash)))
            }
            Attempt::Unknown(reason) => {
                note(&ask, &endpoint, "unknown", &reason);
                history.may_have_run = true;
                let repeatable = ask.route.is_repeatable();
                if repeatable && may_repeat(&node, &ask, &mut history, &endpoint, "unknown") {
                    continue;
                }
                (Cause::Unknown, None)
            }
            Attempt::TimedOut => {
                history.may_have_run = true;
                (Cause::Timeout, None)
            }
        };
        return give_up(&node, &ask, &history, failed, refusal);
    }
}

/// Counts and logs the whole answer of an endpoint.
fn answer(
    node: &Node,
    ask: &Context,
    history: &History,
    endpoint: &str,
    response: Response<Body>,
) -> Response<Body> {
    let took = clock::now().saturating_sub(ask.arrived);
    let status = response.status().as_u16();
    // A service's failure is its answer, but its caller wants to know where it comes from.
    let event = if status < 400 { "answered" } else { "endpoint_error" };
    log::info!(
        "forward: event={event} id={} route={} endpoint={endpoint} status={status} sent={} \
         total_ms={} target_ms={}",
        ask.demand.id,
        ask.route.name,
        history.sent,
        took.as_millis(),
        ask.route.target_latency.as_millis()
    );
    node.metrics.record_outcome(&ask.route.name, event);
    node.metrics.record_latency(&ask.route.name, took);
    response
}

/// Answers for good, with the answer of an endpoint where there is one; a refusal says "not run"
/// only if that is proved.
fn give_up(
    node: &Node,
    ask: &Context,
    history: &History,
    failed: Option<Response<Body>>,
    refusal: Refusal,
) -> Response<Body> {
    if let Some(response) = failed {
        let endpoint = history.tried.last().map_or("-", |endpoint| endpoint);
        return answer(node, ask, history, endpoint, response);
    }
    let (cause, after) = match refusal {
        (Cause::Timeout | Cause::Unknown, _) => refusal,
        _ if history.may_have_run => (Cause::Unknown, None),
        _ => refusal,
    };
    handle::refuse(node, cause, after, &ask.demand.id, &ask.route.name, ask.arrived)
}

fn note(ask: &Context, endpoint: &str, event: &str, reason: &str) {
    log::info!(
        "forward: event={event} id={} route={} endpoint={endpoint} reason=\"{reason}\"",
        ask.demand.id,
        ask.route.name
    );
}

/// Decides whether a request goes to one more endpoint, and takes it from the budget.
pub fn may_repeat(
    node: &Node,
    ask: &Context,
    history: &mut History,
    endpoint: &str,
    reason: &str,
) -> bool {
    let now = clock::now();
    if history.sent >= ask.route.max_attempts || now >= ask.deadline {
        return false;
    }
    let nodes = node.peers.borrow().count(now);
    let taken = node.budget.borrow_mut().take(&ask.service, nodes, now);
    log::info!(
        "forward: event=repeat id={} after={endpoint} reason={reason} sent={} granted={taken}",
        ask.demand.id,
        history.sent
    );
    node.metrics.record_retry(&ask.service, taken);
    taken
}

/// Sends a request to one endpoint and waits for the answer, or for the first event of a stream.
pub async fn attempt(node: &Rc<Node>, ask: &Context, placed: Placed, resume: Resume) -> Attempt {
    let left = ask.deadline.saturating_sub(clock::now());
    match tokio::time::timeout(left, exchange(node, ask, placed, resume)).await {
        Ok(attempt) => attempt,
        Err(_) => Attempt::TimedOut,
    }
}

fn build(node: &Node, ask: &Context, endpoint: &Endpoint, resume: Resume) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(ask.body.clone()));
    *request.method_mut() = ask.head.method.clone();
    *request.uri_mut() = ask.head.uri.clone();
    *request.headers_mut() = ask.head.headers.clone();
    let now = clock::now();
    let dispatch = Dispatch {
        endpoint: endpoint.id.clone(),
        tenant: ask.tenant.as_ref().map(|tenant| tenant.name.clone()),
        left: ask.caller_deadline.unwrap_or(ask.deadline).min(ask.deadline).saturating_sub(now),
        priority: ask.demand.prompt.is_some().then_some(ask.priority.min(9)),
        last_event: resume.last_event.or_else(|| ask.demand.last_event.clone()),
        state: resume.state,
    };
    (node.dialect.dispatch)(request.headers_mut(), &dispatch);
    request
}

async fn exchange(node: &Rc<Node>, ask: &Context, placed: Placed, resume: Resume) -> Attempt {
    let pool = node.links.pool(&placed.endpoint.id, placed.endpoint.address);
    let mut connection = match pool.checkout().await {
        Ok(connection) => connection,
        Err(Failure::NotRun(reason) | Failure::Unknown(reason)) => {
            placed.record_failure();
            return Attempt::Unsent(reason);
        }
    };
    let request = build(node, ask, &placed.endpoint, resume);
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(Failure::NotRun(reason)) => return Attempt::Unsent(reason),
        Err(Failure::Unknown(reason)) => {
            placed.record_failure();
            return Attempt::Unknown(reason);
        }
    };
    let reply = (node.dialect.reply)(response.status(), response.headers());
    if reply.id.as_ref().is_some_and(|id| *id != ask.demand.id) {
        return Attempt::Unknown("the answer belongs to another request".to_owned());
    }
    let lent = Lent::new(pool, connection);
    if reply.not_run {
        let status = response.status();
        drain(response.into_body(), lent).await;
        return Attempt::Refused(format!("status {}", status.as_u16()));
    }
    if !reply.sealed {
        placed.record_failure();
        let status = response.status().as_u16();
        return Attempt::Unknown(format!("an answer of status {status} without a seal"));
    }
    if ask.route.kind == Kind::Stream && response.status().is_success() {
        return open(response, lent, placed, ask.route.target_latency).await;
    }
    whole(node, ask, response, lent, placed).await
}

/// Reads a small answer to its end, so that its connection can be used again.
async fn drain(body: Incoming, mut lent: Lent) {
    if Limited::new(body, 4_096).collect().await.is_ok() {
        lent.release();
    }
}

async fn whole(
    node: &Node,
    ask: &Context,
    response: Response<Incoming>,
    mut lent: Lent,
    placed: Placed,
) -> Attempt {
    let (mut head, body) = response.into_parts();
    let body = match Limited::new(body, ANSWER_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            placed.record_failure();
            return Attempt::Unknown(format!("the answer broke off: {error}"));
        }
    };
    // An endpoint may answer before it has read a long body and take the rest for a request.
    if head.status.is_success() || ask.body.len() < 4_096 {
        lent.release();
    }
    record_usage(node, ask, placed.began);
    if head.status.is_server_error() {
        // A service may fail single requests by itself; the share of failures tells.
        placed.record_failure();
    } else {
        placed.record_success();
    }
    (node.dialect.relay)(&mut head.headers);
    Attempt::Answer(Response::from_parts(head, Body::whole(body)))
}

/// Counts a request of a tenant in the window in which it began to run.
pub fn record_usage(node: &Node, ask: &Context, began: Duration) {
    if let Some(tenant) = &ask.tenant {
        let ago = clock::now().saturating_sub(began).as_millis() as u64;
        let window = (node.unix_ms() - ago) / node.settings.bounds.report_window_ms();
        node.usage.borrow_mut().record(window, &tenant.name);
    }
}

/// Waits for the first event: until then another endpoint may still be tried.
async fn open(
    response: Response<Incoming>,
    mut lent: Lent,
    mut placed: Placed,
    target: Duration,
) -> Attempt {
    let (head, mut body) = response.into_parts();
    let mut splitter = Splitter::default();
    let response = Response::from_parts(head, ());
    loop {
        let first = match body.frame().await {
            Some(Ok(frame)) => frame.into_data().ok().and_then(|data| splitter.push(data)),
            None if splitter.is_at_event_boundary() => {
                lent.release();
                let first = Bytes::new();
                let open = Open { response, body, lent, splitter, first, ended: true, placed };
                return Attempt::Stream(Box::new(open));
            }
            None => {
                placed.record_failure();
                return Attempt::Unknown("the stream ended within its first event".to_owned());
            }
            Some(Err(error)) => {
                placed.record_failure();
                return Attempt::Unknown(format!("the stream broke off: {error}"));
            }
        };
        if splitter.is_oversized() {
            placed.record_failure();
            return Attempt::Unknown("the first event is too long".to_owned());
        }
        if let Some(first) = first {
            placed.first_event(target);
            let open = Open { response, body, lent, splitter, first, ended: false, placed };
            return Attempt::Stream(Box::new(open));
        }
    }
}
