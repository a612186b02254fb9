//! State of one gateway node, shared by its tasks, which all run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::sync::{Notify, watch};

use crate::gateway::balancer::Balancer;
use crate::gateway::budget::{Budget, Limit};
use crate::gateway::catalog::Catalog;
use crate::gateway::demand::Demand;
use crate::gateway::lateness::Lateness;
use crate::gateway::link::Pools;
use crate::gateway::notice::Notices;
use crate::gateway::peers::Peers;
use crate::gateway::platform::{HeaderCodec, Platform};
use crate::gateway::quarantine::Quarantine;
use crate::gateway::queue::{Queue, Rank};
use crate::gateway::quota::Quotas;
use crate::gateway::roster::Roster;
use crate::gateway::settings::Settings;
use crate::gateway::share::{self, Share};
use crate::gateway::shift::Shifts;
use crate::gateway::speed::Speeds;
use crate::gateway::unreadable::{self, Kind};
use crate::gateway::usage::{Source, Usage};
use crate::gateway::{clock, follow, metrics, serve};
use crate::intake::{self, account, connections};
use crate::platform::Row;

/// Longest time after a start for which the node stays unready while it doesn't know how much of
/// their quotas the tenants have used; after the first catalog if there was none that it could read for as long.
const QUOTA_RECOVERY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Age from which a peer's word on its catalog counts no more: the peer may be gone.
const MAX_TOLD_AGE: Duration = Duration::from_secs(2);
/// Longest time after its start for which a node waits for the word of a peer that has run for longer.
const CATALOG_WAIT: Duration = Duration::from_millis(700);

/// Requests that wait for an endpoint of one service, each with the notification that wakes it.
#[derive(Debug, Default)]
pub struct Waiters {
    pub queue: Queue,
    pub notifiers: HashMap<u64, Rc<Notify>>,
}

impl Waiters {
    /// Wakes the first `count` requests in queue order, and those before them that wait for an endpoint that
    /// others don't need.
    pub fn wake(&self, count: usize) {
        for rank in self.queue.next(count) {
            if let Some(notifier) = self.notifiers.get(&rank.serial) {
                notifier.notify_one();
            }
        }
    }

    pub fn remove(&mut self, rank: &Rank, now: Duration) {
        self.queue.remove(rank, now);
        self.notifiers.remove(&rank.serial);
    }
}

/// Versions and ages of the data behind a node's decisions, for log lines.
#[derive(Debug)]
pub struct Freshness {
    catalog_version: Option<u64>,
    catalog_age: Option<Duration>,
    endpoints_age: Option<Duration>,
    /// Number of live nodes, including this one.
    nodes: usize,
}

impl fmt::Display for Freshness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Unknown versions and ages are logged as -1.
        let ms = |age: Option<Duration>| age.map_or(-1, |age| age.as_millis() as i64);
        write!(
            f,
            "catalog={} catalog_age_ms={} endpoints_age_ms={} nodes={}",
            self.catalog_version.map_or(-1, |version| version as i64),
            ms(self.catalog_age),
            ms(self.endpoints_age),
            self.nodes
        )
    }
}

#[derive(Debug)]
pub struct Node {
    pub settings: Settings,
    pub platform: Platform,
    pub header_codec: HeaderCodec,
    /// Monotonic time at which the node started.
    pub started_at: Duration,
    /// Distinguishes this run of the node from its other runs: the wall clock at its start, in
    /// milliseconds.
    pub incarnation: u64,
    pub catalog: RefCell<Option<Arc<Catalog>>>,
    /// Time at which this node had its first catalog.
    pub first_catalog_at: Cell<Option<Duration>>,
    /// Set while the newest catalog can't be read at all: the one that this node has is no longer in force.
    pub is_catalog_unreadable: Cell<bool>,
    pub unreadable: RefCell<unreadable::Rows>,
    /// Time as of which the declarations are known: when the last successful read was sent, by this node
    /// or by a peer that found no newer version.
    pub declarations_read_at: Cell<Option<Duration>>,
    pub declared: follow::Declared,
    /// Time at which the list of the nodes was first read.
    pub listed_at: Cell<Option<Duration>>,
    /// Newest version of the catalog that a peer has, and when a heartbeat last said so.
    told_catalog: Cell<(u64, Duration)>,
    /// Newest era of the store that this node has seen; `None` before the first read.
    pub store_era: Cell<Option<u64>>,
    /// Highest fencing number of the duties lease that any node is known to have had.
    pub known_fence: Cell<u64>,
    /// Newest usage window whose counts any node is known to have recorded.
    pub recorded_window: Cell<u64>,
    /// Unix time of the snapshot whose quota units this node has restored, in milliseconds; 0 if it has the
    /// history from elsewhere, `None` until the roll-outs and quotas are known.
    pub recalled_ms: Cell<Option<u64>>,
    pub roster: RefCell<Roster>,
    pub notices: RefCell<Notices>,
    /// Time as of which the endpoints are known: when the last successful read was sent, by this node or
    /// by a peer whose notices of changes have all been received.
    pub endpoints_read_at: Cell<Option<Duration>>,
    /// Time at which this node's own last successful read of the endpoints was sent.
    pub own_endpoints_read_at: Cell<Option<Duration>>,
    pub first_endpoints_read_at: Cell<Option<Duration>>,
    pub balancer: RefCell<Balancer>,
    pub speeds: RefCell<Speeds>,
    pub quotas: RefCell<Quotas>,
    pub budget: RefCell<Budget>,
    pub usage: RefCell<Usage>,
    pub demand: RefCell<Demand>,
    pub lateness: RefCell<Lateness>,
    pub shifts: RefCell<Shifts>,
    pub quarantine: RefCell<Quarantine>,
    pub peers: RefCell<Peers>,
    pub waiting: RefCell<HashMap<Arc<str>, Waiters>>,
    pub pools: Pools,
    pub metrics: metrics::Registry,
    /// Bytes of request bodies and buffered responses.
    pub intake: account::Account,
    /// Connections of callers.
    pub connections: connections::Table,
    /// Difference between Unix time and the monotonic `clock::now`, in milliseconds; corrected
    /// against the clocks of the peers.
    pub unix_offset_ms: Cell<i64>,
    /// Set once the process has received SIGTERM.
    pub stopping: Cell<bool>,
    /// Set once a stopping process refuses new requests.
    pub closing: Cell<bool>,
    pub stop: Notify,
    /// Notified when the admitted quota units should be sent to the peers soon.
    pub quota_update: Notify,
    /// Notified when a roll-out has been declared whose record this node has to read.
    pub rollout_declared: Notify,
    /// Set while this node holds the duties lease.
    pub holds_duties: Cell<bool>,
    /// Number of requests being served.
    pub active: Cell<usize>,
    /// Counts the endpoint updates that contained leaving endpoints; watched by running streams.
    pub departures: watch::Sender<u64>,
}

impl Node {
    pub fn new(settings: Settings, platform: Platform, header_codec: HeaderCodec) -> Rc<Node> {
        let bounds = &settings.bounds;
        let retry_limit = Limit {
            ratio: bounds.retry_ratio,
            window: bounds.retry_window,
            slack: bounds.retry_slack,
        };
        let wall_ms = clock::wall_ms();
        let incarnation = wall_ms.unsigned_abs();
        let (name, domain) = (settings.node.clone(), settings.failure_domain.clone());
        let peers = Peers::new(name, domain, incarnation, clock::now());
        let metrics = metrics::Registry::new();
        let resources = intake::Resources::find(settings.memory, settings.file_descriptors);
        let connections = resources.connections(serve::DEFAULT_HEADER_BYTES);
        let platform = platform.with_metrics(&metrics);
        Rc::new(Node {
            started_at: clock::now(),
            incarnation,
            platform,
            header_codec,
            catalog: RefCell::default(),
            first_catalog_at: Cell::default(),
            is_catalog_unreadable: Cell::default(),
            unreadable: RefCell::default(),
            declarations_read_at: Cell::default(),
            declared: follow::Declared::default(),
            listed_at: Cell::default(),
            told_catalog: Cell::default(),
            store_era: Cell::default(),
            known_fence: Cell::default(),
            recorded_window: Cell::default(),
            recalled_ms: Cell::default(),
            roster: RefCell::default(),
            notices: RefCell::default(),
            endpoints_read_at: Cell::default(),
            own_endpoints_read_at: Cell::default(),
            first_endpoints_read_at: Cell::default(),
            balancer: RefCell::default(),
            speeds: RefCell::default(),
            quotas: RefCell::new(Quotas::new(bounds.quota_window, settings.first_start)),
            budget: RefCell::new(Budget::new(retry_limit)),
            usage: RefCell::default(),
            demand: RefCell::default(),
            lateness: RefCell::default(),
            shifts: RefCell::new(Shifts::new(settings.bounds.exposure)),
            quarantine: RefCell::default(),
            peers: RefCell::new(peers),
            waiting: RefCell::default(),
            pools: Pools::default(),
            metrics,
            intake: account::Account::new(resources.body_bytes()),
            connections: connections::Table::new(connections),
            unix_offset_ms: Cell::new(wall_ms - clock::now().as_millis() as i64),
            stopping: Cell::default(),
            closing: Cell::default(),
            stop: Notify::new(),
            quota_update: Notify::new(),
            rollout_declared: Notify::new(),
            holds_duties: Cell::default(),
            active: Cell::default(),
            departures: watch::Sender::new(0),
            settings,
        })
    }

    /// Returns the identity of this run of the node, used as the source of usage counts.
    pub fn source(&self) -> Source {
        (self.settings.node.clone(), self.incarnation)
    }

    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Records that a row can't be read; returns whether this is news.
    pub fn record_unreadable(&self, kind: Kind, key: &str, reason: &str) -> bool {
        let is_news = self.unreadable.borrow_mut().record(kind, key, reason);
        if is_news {
            self.metrics.record_unreadable_row(kind);
        }
        is_news
    }

    /// Decodes a row that the gateway has written; `None` if it can't be read.
    pub fn decode_own<T: DeserializeOwned>(&self, row: &Row) -> Option<T> {
        match T::deserialize(&row.value) {
            Ok(value) => {
                self.unreadable.borrow_mut().clear(Kind::Own, &row.key);
                Some(value)
            }
            Err(error) => {
                self.record_unreadable(Kind::Own, &row.key, &error.to_string());
                None
            }
        }
    }

    /// Records the version of a peer's catalog.
    pub fn record_told_catalog(&self, version: u64, now: Duration) {
        if version >= self.told_catalog(now) {
            self.told_catalog.set((version, now));
        }
    }

    /// Returns the newest version of the catalog that a live peer has; 0 if none is known.
    pub fn told_catalog(&self, now: Duration) -> u64 {
        let (version, told_at) = self.told_catalog.get();
        let is_recent = now.saturating_sub(told_at) < MAX_TOLD_AGE;
        if is_recent { version } else { 0 }
    }

    /// Returns whether this node has heard which catalog the others have, so that it doesn't start with an
    /// older one from a restored store. Nodes that all start together wait for nobody once they hear each
    /// other, and for silent ones no longer than an answer takes.
    pub fn has_heard_catalogs(&self, now: Duration) -> bool {
        let peers = self.peers.borrow();
        let awaits_peer =
            || self.listed_at.get().is_none_or(|at| peers.awaits_first_heartbeat(at, now));
        self.settings.first_start
            || now.saturating_sub(self.started_at) >= CATALOG_WAIT
            || peers.has_older_peer(now)
            || !awaits_peer()
    }

    /// Returns the age of the known API keys; `None` before the first read of the declarations.
    pub fn key_age(&self, now: Duration) -> Option<Duration> {
        self.declarations_read_at.get().map(|read_at| now.saturating_sub(read_at))
    }

    /// Returns whether the API keys were read recently enough that a revoked one isn't accepted.
    pub fn keys_are_fresh(&self, now: Duration) -> bool {
        self.key_age(now).is_some_and(|age| age < self.settings.bounds.max_key_age())
    }

    /// Returns why the load balancer should send no new connections to this node; `None` if it is ready.
    pub fn unready_reason(&self) -> Option<&'static str> {
        let now = clock::now();
        let catalog = self.catalog.borrow();
        let blockade = catalog.as_ref().and_then(|catalog| catalog.blockade());
        let is_late = |at: &Duration| at.saturating_sub(self.started_at) > QUOTA_RECOVERY_TIMEOUT;
        let start = self.first_catalog_at.get().filter(is_late).unwrap_or(self.started_at);
        let is_recovering = now.saturating_sub(start) < QUOTA_RECOVERY_TIMEOUT;
        if self.stopping.get() {
            Some("the process is stopping")
        } else if self.is_catalog_unreadable.get() {
            Some("the newest configuration can't be read")
        } else if catalog.is_none() {
            Some("no configuration was read yet")
        } else if blockade.is_some() {
            blockade
        } else if self.endpoints_read_at.get().is_none() {
            Some("the list of endpoints was not read yet")
        } else if !self.keys_are_fresh(now) {
            Some("the configuration was last confirmed too long ago")
        } else if is_recovering && self.quotas.borrow().is_missing_history() {
            Some("the use of quotas is not known yet")
        } else {
            None
        }
    }

    /// Returns the versions and ages of the data that decisions use, for log lines.
    pub fn freshness(&self, now: Duration) -> Freshness {
        Freshness {
            catalog_version: self.catalog.borrow().as_ref().map(|catalog| catalog.version),
            catalog_age: self.key_age(now),
            endpoints_age: self.endpoints_read_at.get().map(|read_at| now.saturating_sub(read_at)),
            nodes: self.peers.borrow().live_count(now),
        }
    }

    /// Returns the time since 1970 in milliseconds, unaffected by steps of this VM's wall clock.
    pub fn unix_ms(&self) -> u64 {
        (clock::now().as_millis() as i64 + self.unix_offset_ms.get()).unsigned_abs()
    }

    /// Returns the number of the current usage report window.
    pub fn report_window(&self) -> u64 {
        self.unix_ms() / self.settings.bounds.report_window_ms()
    }

    /// Wakes the next waiting request after a request has left its endpoint, and records whether this freed room.
    pub fn release_capacity(&self, service: &str, has_freed_room: bool) {
        let mut waiting = self.waiting.borrow_mut();
        if let Some(waiting) = waiting.get_mut(service) {
            if has_freed_room {
                waiting.queue.record_release(clock::now());
            }
            waiting.wake(1);
        }
    }

    /// Calls a function with the recent use of a service.
    pub fn with_share<T>(&self, service: &Arc<str>, call: impl FnOnce(&mut Share) -> T) -> T {
        let mut waiting = self.waiting.borrow_mut();
        call(&mut waiting.entry(service.clone()).or_default().queue.share)
    }

    /// Returns the recent use of each service at this node, or at its failure domain, leaving out idle ones.
    pub fn share_reports(&self, of_domain: bool, now: Duration) -> Vec<(Arc<str>, share::Report)> {
        let waiting = self.waiting.borrow();
        let reports = waiting.iter().map(|(service, Waiters { queue, .. })| {
            let report = match of_domain {
                true => queue.share.domain_report(queue.len(), now),
                false => queue.share.report(queue.len(), now),
            };
            (service.clone(), report)
        });
        reports.filter(|(_, report)| *report != share::Report::default()).collect()
    }

    /// Wakes all waiting requests, after the endpoints or their loads have changed.
    pub fn wake_all(&self) {
        for waiting in self.waiting.borrow().values() {
            waiting.wake(usize::MAX);
        }
    }
}
