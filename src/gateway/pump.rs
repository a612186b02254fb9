//! Passes the events of a stream on, and goes on at another endpoint when its endpoint is lost.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use crate::gateway::clock;
use crate::gateway::forward::{self, Attempt, History, Open};
use crate::gateway::handle::{Active, Ask};
use crate::gateway::node::Node;
use crate::gateway::relay::{Body, Broken};

type Events = mpsc::Sender<Result<Bytes, Broken>>;

/// Tells why the events of one endpoint ended.
enum End {
    Complete,
    CallerGone,
    TimedOut,
    Broken(String),
}

/// Answers a caller with a stream whose first event has come.
pub fn start(
    node: Rc<Node>,
    ask: Ask,
    history: History,
    open: Open,
    active: Active,
) -> Response<Body> {
    forward::record_usage(&node, &ask, clock::now());
    node.metrics.record_latency(&ask.route.name, clock::now() - ask.arrived);
    let (mut head, ()) = open.response.clone().into_parts();
    (node.dialect.relay)(&mut head.headers);
    let (events, body) = Body::stream();
    tokio::task::spawn_local(async move {
        let outcome = pump(&node, &ask, history, open, events).await;
        node.metrics.record_outcome(&ask.route.name, outcome);
        drop(active);
    });
    Response::from_parts(head, body)
}

async fn pump(
    node: &Rc<Node>,
    ask: &Ask,
    mut history: History,
    mut open: Open,
    events: Events,
) -> &'static str {
    loop {
        match relay(ask, &mut open, &events).await {
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
            End::Broken(reason) => {
                open.placed.record_failure();
                note(ask, &open, "stream_broken", &reason);
                match resume(node, ask, &mut history, &open).await {
                    Some(next) => open = next,
                    None => {
                        let _ = events.send(Err(Broken)).await;
                        return "broken";
                    }
                }
            }
        }
    }
}

fn note(ask: &Ask, open: &Open, event: &str, reason: &str) {
    log::info!(
        "pump: event={event} id={} route={} endpoint={} events={} age_ms={} reason=\"{reason}\"",
        ask.demand.id,
        ask.route.name,
        open.placed.endpoint.id,
        open.splitter.events,
        clock::now().saturating_sub(ask.arrived).as_millis(),
    );
}

/// Passes the events of one endpoint on until they end.
async fn relay(ask: &Ask, open: &mut Open, events: &Events) -> End {
    let first = std::mem::take(&mut open.first);
    if !first.is_empty() && events.send(Ok(first)).await.is_err() {
        return End::CallerGone;
    }
    if open.ended {
        return End::Complete;
    }
    let left = ask.until.saturating_sub(clock::now());
    let timeout = tokio::time::sleep(left);
    tokio::pin!(timeout);
    loop {
        let frame = tokio::select! {
            frame = open.body.frame() => frame,
            () = events.closed() => return End::CallerGone,
            () = timeout.as_mut() => return End::TimedOut,
        };
        match frame {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                let Some(whole) = open.splitter.push(data) else { continue };
                if events.send(Ok(whole)).await.is_err() {
                    return End::CallerGone;
                }
            }
            None if open.splitter.is_whole() => {
                open.lent.release();
                return End::Complete;
            }
            None => return End::Broken("it ended within an event".to_owned()),
            Some(Err(error)) => return End::Broken(error.to_string()),
        }
    }
}

/// Goes on at another endpoint after the last event that the caller has got.
async fn resume(node: &Rc<Node>, ask: &Ask, history: &mut History, broken: &Open) -> Option<Open> {
    if !ask.route.resumable {
        return None;
    }
    let last = broken.splitter.last_id.clone()?;
    let mut endpoint = broken.placed.endpoint.id.clone();
    loop {
        if !forward::may_repeat(node, ask, history, &endpoint, "stream_broken") {
            return None;
        }
        let placed = forward::place(node, ask, &history.tried).await.ok()?;
        endpoint = placed.endpoint.id.clone();
        history.tried.push(endpoint.clone());
        history.sent += 1;
        let attempt = forward::attempt(node, ask, placed, Some(last.clone())).await;
        match attempt {
            Attempt::Stream(mut open) => {
                open.splitter.last_id.get_or_insert(last);
                return Some(*open);
            }
            Attempt::TimedOut => return None,
            other => log::info!(
                "pump: event=resume_failed id={} endpoint={endpoint} attempt={other:?}",
                ask.demand.id
            ),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
