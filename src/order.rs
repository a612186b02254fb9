//! Orders to endpoints: idempotent by id, and fenced by the lease of the duty that sends them.
//!
//! Endpoints that check fencing numbers reject the orders of a former holder. For the others a new
//! holder waits until no order of its predecessor can be on its way, and reads the state of the
//! endpoint first. See `docs/design.md`, section 9.8.

mod shell;

pub use shell::{Sender, State};

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::lease;

/// Longest time after the end of a lease at which an order sent under it can still arrive.
pub const SETTLE: Duration = Duration::from_secs(2);
/// Time that the answer to an order may take; the lease must outlast it when the order is sent.
pub const ANSWER: Duration = Duration::from_secs(1);
/// Pause before an order with an unknown outcome is sent again with the same id.
const RETRY: Duration = Duration::from_millis(500);

/// Tells an endpoint to change what it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Makes the order idempotent: an endpoint runs an id once and answers 200 to repeats.
    pub id: Arc<str>,
    /// Fencing number of the lease under which the order is sent.
    pub fence: u64,
    #[serde(flatten)]
    pub kind: Kind,
}

/// Lists what an endpoint can be told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    LoadModel { model: Arc<str> },
    LoadAdapter { adapter: Arc<str> },
    LoadVersion { version: Arc<str> },
    ChangeRole { role: Arc<str> },
    Drain,
}

/// Tells the shell what to do for an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Send(Order),
    /// Read the state of the endpoint, then report it with `Desk::state_read`.
    ReadState,
    Wait(Duration),
    /// The lease has no time left for an order.
    NotHolder,
}

/// Tells how an endpoint answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Status 200: the order was run now or before.
    Accepted,
    /// Status 409: the endpoint has seen a higher fencing number.
    Fenced,
    /// Any other status: the endpoint rejects the order itself.
    Rejected(u16),
    /// No answer; the order may have been run.
    Unknown,
}

/// Decides when orders may be sent; one for each duty.
#[derive(Debug, Default)]
pub struct Desk {
    /// Fencing number that the endpoints below belong to.
    fence: u64,
    /// Set when an endpoint has seen a higher fencing number than ours.
    fenced: bool,
    endpoints: BTreeMap<Arc<str>, Endpoint>,
}

#[derive(Debug, Default)]
struct Endpoint {
    state_read: bool,
    retry_at: Duration,
}

impl Desk {
    /// Decides what to do for an order; asked again after each action and each wait.
    pub fn next(
        &mut self,
        endpoint: &Arc<str>,
        checks_fencing: bool,
        id: &Arc<str>,
        kind: &Kind,
        holder: Option<lease::Holder>,
        now: Duration,
    ) -> Action {
        let Some(holder) = holder.filter(|holder| holder.check(now, ANSWER)) else {
            return Action::NotHolder;
        };
        self.follow(holder.fence);
        if self.fenced {
            return Action::NotHolder;
        }
        let known = self.endpoints.entry(endpoint.clone()).or_default();
        if now < known.retry_at {
            return Action::Wait(known.retry_at);
        }
        if !checks_fencing {
            let settled = holder.predecessor_end + SETTLE;
            if now < settled {
                return Action::Wait(settled);
            }
            if !known.state_read {
                return Action::ReadState;
            }
        }
        Action::Send(Order { id: id.clone(), fence: holder.fence, kind: kind.clone() })
    }

    /// Reports that the state of an endpoint was read under a fencing number.
    pub fn state_read(&mut self, endpoint: &Arc<str>, fence: u64) {
        // A state that was read under an older lease can be outdated by orders since.
        if fence == self.fence {
            self.endpoints.entry(endpoint.clone()).or_default().state_read = true;
        }
    }

    /// Reports that the state of an endpoint could not be read.
    pub fn state_unknown(&mut self, endpoint: &Arc<str>, now: Duration) {
        self.endpoints.entry(endpoint.clone()).or_default().retry_at = now + RETRY;
    }

    /// Takes the answer to an order that was sent under `fence`; tells whether it is finished.
    pub fn answered(
        &mut self,
        endpoint: &Arc<str>,
        fence: u64,
        answer: Answer,
        now: Duration,
    ) -> bool {
        match answer {
            Answer::Accepted | Answer::Rejected(_) => true,
            Answer::Fenced => {
                // An order under a former lease of ours says nothing about the present one.
                self.fenced |= fence == self.fence;
                false
            }
            Answer::Unknown => {
                self.endpoints.entry(endpoint.clone()).or_default().retry_at = now + RETRY;
                false
            }
        }
    }

    /// Forgets an endpoint that has left.
    pub fn forget(&mut self, endpoint: &str) {
        self.endpoints.remove(endpoint);
    }

    fn follow(&mut self, fence: u64) {
        if fence != self.fence {
            self.fence = fence;
            self.fenced = false;
            self.endpoints.clear();
        }
    }
}
