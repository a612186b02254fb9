//! Orders to endpoints: idempotent by id, and fenced by the lease of the duty that sends them.
//!
//! Endpoints that check fencing numbers reject the orders of a former holder. For other endpoints,
//! a new holder first waits until no order of the previous holder can still arrive, then reads the
//! state of the endpoint before it sends an order. See `docs/design.md`, section 9.8.

mod sender;

pub use sender::{Sender, State};

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::lease;

/// Longest time after the expiry of a lease at which an order sent under it can still arrive.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(2);
/// Timeout for the answer to an order; an order is sent only if the lease stays valid for longer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a failed read of an endpoint's state, or an order with an unknown outcome, is
/// repeated; the order keeps its id.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Instructs an endpoint to change what it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Idempotency key: an endpoint runs each id once and answers repeats with status 200.
    pub id: Arc<str>,
    /// Fencing number of the lease under which the order is sent.
    pub fence: u64,
    #[serde(flatten)]
    pub kind: Kind,
}

/// Instruction that an order carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    LoadModel { model: Arc<str> },
    LoadAdapter { adapter: Arc<str> },
    LoadVersion { version: Arc<str> },
    ChangeRole { role: Arc<str> },
    Drain,
}

/// What the sender of an order has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Send(Order),
    /// Read the state of the endpoint, then call `Scheduler::record_state_read` or
    /// `Scheduler::record_read_failure`.
    ReadState,
    /// Wait until this time, then call `Scheduler::next_action` again.
    Wait(Duration),
    /// The lease is not held, expires too soon for an order, or has been fenced off.
    NotHolder,
}

/// How an endpoint answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Status 200: the endpoint has run the order, now or at an earlier attempt.
    Accepted,
    /// Status 409: the endpoint has seen a higher fencing number.
    Fenced,
    /// Any other 4xx status: the endpoint rejects the order for its content.
    Rejected(u16),
    /// No answer, or another status: the order may have been run.
    Unknown,
}

/// Decides when the orders of one duty may be sent.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// Fencing number of the lease that the other fields belong to.
    fence: u64,
    /// Set when an endpoint has seen a higher fencing number than `fence`.
    fenced: bool,
    endpoints: BTreeMap<Arc<str>, Endpoint>,
}

#[derive(Debug, Default)]
struct Endpoint {
    state_read: bool,
    retry_at: Duration,
}

impl Scheduler {
    /// Returns what to do next for an order; called again after each action and each wait.
    pub fn next_action(
        &mut self,
        endpoint: &Arc<str>,
        checks_fencing: bool,
        id: &Arc<str>,
        kind: &Kind,
        grant: Option<lease::Grant>,
        now: Duration,
    ) -> Action {
        let Some(grant) = grant.filter(|grant| grant.is_valid_for(now, ANSWER_TIMEOUT)) else {
            return Action::NotHolder;
        };
        self.set_fence(grant.fence);
        if self.fenced {
            return Action::NotHolder;
        }
        let entry = self.endpoints.entry(endpoint.clone()).or_default();
        if now < entry.retry_at {
            return Action::Wait(entry.retry_at);
        }
        if !checks_fencing {
            let settled = grant.predecessor_end + MAX_ORDER_DELAY;
            if now < settled {
                return Action::Wait(settled);
            }
            if !entry.state_read {
                return Action::ReadState;
            }
        }
        Action::Send(Order { id: id.clone(), fence: grant.fence, kind: kind.clone() })
    }

    /// Records that the state of an endpoint was read under the lease with this fencing number.
    pub fn record_state_read(&mut self, endpoint: &Arc<str>, fence: u64) {
        // State read under an earlier lease may be outdated by orders sent since.
        if fence == self.fence {
            self.endpoints.entry(endpoint.clone()).or_default().state_read = true;
        }
    }

    /// Records that reading the state of an endpoint failed, which delays the next attempt.
    pub fn record_read_failure(&mut self, endpoint: &Arc<str>, now: Duration) {
        self.endpoints.entry(endpoint.clone()).or_default().retry_at = now + RETRY_DELAY;
    }

    /// Handles the answer to an order sent under `fence`; returns whether the order is finished.
    pub fn handle_answer(
        &mut self,
        endpoint: &Arc<str>,
        fence: u64,
        answer: Answer,
        now: Duration,
    ) -> bool {
        match answer {
            Answer::Accepted | Answer::Rejected(_) => true,
            Answer::Fenced => {
                // A rejection of an order sent under an earlier lease does not concern the current
                // one.
                self.fenced |= fence == self.fence;
                false
            }
            Answer::Unknown => {
                self.endpoints.entry(endpoint.clone()).or_default().retry_at = now + RETRY_DELAY;
                false
            }
        }
    }

    /// Removes the state of an endpoint that no longer exists.
    pub fn remove(&mut self, endpoint: &str) {
        self.endpoints.remove(endpoint);
    }

    fn set_fence(&mut self, fence: u64) {
        if fence != self.fence {
            self.fence = fence;
            self.fenced = false;
            self.endpoints.clear();
        }
    }
}
