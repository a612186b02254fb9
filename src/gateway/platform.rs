//! Interface to the users' platform: what the gateway asks of it, in the product's own terms.
//!
//! The adapter in `platform/` fills these closures in; tests fill in others. Each call has its own
//! deadline inside the closure.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::gateway::{catalog, metrics};
use crate::platform::{Failure, Outcome, Row, Transaction};

pub type Answer<T> = Pin<Box<dyn Future<Output = Result<T, Failure>>>>;
pub type Call<I, O> = Box<dyn Fn(I) -> Answer<O>>;

/// Asks for what has changed since a version; `None` asks for everything.
#[derive(Debug, Clone, Copy)]
pub struct Follow {
    pub after: Option<u64>,
    /// Longest time that the platform holds the call until something has changed.
    pub wait: Duration,
}

/// Holds changes in order, up to a version of the store.
#[derive(Debug)]
pub struct Batch<T> {
    pub changes: Vec<T>,
    pub version: u64,
    /// Set when `changes` holds everything there is, not only what has changed.
    pub complete: bool,
}

#[derive(Debug)]
pub enum Declaration {
    Catalog(Box<catalog::Catalog>),
    /// Asks to move the traffic of a service to a version within a time.
    Rollout {
        service: Arc<str>,
        version: Arc<str>,
        within: Duration,
        revision: u64,
    },
}

/// Describes an endpoint as it registered itself.
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
    /// Time until a draining endpoint is gone, where it is known.
    pub leaves_in: Option<Duration>,
    /// Unix time of its start in milliseconds, which tells two starts under one id apart.
    pub born_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    Seen(Endpoint),
    Gone(Arc<str>),
}

impl Change {
    /// Gives the endpoint's identifier.
    pub fn id(&self) -> &Arc<str> {
        match self {
            Change::Seen(endpoint) => &endpoint.id,
            Change::Gone(id) => id,
        }
    }
}

/// Proves to the platform who sends an order.
#[derive(Debug, Clone)]
pub struct Signature {
    pub holder: Arc<str>,
    pub fence: u64,
}

#[derive(Debug, Clone)]
pub struct Usage {
    pub signature: Signature,
    pub window: u64,
    pub counts: Vec<(Arc<str>, u64)>,
}

/// Orders a number of endpoints of a service in a failure domain.
#[derive(Debug, Clone)]
pub struct Order {
    pub signature: Signature,
    pub service: Arc<str>,
    pub domain: Arc<str>,
    pub reclaimable: bool,
    pub count: u32,
}

/// Tells how the platform took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    Taken,
    /// There are no such endpoints to be had at the moment.
    Unavailable,
}

/// Asks an endpoint to stop a stream and to copy its state to another one.
#[derive(Debug, Clone)]
pub struct Transfer {
    /// Identifies the request that the endpoint runs.
    pub id: Arc<str>,
    pub from: SocketAddr,
    pub to: SocketAddr,
    pub timeout: Duration,
}

/// Names the state of a stopped stream.
#[derive(Debug, Clone)]
pub struct State {
    /// Names the state to the endpoint that goes on with it.
    pub name: Arc<str>,
    /// Set when the copy has arrived; otherwise only the old endpoint has it.
    pub is_copied: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    InProgress,
    Completed,
    Reverted,
}

/// Reports how far a roll-out is.
#[derive(Debug, Clone)]
pub struct Progress {
    pub service: Arc<str>,
    pub version: Arc<str>,
    pub phase: Phase,
}

/// Holds the rows of one of the product's own tables and the store's steady clock.
#[derive(Debug)]
pub struct Rows {
    pub rows: Vec<Row>,
    pub now_ms: u64,
}

pub struct Platform {
    pub declarations: Call<Follow, Batch<Declaration>>,
    pub endpoints: Call<Follow, Batch<Change>>,
    /// Reads the product's own rows whose keys begin with a prefix.
    pub rows: Call<String, Rows>,
    /// Writes the product's own rows under conditions.
    pub transact: Call<Transaction, Outcome>,
    pub usage: Call<Usage, Acceptance>,
    pub order: Call<Order, Acceptance>,
    /// Stops a stream and copies its state to another endpoint.
    pub transfer: Call<Transfer, State>,
    pub progress: Call<Progress, ()>,
}

impl Platform {
    /// Gives the same calls with their outcomes counted.
    pub fn counted(self, metrics: &metrics::Registry) -> Platform {
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

/// One part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    pub hash: u64,
    pub tokens: u32,
}

/// Describes the prompt and the answer of a request to a model.
#[derive(Debug, Clone, Default)]
pub struct Prompt {
    pub prompt_tokens: u32,
    pub max_output_tokens: u32,
    pub parts: SmallVec<[Part; 4]>,
}

/// Holds what a caller asks for beside method, path and body.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Identifies one attempt of a caller.
    pub id: Arc<str>,
    pub deadline: Option<Duration>,
    pub key: Option<Arc<str>>,
    pub prompt: Option<Prompt>,
    pub last_event: Option<Arc<str>>,
}

/// Holds what the gateway tells an endpoint beside the request itself.
#[derive(Debug, Clone)]
pub struct Dispatch {
    pub endpoint: Arc<str>,
    pub tenant: Option<Arc<str>>,
    pub left: Duration,
    /// From 0, the most urgent, to 9.
    pub priority: Option<u8>,
    /// Identifier of the last event that the caller has got.
    pub last_event: Option<Arc<str>>,
    /// State of the stream from which the endpoint goes on.
    pub state: Option<Arc<str>>,
}

/// Holds what the head of an endpoint's answer says beside its status.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    pub id: Option<Arc<str>>,
    /// Set when the answer bears the endpoint's seal.
    pub sealed: bool,
    /// Set when the endpoint states that it has not run the request and never will.
    pub not_run: bool,
}

/// Translates heads of messages between the wire and the product's types.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Reads a caller's headers; fails with the reason for a 400.
    pub read: fn(&HeaderMap) -> Result<Demand, &'static str>,
    /// Turns a caller's headers into those for an endpoint.
    pub dispatch: fn(&mut HeaderMap, &Dispatch),
    pub reply: fn(StatusCode, &HeaderMap) -> Reply,
    /// Turns an endpoint's headers into those for the caller.
    pub relay: fn(&mut HeaderMap),
}
