//! Forwards a request to endpoints until there is a final response.
//!
//! A request that must not run twice is sent to a second endpoint only if the first provably did not
//! run it: no byte was sent, or the endpoint says so. The caller gets 503 only if that is proven for
//! every endpoint tried; see `docs/platform.md`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smallvec::SmallVec;
use xxhash_rust::xxh3;

use crate::endpoint::pool::{Failure, Guard};
use crate::gateway::catalog::Kind;
use crate::gateway::clock;
use crate::gateway::crash;
use crate::gateway::demand;
use crate::gateway::exchange::{self, Head};
use crate::gateway::gate::{self, Hold};
use crate::gateway::handle::{self, Active, Context, Refusal};
use crate::gateway::node::Node;
use crate::gateway::place;
use crate::gateway::placement::Placement;
use crate::gateway::platform::{Dispatch, Endpoint};
use crate::gateway::pump;
use crate::gateway::queue;
use crate::gateway::refusal::Cause;
use crate::gateway::relay::{Body, Splitter};
use crate::intake::{account, ledger};

/// Largest response of a plain service; responses are buffered in memory.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Most endpoints tried when connections fail.
const MAX_CONNECT_ATTEMPTS: usize = 4;
/// Most times that a request is placed again because it was held back.
const MAX_HOLDS: u32 = 8;
/// Advised time before a retry after endpoints refused a request or could not be reached.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Time from the placement of a request to its write above which the write is logged: the endpoint may have
/// said in between that it leaves or wants no requests.
const MAX_UNLOGGED_AGE: Duration = Duration::from_millis(100);

/// Position at which an endpoint resumes a stream.
#[derive(Debug, Clone, Default)]
pub struct Resume {
    /// Identifier of the last event that the caller has received.
    pub last_event: Option<Arc<str>>,
    /// Name of the copied state from which the endpoint resumes, if the stream was handed over.
    pub state: Option<Arc<str>>,
}

/// Attempts made for a request so far.
#[derive(Debug, Default)]
pub struct History {
    /// Endpoints that were chosen, in order.
    pub tried: SmallVec<[Arc<str>; 4]>,
    /// Number of endpoints that the request was sent to.
    pub sent: u32,
    /// Whether some endpoint may have run the request.
    pub may_have_run: bool,
    /// Whether a retry was charged to the budget and not made yet.
    pub has_retry: bool,
    /// Number of times that the request was held back at the gate.
    holds: u32,
}

impl History {
    /// Records that the request was held back from the endpoint that was chosen last; returns whether it may be
    /// placed again.
    pub fn record_hold(&mut self) -> bool {
        self.tried.pop();
        self.sent = self.sent.saturating_sub(1);
        self.holds += 1;
        self.holds < MAX_HOLDS
    }
}

/// Outcome of one attempt at an endpoint.
#[derive(Debug)]
pub enum Attempt {
    /// A complete response.
    Answer(Response<Body>),
    Stream(Box<Stream>),
    /// No byte was sent.
    Unsent(String),
    /// No byte was sent, as the endpoint gets no requests by now.
    HeldBack(Hold),
    /// The endpoint states that it did not run the request.
    Refused(String),
    /// The request may have run.
    Unknown(String),
    /// The deadline passed; the request may have run.
    TimedOut,
}

impl Attempt {
    /// Returns whether the endpoint got nothing of the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Attempt::Unsent(_) | Attempt::HeldBack(_))
    }
}

/// A stream whose first event has arrived.
#[derive(Debug)]
pub struct Stream {
    pub response: Response<()>,
    pub body: Incoming,
    pub guard: Guard,
    pub splitter: Splitter,
    /// Events received so far; empty if the stream ended without any.
    pub first_events: Bytes,
    /// Whether the stream ended without any event.
    pub has_ended: bool,
    pub placement: Placement,
}

/// Forwards an admitted request and returns the response for the caller.
pub async fn run(node: Rc<Node>, context: Context, active: Active) -> Response<Body> {
    node.budget.borrow_mut().record_request(&context.service, clock::now());
    if let Some(prompt) = &context.metadata.prompt {
        let tokens = demand::prefill_tokens(prompt);
        node.demand.borrow_mut().record(&context.service, tokens);
    }
    let mut history = History::default();
    let mut next = None;
    // Error response of an endpoint; returned if no other endpoint gives a response.
    let mut failed: Option<Response<Body>> = None;
    loop {
        let placement = match next.take() {
            Some(placement) => placement,
            None => match place::acquire(&node, &context, &history.tried).await {
                Ok(placement) => placement,
                Err(refusal) => return give_up(&node, &context, &mut history, failed, refusal),
            },
        };
        // The part may have been quarantined while the request waited.
        if let Some(refusal) = crash::refusal(&node, &context) {
            return give_up(&node, &context, &mut history, failed, refusal);
        }
        crash::record_sent(&node, &context);
        let endpoint = placement.endpoint.id.clone();
        history.tried.push(endpoint.clone());
        history.sent += 1;
        let attempt = attempt(&node, &context, placement, Resume::default()).await;
        history.has_retry &= attempt.is_unsent();
        let refusal = match attempt {
            Attempt::Answer(response) => {
                if response.status().is_server_error()
                    && context.route.is_retryable()
                    && let Some(other) = place::try_acquire(&node, &context, &history.tried)
                    && take_retry(&node, &context, &mut history, &endpoint, "endpoint_error")
                {
                    next = Some(other);
                    failed = Some(response);
                    history.may_have_run = true;
                    continue;
                }
                return record_response(&node, &context, &history, &endpoint, response);
            }
            Attempt::Stream(stream) => return pump::start(node, context, history, *stream, active),
            Attempt::Unsent(reason) => {
                log_attempt(&context, &endpoint, "unsent", &reason);
                history.sent -= 1;
                if history.tried.len() < MAX_CONNECT_ATTEMPTS {
                    continue;
                }
                (Cause::NotRun, Some(queue::jitter(REFUSED_RETRY_AFTER, context.hash)))
            }
            Attempt::HeldBack(_) => {
                if history.record_hold() {
                    continue;
                }
                (Cause::NotRun, Some(queue::jitter(REFUSED_RETRY_AFTER, context.hash)))
            }
            Attempt::Refused(reason) => {
                log_attempt(&context, &endpoint, "endpoint_refused", &reason);
                if take_retry(&node, &context, &mut history, &endpoint, "endpoint_refused") {
                    continue;
                }
                (Cause::NotRun, Some(queue::jitter(REFUSED_RETRY_AFTER, context.hash)))
            }
            Attempt::Unknown(reason) => {
                log_attempt(&context, &endpoint, "unknown", &reason);
                history.may_have_run = true;
                let repeatable =
                    context.route.is_retryable() && !crash::is_suspect(&node, &context);
                if repeatable && take_retry(&node, &context, &mut history, &endpoint, "unknown") {
                    continue;
                }
                (Cause::Unknown, None)
            }
            Attempt::TimedOut => {
                history.may_have_run = true;
                (Cause::Timeout, None)
            }
        };
        return give_up(&node, &context, &mut history, failed, refusal);
    }
}

/// Logs and counts the final response of an endpoint.
fn record_response(
    node: &Node,
    context: &Context,
    history: &History,
    endpoint: &str,
    response: Response<Body>,
) -> Response<Body> {
    let elapsed = clock::now().saturating_sub(context.arrived);
    let status = response.status().as_u16();
    // An error response is passed on, but the log shows that it came from the endpoint.
    let event = if status < 400 { "answered" } else { "endpoint_error" };
    log::info!(
        "forward: event={event} id={} route={} endpoint={endpoint} status={status} sent={} \
         total_ms={} target_ms={}",
        context.metadata.id,
        context.route.name,
        history.sent,
        elapsed.as_millis(),
        context.route.target_latency.as_millis()
    );
    node.metrics.record_outcome(&context.route.name, event);
    node.metrics.record_latency(&context.route.name, elapsed);
    response
}

/// Returns the final response when no more attempt is made: the error response of an endpoint if there
/// is one, or else a refusal, which claims that the request did not run only if that is proven.
fn give_up(
    node: &Node,
    context: &Context,
    history: &mut History,
    failed: Option<Response<Body>>,
    refusal: Refusal,
) -> Response<Body> {
    refund_retry(node, context, history);
    if let Some(response) = failed {
        let endpoint = history.tried.last().map_or("-", |endpoint| endpoint);
        return record_response(node, context, history, endpoint, response);
    }
    let (cause, after) = match refusal {
        (Cause::Timeout | Cause::Unknown, _) => refusal,
        _ if history.may_have_run => (Cause::Unknown, None),
        _ => refusal,
    };
    handle::refuse(node, cause, after, &context.metadata.id, &context.route.name, context.arrived)
}

fn log_attempt(context: &Context, endpoint: &str, event: &str, reason: &str) {
    log::info!(
        "forward: event={event} id={} route={} endpoint={endpoint} reason=\"{reason}\"",
        context.metadata.id,
        context.route.name
    );
}

/// Returns a retry to the budget that was charged for a request and not made.
pub fn refund_retry(node: &Node, context: &Context, history: &mut History) {
    if std::mem::take(&mut history.has_retry) {
        node.budget.borrow_mut().refund(&context.service);
    }
}

/// Returns whether the request may be sent to one more endpoint, and if so charges the retry budget, unless a retry
/// was charged before and not made.
pub fn take_retry(
    node: &Node,
    context: &Context,
    history: &mut History,
    endpoint: &str,
    reason: &str,
) -> bool {
    let now = clock::now();
    if history.sent >= context.route.max_attempts || now >= context.deadline {
        return false;
    }
    if history.has_retry {
        return true;
    }
    let nodes = node.peers.borrow().live_count(now);
    let granted = node.budget.borrow_mut().try_acquire(&context.service, nodes, now);
    log::info!(
        "forward: event=repeat id={} after={endpoint} reason={reason} sent={} granted={granted}",
        context.metadata.id,
        history.sent
    );
    node.metrics.record_retry(&context.service, granted);
    history.has_retry = granted;
    granted
}

/// Sends a request to one endpoint and waits for the response, or for the first event of a stream.
pub async fn attempt(
    node: &Rc<Node>,
    context: &Context,
    placement: Placement,
    resume: Resume,
) -> Attempt {
    let remaining = context.deadline.saturating_sub(clock::now());
    let endpoint = placement.endpoint.clone();
    let response = send(node, context, placement, resume);
    match tokio::time::timeout(remaining, response).await {
        Ok(attempt) => {
            if matches!(attempt, Attempt::Unknown(_)) {
                crash::investigate(node, context, &endpoint);
            }
            attempt
        }
        Err(_) => Attempt::TimedOut,
    }
}

/// Builds the request for an endpoint from the caller's request.
fn build_request(
    node: &Node,
    context: &Context,
    endpoint: &Endpoint,
    resume: Resume,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(context.body.clone()));
    *request.method_mut() = context.head.method.clone();
    *request.uri_mut() = context.head.uri.clone();
    *request.headers_mut() = context.head.headers.clone();
    let now = clock::now();
    let dispatch = Dispatch {
        endpoint: endpoint.id.clone(),
        tenant: context.tenant.as_ref().map(|tenant| tenant.name.clone()),
        remaining_time: context
            .caller_deadline
            .unwrap_or(context.deadline)
            .min(context.deadline)
            .saturating_sub(now),
        priority: context.metadata.prompt.is_some().then_some(context.priority.min(9)),
        last_event: resume.last_event.or_else(|| context.metadata.last_event.clone()),
        state: resume.state,
    };
    (node.header_codec.rewrite_request)(request.headers_mut(), &dispatch);
    request
}

/// Asks for the permission to write a request to the endpoint on which it was placed.
fn admit(node: &Node, context: &Context, placement: &Placement) -> Result<gate::Pass, Hold> {
    let Placement { endpoint, is_limit_paid, cold_charged_at, .. } = placement;
    let mut roster = node.roster.borrow_mut();
    let pass = gate::admit(&mut roster, endpoint, *is_limit_paid, *cold_charged_at, clock::now());
    pass.inspect_err(|hold| {
        log_attempt(context, &endpoint.id, "held_back", hold.name());
        node.metrics.record_held_back(hold.name());
    })
}

/// Sends a request on a pooled connection and reads the response; sets no time limit.
async fn send(node: &Rc<Node>, context: &Context, placement: Placement, resume: Resume) -> Attempt {
    let mut link = match node.pools.connect(&placement.endpoint, clock::now()).await {
        Ok(link) => link,
        Err(Failure::NotRun(reason) | Failure::Unknown(reason)) => {
            placement.record_failure();
            return Attempt::Unsent(reason);
        }
    };
    if let Err(Failure::NotRun(reason) | Failure::Unknown(reason)) = link.ready().await {
        return Attempt::Unsent(reason);
    }
    let pass = match admit(node, context, &placement) {
        Ok(pass) => pass,
        Err(hold) => {
            link.release();
            return Attempt::HeldBack(hold);
        }
    };
    let is_resumed = resume.last_event.is_some() || context.metadata.last_event.is_some();
    let age = clock::now().saturating_sub(placement.began);
    if age > MAX_UNLOGGED_AGE {
        log::info!(
            "forward: event=written_late id={} endpoint={} placed_ms={}",
            context.metadata.id,
            placement.endpoint.id,
            age.as_millis()
        );
    }
    let request = build_request(node, context, &placement.endpoint, resume);
    placement.await_response();
    let id = &context.metadata.id;
    let sent = exchange::send(node, &placement.endpoint, id, link, request, pass).await;
    let Head { response, reply, is_other, guard } = match sent {
        Ok(head) => head,
        Err(Failure::NotRun(reason)) => {
            placement.ignore_response();
            return Attempt::Unsent(reason);
        }
        Err(Failure::Unknown(reason)) => {
            placement.record_failure();
            return Attempt::Unknown(reason);
        }
    };
    if is_other {
        placement.ignore_response();
        return Attempt::Unknown("response carries the id of another request".to_owned());
    }
    if reply.is_not_run {
        placement.record_rejection();
        let status = response.status();
        drain_body(response.into_body(), guard).await;
        return Attempt::Refused(format!("status {}", status.as_u16()));
    }
    if !reply.is_sealed {
        placement.record_failure();
        let status = response.status().as_u16();
        return Attempt::Unknown(format!("response with status {status} has no endpoint seal"));
    }
    if context.route.kind == Kind::Stream && response.status().is_success() {
        return open_stream(response, guard, placement, is_resumed).await;
    }
    read_response(node, context, response, guard, placement).await
}

/// Reads a small response body to its end, so that its connection can be reused.
async fn drain_body(body: Incoming, mut guard: Guard) {
    if Limited::new(body, 4_096).collect().await.is_ok() {
        guard.release();
    }
}

/// Reads a complete response and records its success or failure.
async fn read_response(
    node: &Node,
    context: &Context,
    response: Response<Incoming>,
    mut guard: Guard,
    placement: Placement,
) -> Attempt {
    let (mut head, body) = response.into_parts();
    let terms = account::Terms {
        owner: xxh3::xxh3_64(placement.endpoint.id.as_bytes()),
        kind: ledger::Kind::Accepted,
        limit: MAX_RESPONSE_BYTES,
        timeout: context.deadline.saturating_sub(clock::now()),
    };
    let body = match node.intake.read(body, terms).await {
        Ok(body) => body,
        Err(account::Failure::MemoryFull) => {
            placement.ignore_response();
            return Attempt::Unknown("this node has no memory for the response".to_owned());
        }
        Err(account::Failure::TooSlow) => return Attempt::TimedOut,
        Err(error) => {
            placement.record_failure();
            return Attempt::Unknown(format!("response body could not be read: {error:?}"));
        }
    };
    // An endpoint that responds with an error before it has read a long body may take the rest of
    // the body for the next request, so such a connection is not reused.
    if head.status.is_success() || context.body.len() < 4_096 {
        guard.release();
    }
    record_usage(node, context, placement.began);
    crash::record_start(node, context);
    if head.status.is_server_error() {
        // A service may fail single requests while the endpoint is healthy; the share of failures decides.
        placement.record_server_error();
    } else {
        placement.record_success();
    }
    (node.header_codec.rewrite_reply)(&mut head.headers);
    Attempt::Answer(Response::from_parts(head, Body::whole(body)))
}

/// Counts a tenant's request in the usage window in which it began to run.
pub fn record_usage(node: &Node, context: &Context, began: Duration) {
    if let Some(tenant) = &context.tenant {
        let elapsed_ms = clock::now().saturating_sub(began).as_millis() as u64;
        let window = (node.unix_ms() - elapsed_ms) / node.settings.bounds.report_window_ms();
        node.usage.borrow_mut().record(window, &tenant.name);
    }
}

/// Returns whether the end of a response is marked in the response itself.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Waits for the first event of a stream; until then another endpoint may still be tried.
async fn open_stream(
    response: Response<Incoming>,
    mut guard: Guard,
    mut placement: Placement,
    is_resumed: bool,
) -> Attempt {
    let (head, mut body) = response.into_parts();
    // Only a resumed stream may have no events left; of others without a frame, the end of the connection
    // may be the end of the endpoint.
    let may_be_empty = is_resumed || is_framed(&head.headers);
    let mut splitter = Splitter::default();
    let response = Response::from_parts(head, ());
    loop {
        let first_events = match body.frame().await {
            Some(Ok(frame)) => frame.into_data().ok().and_then(|data| splitter.push(data)),
            None if splitter.is_at_event_boundary() && may_be_empty => {
                placement.ignore_response();
                guard.release();
                let first_events = Bytes::new();
                let stream = Stream {
                    response,
                    body,
                    guard,
                    splitter,
                    first_events,
                    has_ended: true,
                    placement,
                };
                return Attempt::Stream(Box::new(stream));
            }
            None => {
                placement.record_failure();
                return Attempt::Unknown(
                    "stream ended before its first event was complete".to_owned(),
                );
            }
            Some(Err(error)) => {
                placement.record_failure();
                return Attempt::Unknown(format!("stream broke before its first event: {error}"));
            }
        };
        if splitter.is_oversized() {
            placement.record_failure();
            return Attempt::Unknown("first event exceeds the size limit".to_owned());
        }
        if let Some(first_events) = first_events {
            placement.record_first_event();
            let stream = Stream {
                response,
                body,
                guard,
                splitter,
                first_events,
                has_ended: false,
                placement,
            };
            return Attempt::Stream(Box::new(stream));
        }
    }
}
