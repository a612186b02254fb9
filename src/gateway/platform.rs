//! Interface to the users' platform: the calls that the gateway makes and their types.
//!
//! The adapter in `platform/` provides the closures; tests provide others. Each closure sets the deadline
//! of its own call.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::gateway::version::Version;
use crate::gateway::{catalog, gate, metrics};
use crate::platform::{Failure, Outcome, Row, Transaction};

pub type CallFuture<T> = Pin<Box<dyn Future<Output = Result<T, Failure>>>>;
pub type Call<I, O> = Box<dyn Fn(I) -> CallFuture<O>>;

/// Long poll for the changes after a version; without a version, for everything.
#[derive(Debug, Clone, Copy)]
pub struct LongPoll {
    pub after: Option<Version>,
    /// Longest time that the platform holds the call until there is a change.
    pub wait: Duration,
}

/// Changes in order, up to a version of the store.
#[derive(Debug)]
pub struct Batch<T> {
    pub changes: Vec<T>,
    pub version: Version,
    /// Version of the newest of the changes; the number is 0 without changes.
    pub newest_change: Version,
    /// Set if `changes` is the whole current content instead of the changes after a version.
    pub is_complete: bool,
    /// Set if the platform may have had changes after `version` already when it answered.
    pub is_partial: bool,
}

#[derive(Debug)]
pub enum Declaration {
    Catalog(Box<catalog::Catalog>),
    /// A newer catalog of which nothing can be read, so that the one before is no longer in force.
    UnreadableCatalog {
        reason: String,
    },
    /// Moves the traffic of a service to a version before a deadline.
    Rollout {
        service: Arc<str>,
        version: Arc<str>,
        time_limit: Duration,
        revision: Version,
    },
    /// An order of a roll-out that can't be carried out, since its version or time limit can't be read.
    UnreadableRollout {
        service: Arc<str>,
        version: Option<Arc<str>>,
        revision: Version,
        reason: String,
    },
    /// The order of a roll-out was removed, which takes nothing back.
    RolloutRemoved {
        service: Arc<str>,
    },
    /// Nothing more is sent to the endpoints of a failure domain.
    Evacuation {
        domain: Arc<str>,
    },
    /// The endpoints of a failure domain get requests again.
    EvacuationEnd {
        domain: Arc<str>,
    },
}

/// Endpoint as it registered itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub address: SocketAddr,
    pub domain: Arc<str>,
    pub version: Arc<str>,
    pub slots: u32,
    pub draining: bool,
    pub reclaimable: bool,
    /// Time until a draining endpoint stops, if known.
    pub leaves_in: Option<Duration>,
    /// Unix time of its start in milliseconds, which distinguishes two starts with the same ID.
    pub started_ms: u64,
    /// Time for which the endpoint tolerates only few requests, as its row states it.
    pub cold_for: Option<Duration>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    Updated(Endpoint),
    Removed(Arc<str>),
    /// The endpoint's row is there and names no endpoint to use.
    Unreadable {
        id: Arc<str>,
        /// Empty for a change that a peer has read.
        #[serde(skip)]
        reason: String,
    },
}

impl Change {
    /// Returns the identifier of the endpoint.
    pub fn id(&self) -> &Arc<str> {
        match self {
            Change::Updated(endpoint) => &endpoint.id,
            Change::Removed(id) | Change::Unreadable { id, .. } => id,
        }
    }
}

/// Holder of the duties lease and its fencing token, sent with each call to the cloud interface.
#[derive(Debug, Clone)]
pub struct Fence {
    pub holder: Arc<str>,
    pub token: u64,
}

/// Usage report of one window.
#[derive(Debug, Clone)]
pub struct Usage {
    pub fence: Fence,
    pub window: u64,
    pub counts: Vec<(Arc<str>, u64)>,
}

/// Order for the number of endpoints of a service in a failure domain.
#[derive(Debug, Clone)]
pub struct Order {
    pub fence: Fence,
    pub service: Arc<str>,
    pub domain: Arc<str>,
    pub reclaimable: bool,
    pub count: u32,
}

/// Response of the platform to an order or a usage report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    Taken,
    /// The platform has no such endpoints at the moment.
    Unavailable,
}

/// Request to an endpoint to stop a stream and to copy its state to another endpoint.
#[derive(Debug)]
pub struct Transfer {
    /// Identifies the request that the endpoint runs.
    pub id: Arc<str>,
    pub from: SocketAddr,
    pub to: SocketAddr,
    pub timeout: Duration,
    pub pass: gate::Pass,
}

/// State of a stopped stream that an endpoint keeps.
#[derive(Debug, Clone)]
pub struct State {
    /// Identifies the state to the endpoint that continues the stream.
    pub name: Arc<str>,
    /// Set if the copy has arrived; otherwise only the old endpoint has the state.
    pub is_copied: bool,
}

/// Response of an endpoint to a [`Transfer`].
#[derive(Debug, Clone)]
pub enum Stop {
    /// The stream is stopped.
    Stopped(State),
    /// The endpoint runs no such stream: it has ended by itself.
    NotRunning,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    InProgress,
    Completed,
    Reverted,
}

/// Progress report of a roll-out.
#[derive(Debug, Clone)]
pub struct Progress {
    pub service: Arc<str>,
    pub version: Arc<str>,
    pub phase: Phase,
    /// Writes of the gateway's own rows that take effect together with the report, or with their conditions prevent it.
    pub transaction: Transaction,
}

/// Rows of the gateway's own table.
#[derive(Debug)]
pub struct Rows {
    pub rows: Vec<Row>,
    /// Time of the store's steady clock, in milliseconds.
    pub now_ms: u64,
}

pub struct Platform {
    pub declarations: Call<LongPoll, Batch<Declaration>>,
    pub endpoints: Call<LongPoll, Batch<Change>>,
    /// Reads the gateway's own rows whose keys begin with a prefix.
    pub rows: Call<String, Rows>,
    /// Writes the gateway's own rows if the conditions hold.
    pub transact: Call<Transaction, Outcome>,
    pub usage: Call<Usage, Acceptance>,
    pub order: Call<Order, Acceptance>,
    /// Stops a stream and copies its state to another endpoint.
    pub transfer: Call<Transfer, Stop>,
    /// Reports the progress of a roll-out.
    pub progress: Call<Progress, Outcome>,
}

impl Platform {
    /// Wraps each call so that `metrics` counts its outcomes.
    pub fn with_metrics(self, metrics: &metrics::Registry) -> Platform {
        Platform {
            declarations: metrics.count_outcomes("declarations", self.declarations),
            endpoints: metrics.count_outcomes("endpoints", self.endpoints),
            rows: metrics.count_outcomes("rows", self.rows),
            transact: metrics.count_outcomes("transact", self.transact),
            usage: metrics.count_outcomes("usage", self.usage),
            order: metrics.count_outcomes("order", self.order),
            transfer: metrics.count_outcomes("transfer", self.transfer),
            progress: metrics.count_outcomes("progress", self.progress),
        }
    }
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform").finish_non_exhaustive()
    }
}

/// Part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    pub hash: u64,
    pub tokens: u32,
}

/// Prompt and maximum response length of a request to a model.
#[derive(Debug, Clone, Default)]
pub struct Prompt {
    pub prompt_tokens: u32,
    pub max_output_tokens: u32,
    pub parts: SmallVec<[Part; 4]>,
}

impl Prompt {
    /// Returns the tokens of the parts that other requests may share: all parts but the last.
    pub fn shared_tokens(&self) -> u32 {
        let shared = &self.parts[..self.parts.len().saturating_sub(1)];
        shared.iter().map(|part| part.tokens).sum()
    }
}

/// Values that the gateway reads from a caller's headers.
#[derive(Debug, Clone, Default)]
pub struct Metadata {
    /// Identifies one attempt of a caller.
    pub id: Arc<str>,
    pub deadline: Option<Duration>,
    pub key: Option<Arc<str>>,
    pub prompt: Option<Prompt>,
    pub last_event: Option<Arc<str>>,
}

/// Values that the gateway adds to the headers of a request to an endpoint.
#[derive(Debug, Clone)]
pub struct Dispatch {
    pub endpoint: Arc<str>,
    pub tenant: Option<Arc<str>>,
    /// Time until the deadline of the request.
    pub remaining_time: Duration,
    /// From 0, the most urgent, to 9.
    pub priority: Option<u8>,
    /// Identifier of the last event that the caller has received.
    pub last_event: Option<Arc<str>>,
    /// Name of the stream state from which the endpoint continues.
    pub state: Option<Arc<str>>,
}

/// Requests per second that an endpoint takes from all nodes together, as a response states it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum RateLimit {
    /// The response names no limit, which ends an earlier one.
    #[default]
    Absent,
    PerSecond(f64),
    /// The response names no limit, but isn't certain to be the endpoint's newest word: what is known holds.
    Unstated,
    /// The response names a limit that can't be read.
    Unreadable,
}

/// Time for which an endpoint wants no requests from the node to which it sends a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Pause {
    #[default]
    Absent,
    For(Duration),
    /// The response names a time that can't be read.
    Unreadable,
}

/// What an endpoint states about itself in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Statement {
    pub rate_limit: RateLimit,
    /// Set if the endpoint takes no new requests and will be gone.
    pub is_leaving: bool,
    /// Asked for with a refusal.
    pub pause: Pause,
    /// Time for which the endpoint tolerates only few requests.
    pub cold_for: Option<Duration>,
}

impl Statement {
    /// Returns the statement of a response that isn't certain to be the endpoint's newest word. It begins what it
    /// states and ends nothing.
    pub fn without_ends(mut self) -> Statement {
        if self.rate_limit == RateLimit::Absent {
            self.rate_limit = RateLimit::Unstated;
        }
        self
    }
}

/// Values that the gateway reads from the headers of an endpoint's response.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    pub id: Option<Arc<str>>,
    /// Set if the response carries the header which shows that it is the endpoint's own.
    pub is_sealed: bool,
    /// Set if the endpoint states that it has not run the request and never will.
    pub is_not_run: bool,
    /// What the endpoint states about itself; `None` if another process may have sent the response.
    pub statement: Option<Statement>,
}

/// Functions that read and rewrite the platform's HTTP headers.
#[derive(Debug, Clone, Copy)]
pub struct HeaderCodec {
    /// Parses a caller's headers; fails with the reason for a 400 response.
    pub parse_request: fn(&HeaderMap) -> Result<Metadata, &'static str>,
    /// Rewrites a caller's headers for an endpoint.
    pub rewrite_request: fn(&mut HeaderMap, &Dispatch),
    pub parse_reply: fn(StatusCode, &HeaderMap) -> Reply,
    /// Rewrites an endpoint's headers for the caller.
    pub rewrite_reply: fn(&mut HeaderMap),
}
