//! Decisions of a node about requests that find no room, from the shares of [`crate::gateway::share`].
//!
//! They are off while no service is short: nobody waits, and nobody was rejected in the last second.

use std::time::Duration;

use crate::gateway::handle::Context;
use crate::gateway::node::Node;
use crate::gateway::share::Claim;

/// Shortest time after which a rejected caller comes back; capacity is released several times a second.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Returns the time over which callers that are rejected now come back.
pub fn retry_after(node: &Node, context: &Context, now: Duration) -> Duration {
    let waiting = node.waiting.borrow();
    let after = waiting.get(&context.service).map(|it| it.queue.retry_after(now));
    after.unwrap_or(MIN_RETRY_AFTER)
}

/// Records that a request is rejected for lack of room.
pub fn record_rejection(node: &Node, context: &Context, claim: &Claim, now: Duration) {
    node.with_share(&context.service, |share| {
        share.record_lack(claim, now);
        share.record_rejection(now);
    });
}

/// Returns whether others want the room that a request leaves free. Room is kept free only for these, so that no
/// request is refused while there is room that nothing waits for.
pub fn is_room_wanted(node: &Node, service: &str, claim: &Claim, now: Duration) -> bool {
    let waiting = node.waiting.borrow();
    waiting.get(service).is_some_and(|it| it.queue.share.is_wanted(claim, now))
}

/// Rejects a request that found no room if its tenant has used more than its share while others that used
/// less lack room; returns the time after which the caller should retry.
pub fn refuse_above_share(
    node: &Node,
    context: &Context,
    claim: &Claim,
    now: Duration,
) -> Option<Duration> {
    if !node.with_share(&context.service, |share| share.is_above(claim, now)) {
        return None;
    }
    record_rejection(node, context, claim, now);
    let after = retry_after(node, context, now);
    log::info!(
        "place: event=share_used id={} service={} tenant={} work={} advice_ms={}",
        context.metadata.id,
        context.service,
        claim.tenant,
        claim.work,
        after.as_millis()
    );
    node.metrics.record_share_rejection(&context.service);
    Some(after)
}

/// Sets the least time between two requests of a service that the rate limits of its endpoints allow.
pub fn set_min_interval(node: &Node, context: &Context, interval: Duration) {
    if let Some(waiting) = node.waiting.borrow_mut().get_mut(&context.service) {
        waiting.queue.set_min_interval(interval);
    }
}
