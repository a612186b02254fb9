//! When the streams of a leaving endpoint are moved, and how.
//!
//! The load to answer is the reclaim of all endpoints of a failure domain on two or three seconds of
//! notice. Most streams end within that time by themselves; the others are stopped shortly before it
//! is over and go on at another endpoint from their state, so that nothing is generated twice and a
//! stream that can't be run again is not lost.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::clock;
use crate::gateway::handle::Ask;
use crate::gateway::node::Node;
use crate::gateway::place::{self, Placement};
use crate::gateway::platform::{State, Transfer};

/// Time before the end of an endpoint at which its streams are moved: their states share a link,
/// and each takes some tens of milliseconds.
const LEAD: Duration = Duration::from_millis(1_000);
/// Longest time that one move may take.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Gives the time at which the stream on an endpoint is to be moved; `None` while it stays.
pub fn due(node: &Node, placed: &Placement, now: Duration) -> Option<Duration> {
    let endpoint = &placed.endpoint;
    let leaves_at = node.roster.borrow().leaves_at(&endpoint.id, endpoint.born_ms)?;
    Some(time_to_move(leaves_at, now))
}

/// Gives the time to move for an endpoint that leaves at `leaves_at`.
pub fn time_to_move(leaves_at: Duration, now: Duration) -> Duration {
    leaves_at.saturating_sub(LEAD).max(now)
}

/// A stream that was stopped, with the endpoint that goes on.
#[derive(Debug)]
pub struct Moved {
    pub placed: Placement,
    pub state: State,
}

/// Stops a stream and copies its state; `None` when it goes on where it is, or is lost.
pub async fn transfer(
    node: Rc<Node>,
    ask: Rc<Ask>,
    from: crate::gateway::platform::Endpoint,
) -> Option<Moved> {
    let placed = place::try_acquire(&node, &ask, std::slice::from_ref(&from.id))?;
    let began = clock::now();
    let transfer = Transfer {
        id: ask.demand.id.clone(),
        from: from.address,
        to: placed.endpoint.address,
        timeout: TIMEOUT,
    };
    let result = (node.platform.transfer)(transfer).await;
    let took = clock::now().saturating_sub(began).as_millis();
    log::info!(
        "handover: event=moved id={} from={} to={} took_ms={took} result={result:?}",
        ask.demand.id,
        from.id,
        placed.endpoint.id
    );
    node.metrics
        .record_outcome(&ask.route.name, if result.is_ok() { "moved" } else { "move_failed" });
    Some(Moved { placed, state: result.ok()? })
}
