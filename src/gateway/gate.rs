//! The last check of an endpoint before a request is written to it.
//!
//! Between the placement of a request and its write lie a new connection or the transfer of a stream's state. What
//! the endpoint has stated meanwhile counts. Writing a request takes a [`Pass`], which only [`admit`] gives out, so
//! that no way to an endpoint leaves the check out. See "What endpoints state about themselves" in
//! `docs/platform.md` for what it can't hold.

use std::time::Duration;

use crate::gateway::platform::Endpoint;
use crate::gateway::rate_limit::Permit;
use crate::gateway::roster::Roster;

/// Permission to write one request or call to an endpoint now.
#[derive(Debug)]
pub struct Pass(());

/// Why a request is not written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// The endpoint leaves.
    Leaving,
    /// The endpoint is no longer listed, or has started again.
    Gone,
    /// The failure domain of the endpoint is evacuated.
    Evacuated,
    /// The endpoint has asked this node for a pause.
    Paused,
    /// The endpoint has named a limit since the request was placed, and this node's part of it is used up.
    Limited,
    /// The endpoint is cold, and this node's part of its rate is used up.
    Cold,
}

impl Hold {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Hold::Leaving => "leaving",
            Hold::Gone => "gone",
            Hold::Evacuated => "evacuated",
            Hold::Paused => "paused",
            Hold::Limited => "limited",
            Hold::Cold => "cold",
        }
    }
}

/// Returns the permission for the call that stops a stream on an endpoint to move it away. It relieves the endpoint,
/// so that it doesn't wait for the endpoint's limit, but is charged to it.
pub fn admit_transfer(roster: &mut Roster, endpoint: &Endpoint, now: Duration) -> Pass {
    roster.stated.limits.spend(&endpoint.id, now);
    roster.stated.cold.spend(&endpoint.id, now);
    Pass(())
}

/// Returns the permission to write a request to an endpoint that was chosen for it.
///
/// `is_limit_paid` tells whether the request was charged to the endpoint's rate limit when it was placed, and
/// `cold_charged_at` when it was charged to the rate of a cold endpoint. An endpoint
/// that only fails is not held back here: it was chosen in spite of that.
///
/// # Errors
///
/// Returns the reason if the endpoint gets no requests by now. The request then has to be placed again.
pub fn admit(
    roster: &mut Roster,
    endpoint: &Endpoint,
    is_limit_paid: bool,
    cold_charged_at: Option<Duration>,
    now: Duration,
) -> Result<Pass, Hold> {
    let entry = roster.get(&endpoint.id).ok_or(Hold::Gone)?;
    if roster.stated.is_leaving(&endpoint.id, endpoint.started_ms) || entry.endpoint.draining {
        return Err(Hold::Leaving);
    }
    if roster.has_later_start(endpoint) || entry.is_given_up(now) {
        return Err(Hold::Gone);
    }
    if roster.is_evacuated(endpoint) {
        return Err(Hold::Evacuated);
    }
    if roster.stated.pauses.is_paused(&endpoint.id, now) {
        return Err(Hold::Paused);
    }
    if !is_limit_paid && roster.stated.limits.permit(&endpoint.id, now) != Permit::Granted {
        return Err(Hold::Limited);
    }
    if !roster.stated.cold.admit(&endpoint.id, cold_charged_at, now) {
        return Err(Hold::Cold);
    }
    if !is_limit_paid {
        roster.stated.limits.spend(&endpoint.id, now);
    }
    Ok(Pass(()))
}
