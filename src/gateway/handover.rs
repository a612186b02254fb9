//! Handover of the streams of a leaving endpoint to other endpoints.
//!
//! The case to survive is the reclaim of all endpoints of a failure domain with two or three seconds
//! of notice. Most streams end by themselves within that time. The others are stopped shortly before
//! it expires and continue at another endpoint from their copied state, so that no output is
//! generated twice and a stream that can't be rerun is not lost.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::clock;
use crate::gateway::gate;
use crate::gateway::handle::Context;
use crate::gateway::node::Node;
use crate::gateway::place;
use crate::gateway::placement::Placement;
use crate::gateway::platform::{State, Stop, Transfer};
use crate::platform::Failure;

/// Time before the end of an endpoint at which its streams are handed over. The state copies share
/// one network link, and each takes some tens of milliseconds.
const LEAD_TIME: Duration = Duration::from_millis(1_000);
/// Longest time that one handover may take.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Returns the time at which the stream on an endpoint must be handed over; `None` unless the
/// endpoint is leaving.
pub fn handover_time(node: &Node, placement: &Placement, now: Duration) -> Option<Duration> {
    let endpoint = &placement.endpoint;
    let leaves_at = node.roster.borrow().leaves_at(&endpoint.id, endpoint.started_ms)?;
    Some(start_time(leaves_at, now))
}

/// Returns the time at which the handover from an endpoint that leaves at `leaves_at` starts, at the
/// earliest `now`.
pub fn start_time(leaves_at: Duration, now: Duration) -> Duration {
    leaves_at.saturating_sub(LEAD_TIME).max(now)
}

/// State of a stopped stream and the endpoint that continues it.
#[derive(Debug)]
pub struct Handover {
    pub placement: Placement,
    pub state: State,
}

/// Result of an attempt to hand a stream over.
#[derive(Debug)]
pub enum Attempt {
    /// The stream is stopped, and its state is kept.
    Stopped(Box<Handover>),
    /// The endpoint was not asked to stop the stream, or the stream had ended by itself.
    NotStopped,
    /// The endpoint may have stopped the stream. The end of its events is then not the end of the stream.
    Unknown,
}

/// Stops a stream and copies its state to another endpoint, if one has room for it now.
pub async fn transfer(
    node: Rc<Node>,
    context: Rc<Context>,
    from: crate::gateway::platform::Endpoint,
) -> Attempt {
    let placement = place::try_acquire(&node, &context, std::slice::from_ref(&from.id));
    let Some(placement) = placement else { return Attempt::NotStopped };
    let started_at = clock::now();
    let transfer = Transfer {
        id: context.metadata.id.clone(),
        from: from.address,
        to: placement.endpoint.address,
        timeout: TIMEOUT,
        pass: gate::admit_transfer(&mut node.roster.borrow_mut(), &from, started_at),
    };
    let result = (node.platform.transfer)(transfer).await;
    let took_ms = clock::now().saturating_sub(started_at).as_millis();
    log::info!(
        "handover: event=moved id={} from={} to={} took_ms={took_ms} result={result:?}",
        context.metadata.id,
        from.id,
        placement.endpoint.id
    );
    let attempt = match result {
        Ok(Stop::Stopped(state)) => Attempt::Stopped(Box::new(Handover { placement, state })),
        Ok(Stop::NotRunning) | Err(Failure::NotRun(_)) => Attempt::NotStopped,
        Err(Failure::Unknown(_)) => Attempt::Unknown,
    };
    let is_moved = matches!(attempt, Attempt::Stopped(_));
    node.metrics
        .record_outcome(&context.route.name, if is_moved { "moved" } else { "move_failed" });
    attempt
}
