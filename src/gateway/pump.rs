//! Forwards the events of a stream to its caller and continues it at another endpoint when its
//! endpoint fails or leaves.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::{Sleep, sleep, timeout};

use crate::gateway::balancer::Load;
use crate::gateway::clock;
use crate::gateway::crash;
use crate::gateway::forward::{self, Attempt, History, Resume, Stream};
use crate::gateway::handle::{Active, Context};
use crate::gateway::handover::{self, Handover};
use crate::gateway::lateness::Gaps;
use crate::gateway::node::Node;
use crate::gateway::place;
use crate::gateway::relay::{Aborted, Body};

/// Longest wait for the remaining events of a stream that was stopped for a handover.
const REMAINING_EVENTS_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of events over which the pace of a stream is measured. Few suffice, and a slow stream may last longer
/// than a roll-out.
const PACE_EVENTS: u32 = 8;
/// Number of events that show that an answer has begun. An endpoint that crashes on a prompt may still send
/// the first one.
const START_EVENTS: u32 = 2;
/// Time to hand an event to its caller above which the caller is slow: the next event may have arrived meanwhile.
const MAX_SEND_TIME: Duration = Duration::from_millis(5);
/// Delay of a timer that isn't set; no stream runs that long.
const UNSET_DELAY: Duration = Duration::from_secs(86_400);

type EventSender = mpsc::Sender<Result<Bytes, Aborted>>;
type PendingHandover = Pin<Box<dyn Future<Output = handover::Attempt>>>;

/// Reason why the events from one endpoint ended.
enum End {
    Complete,
    CallerGone,
    TimedOut,
    Broken(String),
    Handover(Box<Handover>),
}

/// Responds to a caller with a stream whose first event has arrived, and forwards the rest in a task.
pub fn start(
    node: Rc<Node>,
    context: Context,
    history: History,
    stream: Stream,
    active: Active,
) -> Response<Body> {
    forward::record_usage(&node, &context, clock::now());
    node.metrics.record_latency(&context.route.name, clock::now() - context.arrived);
    let (mut head, ()) = stream.response.clone().into_parts();
    (node.header_codec.rewrite_reply)(&mut head.headers);
    let (sender, body) = Body::stream();
    let first_ms = clock::now().saturating_sub(context.arrived).as_millis();
    tokio::task::spawn_local(async move {
        let context = Rc::new(context);
        let mut gaps = record_first_event(&node, &context);
        let outcome = forward_stream(&node, &context, history, stream, &mut gaps, sender).await;
        // The reasons for a failure are in log lines of their own.
        let event = if outcome == "answered" { outcome } else { "failed" };
        log::info!(
            "pump: event={event} id={} route={} outcome={outcome} first_ms={first_ms} total_ms={} \
             target_ms={} max_gap_ms={}",
            context.metadata.id,
            context.route.name,
            clock::now().saturating_sub(context.arrived).as_millis(),
            context.route.target_latency.as_millis(),
            gaps.longest().as_millis()
        );
        node.metrics.record_outcome(&context.route.name, outcome);
        drop(active);
    });
    Response::from_parts(head, body)
}

/// Counts a stream whose first event has arrived, on a route that declares a target for gaps.
fn record_first_event(node: &Node, context: &Context) -> Gaps {
    let (now, target) = (clock::now(), context.route.gap_target);
    let is_late = now.saturating_sub(context.arrived) > context.route.target_latency;
    if target.is_some() {
        let mut lateness = node.lateness.borrow_mut();
        lateness.record_answer(&context.service);
        if is_late {
            lateness.record_late(&context.service);
        }
    }
    Gaps::new(target, is_late, now)
}

async fn forward_stream(
    node: &Rc<Node>,
    context: &Rc<Context>,
    mut history: History,
    mut stream: Stream,
    gaps: &mut Gaps,
    sender: EventSender,
) -> &'static str {
    loop {
        let handover = match forward_events(node, context, &mut stream, gaps, &sender).await {
            End::Complete => return "answered",
            End::CallerGone => {
                log_event(context, &stream, "caller_gone", "");
                return "caller_gone";
            }
            End::TimedOut => {
                log_event(context, &stream, "stream_timeout", "");
                // Sending fails only if the caller is gone too.
                let _ = sender.send(Err(Aborted)).await;
                return "timeout";
            }
            End::Handover(handover) => Some(*handover),
            End::Broken(reason) => {
                stream.placement.record_failure();
                if stream.splitter.event_count < START_EVENTS {
                    crash::investigate(node, context, &stream.placement.endpoint);
                }
                log_event(context, &stream, "stream_broken", &reason);
                None
            }
        };
        // Whatever the stream waits for on its way to another endpoint, it waits no longer than its caller.
        let resumed = tokio::select! {
            resumed = go_on(node, context, &mut history, &stream, handover) => resumed,
            () = sender.closed() => {
                forward::refund_retry(node, context, &mut history);
                log_event(context, &stream, "caller_gone", "the stream was on its way to another endpoint");
                return "caller_gone";
            }
        };
        match resumed {
            Some(resumed) => stream = resumed,
            None => {
                let _ = sender.send(Err(Aborted)).await;
                return "broken";
            }
        }
    }
}

/// Goes on with a stream at another endpoint: from the state if it was handed over, otherwise after the last event.
async fn go_on(
    node: &Rc<Node>,
    context: &Rc<Context>,
    history: &mut History,
    ended_stream: &Stream,
    handover: Option<Handover>,
) -> Option<Stream> {
    match handover {
        Some(handover) => continue_stream(node, context, history, ended_stream, handover).await,
        None => resume(node, context, history, ended_stream).await,
    }
}

fn log_event(context: &Context, stream: &Stream, event: &str, reason: &str) {
    log::info!(
        "pump: event={event} id={} route={} endpoint={} events={} age_ms={} reason=\"{reason}\"",
        context.metadata.id,
        context.route.name,
        stream.placement.endpoint.id,
        stream.splitter.event_count,
        clock::now().saturating_sub(context.arrived).as_millis(),
    );
}

/// Logs why a broken stream is not continued.
fn log_cut(context: &Context, endpoint: &str, reason: &str) {
    log::info!(
        "pump: event=cut id={} endpoint={endpoint} reason=\"{reason}\"",
        context.metadata.id
    );
}

/// Sets a timer to the handover of a stream if its endpoint is leaving.
fn schedule_handover(node: &Node, stream: &Stream, timer: &mut Pin<Box<Sleep>>) {
    let now = clock::now();
    if let Some(handover_time) = handover::handover_time(node, &stream.placement, now) {
        *timer = Box::pin(sleep(handover_time.saturating_sub(now)));
    }
}

/// Measures the pace of a stream from its first events.
struct Pace {
    first_at: Duration,
    last_at: Duration,
    first_count: u32,
    is_recorded: bool,
    last_count: u32,
    /// Load of the endpoint at the last event.
    last_load: Load,
    /// Whether the next gap doesn't show the speed of the endpoint, as the node waited for the caller.
    is_held: bool,
}

impl Pace {
    fn new(stream: &Stream) -> Pace {
        let now = clock::now();
        let first_count = stream.splitter.event_count;
        Pace {
            first_at: now,
            last_at: now,
            first_count,
            is_recorded: false,
            last_count: first_count,
            last_load: Load::default(),
            // The first event has waited until the stream is forwarded.
            is_held: true,
        }
    }

    /// Records the time since the last event, with the load at its begin or end: prompts that were read in
    /// between are no longer unread at the end.
    fn record_gap(&mut self, node: &Node, stream: &Stream) {
        let load = node.balancer.borrow().total_load(&stream.placement.endpoint.id);
        let count = stream.splitter.event_count;
        let events = count.saturating_sub(self.last_count);
        if events > 0 && !self.is_held {
            let unread_tokens = load.unread_tokens.max(self.last_load.unread_tokens);
            let gap = clock::now().saturating_sub(self.last_at) / events;
            stream.placement.record_gap(gap, Load { unread_tokens, ..load });
        }
        (self.last_count, self.last_load) = (count, load);
    }

    /// Records that an event has been handed to the caller.
    fn record_sent(&mut self) {
        self.is_held = clock::now().saturating_sub(self.last_at) > MAX_SEND_TIME;
    }

    /// Records the pace once `min_events` have followed the first ones.
    fn record_events(&mut self, stream: &Stream, min_events: u32) {
        self.last_at = clock::now();
        let events = stream.splitter.event_count - self.first_count;
        if !self.is_recorded && events >= min_events {
            self.is_recorded = true;
            stream.placement.record_pace((self.last_at - self.first_at) / events);
        }
    }

    /// Records the time since the last event of a stream that its caller or its deadline ends.
    fn record_silence(&self, stream: &Stream) {
        stream.placement.record_pace(clock::now().saturating_sub(self.last_at));
    }
}

/// Forwards the events of one endpoint until they end or the stream is handed over.
async fn forward_events(
    node: &Rc<Node>,
    context: &Rc<Context>,
    stream: &mut Stream,
    gaps: &mut Gaps,
    sender: &EventSender,
) -> End {
    let first_events = std::mem::take(&mut stream.first_events);
    if !first_events.is_empty() && sender.send(Ok(first_events)).await.is_err() {
        return End::CallerGone;
    }
    if stream.has_ended {
        return End::Complete;
    }
    let mut deadline = Box::pin(sleep(context.deadline.saturating_sub(clock::now())));
    let mut departures = node.departures.subscribe();
    let mut handover_timer = Box::pin(sleep(UNSET_DELAY));
    let mut pending: Option<PendingHandover> = None;
    let mut may_be_stopped = false;
    let mut pace = Pace::new(stream);
    let mut has_started = false;
    let can_hand_over = supports_handover(node, context);
    if can_hand_over {
        schedule_handover(node, stream, &mut handover_timer);
    }
    loop {
        if !has_started && stream.splitter.event_count >= START_EVENTS {
            has_started = true;
            crash::record_start(node, context);
        }
        let frame = tokio::select! {
            frame = stream.body.frame() => frame,
            () = sender.closed() => {
                pace.record_silence(stream);
                return End::CallerGone;
            }
            () = deadline.as_mut() => {
                pace.record_silence(stream);
                return End::TimedOut;
            }
            // Fails only if the sender is dropped, and the node keeps it.
            Ok(()) = departures.changed(), if can_hand_over && pending.is_none() => {
                schedule_handover(node, stream, &mut handover_timer);
                continue;
            }
            () = handover_timer.as_mut(), if pending.is_none() => {
                handover_timer = Box::pin(sleep(UNSET_DELAY));
                let from = stream.placement.endpoint.clone();
                pending = Some(Box::pin(handover::transfer(node.clone(), context.clone(), from)));
                continue;
            }
            attempt = handover_result(&mut pending) => {
                pending = None;
                match attempt {
                    handover::Attempt::Stopped(handover) => {
                        return forward_remaining(stream, sender, handover).await;
                    }
                    handover::Attempt::NotStopped => {}
                    handover::Attempt::Unknown => may_be_stopped = true,
                }
                continue;
            }
        };
        match frame {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                let whole_events = stream.splitter.push(data);
                if stream.splitter.is_oversized() {
                    return End::Broken("an event exceeds the size limit".to_owned());
                }
                let Some(whole_events) = whole_events else { continue };
                pace.record_gap(node, stream);
                pace.record_events(stream, PACE_EVENTS);
                if gaps.record_event(clock::now()) {
                    node.lateness.borrow_mut().record_late(&context.service);
                }
                if sender.send(Ok(whole_events)).await.is_err() {
                    return End::CallerGone;
                }
                pace.record_sent();
            }
            ended if pending.is_some() => {
                // The endpoint stopped the stream for the handover, or it ended before that.
                match handover_result(&mut pending).await {
                    handover::Attempt::Stopped(handover) => return End::Handover(handover),
                    handover::Attempt::NotStopped => {}
                    handover::Attempt::Unknown => may_be_stopped = true,
                }
                return classify_end(stream, ended.map(|frame| frame.map(drop)), may_be_stopped);
            }
            ended => {
                pace.record_events(stream, 1);
                let end = classify_end(stream, ended.map(|frame| frame.map(drop)), may_be_stopped);
                if !has_started && matches!(end, End::Complete) {
                    crash::record_start(node, context);
                }
                return end;
            }
        }
    }
}

/// Classifies the end of a stream; `last_frame` is `None` when the endpoint completed its response.
///
/// A response without a length ends with its connection. If the endpoint may have stopped the stream for a handover,
/// that is no sign that the stream is complete.
fn classify_end(
    stream: &mut Stream,
    last_frame: Option<Result<(), hyper::Error>>,
    may_be_stopped: bool,
) -> End {
    match last_frame {
        None if may_be_stopped && !forward::is_framed(stream.response.headers()) => {
            End::Broken("the endpoint may have stopped the stream for a handover".to_owned())
        }
        None if stream.splitter.is_at_event_boundary() => {
            stream.guard.release();
            End::Complete
        }
        Some(Err(error)) => End::Broken(error.to_string()),
        _ => End::Broken("the stream ended within an event".to_owned()),
    }
}

fn supports_handover(node: &Node, context: &Context) -> bool {
    let catalog = node.catalog();
    let engine = catalog.as_ref().and_then(|it| it.services.get(&context.service)?.engine);
    engine.is_some_and(|engine| engine.supports_migration)
}

/// Waits for the result of a handover; never returns if none is in progress.
async fn handover_result(pending: &mut Option<PendingHandover>) -> handover::Attempt {
    match pending {
        Some(pending) => pending.await,
        None => std::future::pending().await,
    }
}

/// Forwards the remaining events of a stream that was stopped for a handover.
async fn forward_remaining(
    stream: &mut Stream,
    sender: &EventSender,
    handover: Box<Handover>,
) -> End {
    let forward = async {
        while let Some(Ok(frame)) = stream.body.frame().await {
            let Ok(data) = frame.into_data() else { continue };
            let Some(whole_events) = stream.splitter.push(data) else { continue };
            if sender.send(Ok(whole_events)).await.is_err() {
                return false;
            }
        }
        true
    };
    match timeout(REMAINING_EVENTS_TIMEOUT, forward).await {
        Ok(false) => End::CallerGone,
        // Events that have not arrived by now are generated again from the state.
        Ok(true) | Err(_) => End::Handover(handover),
    }
}

/// Continues a stopped stream at the endpoint that has its state, or resumes it without the state.
async fn continue_stream(
    node: &Rc<Node>,
    context: &Rc<Context>,
    history: &mut History,
    stopped_stream: &Stream,
    handover: Handover,
) -> Option<Stream> {
    let Handover { placement, state } = handover;
    if !state.is_copied {
        // Only the leaving endpoint has the state.
        return resume(node, context, history, stopped_stream).await;
    }
    let last_event = stopped_stream.splitter.last_event_id.clone();
    let endpoint = placement.endpoint.id.clone();
    history.tried.push(endpoint.clone());
    node.budget.borrow_mut().record_retry(&context.service, clock::now());
    let resume = Resume { last_event: last_event.clone(), state: Some(state.name) };
    match forward::attempt(node, context, placement, resume).await {
        Attempt::Stream(mut resumed) => {
            resumed.splitter.last_event_id = resumed.splitter.last_event_id.or(last_event);
            Some(*resumed)
        }
        other => {
            if other.is_unsent() {
                node.budget.borrow_mut().refund(&context.service);
            }
            log::warn!(
                "pump: event=move_lost id={} endpoint={endpoint} attempt={other:?}",
                context.metadata.id
            );
            self::resume(node, context, history, stopped_stream).await
        }
    }
}

/// Resumes a stream at another endpoint, after the last event that was sent to the caller.
async fn resume(
    node: &Rc<Node>,
    context: &Rc<Context>,
    history: &mut History,
    broken_stream: &Stream,
) -> Option<Stream> {
    let resumed = try_resume(node, context, history, broken_stream).await;
    forward::refund_retry(node, context, history);
    resumed
}

async fn try_resume(
    node: &Rc<Node>,
    context: &Rc<Context>,
    history: &mut History,
    broken_stream: &Stream,
) -> Option<Stream> {
    let mut endpoint = broken_stream.placement.endpoint.id.clone();
    if !context.route.resumable {
        log_cut(context, &endpoint, "the route's streams can't be resumed");
        return None;
    }
    let Some(last_event) = broken_stream.splitter.last_event_id.clone() else {
        log_cut(context, &endpoint, "the events have no ids");
        return None;
    };
    loop {
        if crash::is_suspect(node, context) {
            log_cut(context, &endpoint, "a part of the prompt may crash endpoints");
            return None;
        }
        if !forward::take_retry(node, context, history, &endpoint, "stream_broken") {
            log_cut(context, &endpoint, "the attempts, the time or the retry budget are used up");
            return None;
        }
        let placement = match place::acquire(node, context, &history.tried).await {
            Ok(placement) => placement,
            Err((cause, _)) => {
                log_cut(context, &endpoint, cause.name());
                return None;
            }
        };
        endpoint = placement.endpoint.id.clone();
        history.tried.push(endpoint.clone());
        history.sent += 1;
        let resume = Resume { last_event: Some(last_event.clone()), state: None };
        let attempt = forward::attempt(node, context, placement, resume).await;
        history.has_retry &= attempt.is_unsent();
        match attempt {
            Attempt::HeldBack(hold) => {
                if !history.record_hold() {
                    log_cut(context, &endpoint, hold.name());
                    return None;
                }
            }
            Attempt::Stream(mut resumed) => {
                resumed.splitter.last_event_id.get_or_insert(last_event);
                return Some(*resumed);
            }
            Attempt::TimedOut => {
                log_cut(context, &endpoint, "the request's deadline has passed");
                return None;
            }
            other => log::info!(
                "pump: event=resume_failed id={} endpoint={endpoint} attempt={other:?}",
                context.metadata.id
            ),
        }
    }
}
