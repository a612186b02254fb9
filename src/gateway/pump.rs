//! Passes the events of a stream on, and goes on at another endpoint when its endpoint is lost or
//! leaves.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::{Sleep, sleep, timeout};

use crate::gateway::clock;
use crate::gateway::forward::{self, Attempt, History, Resume, Stream};
use crate::gateway::handle::{Active, Ask};
use crate::gateway::handover::{self, Moved};
use crate::gateway::node::Node;
use crate::gateway::place;
use crate::gateway::relay::{Body, Broken};

/// Time that the last events of a stopped stream have to arrive.
const REST_TIME: Duration = Duration::from_millis(100);
/// A time that no stream reaches.
const NEVER: Duration = Duration::from_secs(86_400);

type Events = mpsc::Sender<Result<Bytes, Broken>>;
type Transferring = Pin<Box<dyn Future<Output = Option<Moved>>>>;

/// Tells why the events of one endpoint ended.
enum End {
    Complete,
    CallerGone,
    TimedOut,
    Broken(String),
    Moved(Box<Moved>),
}

/// Answers a caller with a stream whose first event has come.
pub fn start(
    node: Rc<Node>,
    ask: Ask,
    history: History,
    open: Stream,
    active: Active,
) -> Response<Body> {
    forward::record_usage(&node, &ask, clock::now());
    node.metrics.record_latency(&ask.route.name, clock::now() - ask.arrived);
    let (mut head, ()) = open.response.clone().into_parts();
    (node.dialect.relay)(&mut head.headers);
    let (events, body) = Body::stream();
    let first_ms = clock::now().saturating_sub(ask.arrived).as_millis();
    tokio::task::spawn_local(async move {
        let ask = Rc::new(ask);
        let outcome = pump(&node, &ask, history, open, events).await;
        // Events of a broken stream have their own lines, with the reason.
        let event = if outcome == "answered" { outcome } else { "failed" };
        log::info!(
            "pump: event={event} id={} route={} outcome={outcome} first_ms={first_ms} total_ms={} \
             target_ms={}",
            ask.demand.id,
            ask.route.name,
            clock::now().saturating_sub(ask.arrived).as_millis(),
            ask.route.target_latency.as_millis()
        );
        node.metrics.record_outcome(&ask.route.name, outcome);
        drop(active);
    });
    Response::from_parts(head, body)
}

async fn pump(
    node: &Rc<Node>,
    ask: &Rc<Ask>,
    mut history: History,
    mut open: Stream,
    events: Events,
) -> &'static str {
    loop {
        let next = match relay(node, ask, &mut open, &events).await {
            End::Complete => return "answered",
            End::CallerGone => {
                note(ask, &open, "caller_gone", "");
                return "caller_gone";
            }
            End::TimedOut => {
                note(ask, &open, "stream_timeout", "");
                // The receiver is gone only if the caller is gone too.
                let _ = events.send(Err(Broken)).await;
                return "timeout";
            }
            End::Moved(moved) => go_on(node, ask, &mut history, &open, *moved).await,
            End::Broken(reason) => {
                open.placement.record_failure();
                note(ask, &open, "stream_broken", &reason);
                resume(node, ask, &mut history, &open).await
            }
        };
        match next {
            Some(next) => open = next,
            None => {
                let _ = events.send(Err(Broken)).await;
                return "broken";
            }
        }
    }
}

fn note(ask: &Ask, open: &Stream, event: &str, reason: &str) {
    log::info!(
        "pump: event={event} id={} route={} endpoint={} events={} age_ms={} reason=\"{reason}\"",
        ask.demand.id,
        ask.route.name,
        open.placement.endpoint.id,
        open.splitter.events,
        clock::now().saturating_sub(ask.arrived).as_millis(),
    );
}

/// Logs why a broken stream does not go on.
fn note_cut(ask: &Ask, endpoint: &str, reason: &str) {
    log::info!("pump: event=cut id={} endpoint={endpoint} reason=\"{reason}\"", ask.demand.id);
}

/// Sets a timer to the move of a stream whose endpoint leaves.
fn arm(node: &Node, open: &Stream, timer: &mut Pin<Box<Sleep>>) {
    let now = clock::now();
    if let Some(due) = handover::due(node, &open.placement, now) {
        *timer = Box::pin(sleep(due.saturating_sub(now)));
    }
}

/// Passes the events of one endpoint on until they end or the stream is moved.
async fn relay(node: &Rc<Node>, ask: &Rc<Ask>, open: &mut Stream, events: &Events) -> End {
    let first = std::mem::take(&mut open.first_events);
    if !first.is_empty() && events.send(Ok(first)).await.is_err() {
        return End::CallerGone;
    }
    if open.has_ended {
        return End::Complete;
    }
    let mut deadline = Box::pin(sleep(ask.until.saturating_sub(clock::now())));
    let mut departures = node.departures.subscribe();
    let mut move_timer = Box::pin(sleep(NEVER));
    let mut transferring: Option<Transferring> = None;
    let moves = engine_moves(node, ask);
    if moves {
        arm(node, open, &mut move_timer);
    }
    loop {
        let frame = tokio::select! {
            frame = open.body.frame() => frame,
            () = events.closed() => return End::CallerGone,
            () = deadline.as_mut() => return End::TimedOut,
            // The sender lives as long as the node.
            Ok(()) = departures.changed(), if moves && transferring.is_none() => {
                arm(node, open, &mut move_timer);
                continue;
            }
            () = move_timer.as_mut(), if transferring.is_none() => {
                move_timer = Box::pin(sleep(NEVER));
                let from = open.placement.endpoint.clone();
                transferring = Some(Box::pin(handover::transfer(node.clone(), ask.clone(), from)));
                continue;
            }
            moved = finish(&mut transferring) => {
                let Some(moved) = moved else { transferring = None; continue };
                return rest(open, events, moved).await;
            }
        };
        match frame {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                let whole = open.splitter.push(data);
                if open.splitter.is_too_long() {
                    return End::Broken("an event is too long".to_owned());
                }
                let Some(whole) = whole else { continue };
                if events.send(Ok(whole)).await.is_err() {
                    return End::CallerGone;
                }
            }
            ended if transferring.is_some() => {
                // The endpoint has stopped the stream for the move, or it has ended before.
                match finish(&mut transferring).await {
                    Some(moved) => return End::Moved(Box::new(moved)),
                    None => return end(open, ended.map(|frame| frame.map(drop))),
                }
            }
            ended => return end(open, ended.map(|frame| frame.map(drop))),
        }
    }
}

/// Tells how a stream ended whose last frame is `ended`.
fn end(open: &mut Stream, ended: Option<Result<(), hyper::Error>>) -> End {
    match ended {
        None if open.splitter.is_whole() => {
            open.lent.release();
            End::Complete
        }
        Some(Err(error)) => End::Broken(error.to_string()),
        _ => End::Broken("it ended within an event".to_owned()),
    }
}

fn engine_moves(node: &Node, ask: &Ask) -> bool {
    let catalog = node.catalog();
    let engine = catalog.as_ref().and_then(|it| it.services.get(&ask.service)?.engine);
    engine.is_some_and(|engine| engine.moves)
}

/// Waits for the end of a move; for ever when there is none.
async fn finish(transferring: &mut Option<Transferring>) -> Option<Moved> {
    match transferring {
        Some(transferring) => transferring.await,
        None => std::future::pending().await,
    }
}

/// Passes the last events of a stopped stream on.
async fn rest(open: &mut Stream, events: &Events, moved: Moved) -> End {
    let read = async {
        while let Some(Ok(frame)) = open.body.frame().await {
            let Ok(data) = frame.into_data() else { continue };
            let Some(whole) = open.splitter.push(data) else { continue };
            if events.send(Ok(whole)).await.is_err() {
                return false;
            }
        }
        true
    };
    match timeout(REST_TIME, read).await {
        Ok(false) => End::CallerGone,
        // What has not come by then is generated again from the state.
        Ok(true) | Err(_) => End::Moved(Box::new(moved)),
    }
}

/// Lets the endpoint that has the state of a stopped stream go on with it.
async fn go_on(
    node: &Rc<Node>,
    ask: &Rc<Ask>,
    history: &mut History,
    stopped: &Stream,
    moved: Moved,
) -> Option<Stream> {
    let Moved { placed, state } = moved;
    if !state.is_copied {
        // Only the endpoint that leaves has the state.
        return resume(node, ask, history, stopped).await;
    }
    let last_event = stopped.splitter.last_id.clone();
    let endpoint = placed.endpoint.id.clone();
    history.tried.push(endpoint.clone());
    node.budget.borrow_mut().record_repeat(&ask.service, clock::now());
    let resume = Resume { last_event: last_event.clone(), state: Some(state.name) };
    match forward::attempt(node, ask, placed, resume).await {
        Attempt::Stream(mut open) => {
            open.splitter.last_id = open.splitter.last_id.or(last_event);
            Some(*open)
        }
        other => {
            log::warn!(
                "pump: event=move_lost id={} endpoint={endpoint} attempt={other:?}",
                ask.demand.id
            );
            self::resume(node, ask, history, stopped).await
        }
    }
}

/// Goes on at another endpoint after the last event that the caller has got.
async fn resume(
    node: &Rc<Node>,
    ask: &Rc<Ask>,
    history: &mut History,
    broken: &Stream,
) -> Option<Stream> {
    let mut endpoint = broken.placement.endpoint.id.clone();
    if !ask.route.resumable {
        note_cut(ask, &endpoint, "the route's streams can't be resumed");
        return None;
    }
    let Some(last) = broken.splitter.last_id.clone() else {
        note_cut(ask, &endpoint, "the events bear no ids");
        return None;
    };
    loop {
        if !forward::take_retry(node, ask, history, &endpoint, "stream_broken") {
            note_cut(ask, &endpoint, "no attempt, time or budget is left");
            return None;
        }
        let placed = match place::acquire(node, ask, &history.tried).await {
            Ok(placed) => placed,
            Err((cause, _)) => {
                note_cut(ask, &endpoint, cause.name());
                return None;
            }
        };
        endpoint = placed.endpoint.id.clone();
        history.tried.push(endpoint.clone());
        history.sent += 1;
        let resume = Resume { last_event: Some(last.clone()), state: None };
        match forward::attempt(node, ask, placed, resume).await {
            Attempt::Stream(mut open) => {
                open.splitter.last_id.get_or_insert(last);
                return Some(*open);
            }
            Attempt::TimedOut => {
                note_cut(ask, &endpoint, "the time was up");
                return None;
            }
            other => log::info!(
                "pump: event=resume_failed id={} endpoint={endpoint} attempt={other:?}",
                ask.demand.id
            ),
        }
    }
}
