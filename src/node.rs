//! State shared by the tasks of one daemon.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{Semaphore, watch};

use crate::admission::controller;
use crate::config::Settings;
use crate::intake::{self, account, connections};
use crate::metric::Metrics;
use crate::platform::{self, Vm};
use crate::timeline::{self, Subject};
use crate::{claim, endpoint, peer, retry, revision, rollout, routing, stream};

/// Most events kept in memory until they are written to the object store; at most about 4 MB.
const MAX_BUFFERED_EVENTS: usize = 4_096;
/// Retries per second that a service may make even if no request succeeds.
const MIN_RETRIES_PER_S: f64 = 2.0;
/// Most retries that the budget of a service accumulates.
const MAX_SAVED_RETRIES: f64 = 100.0;

/// State of one entry VM, kept only in memory and lost when the process ends.
#[derive(Debug)]
pub struct Node {
    pub settings: Settings,
    /// Start time in milliseconds since the Unix epoch; grows with each start, so that no id is reused.
    pub incarnation: u64,
    pub client: platform::Client,
    pub revision: Arc<revision::State>,
    pub journal: stream::Journal,
    pub directory: endpoint::Directory,
    pub batcher: claim::Batcher,
    pub admission: controller::Controllers,
    pub limits: controller::Limits,
    /// Limits the requests whose response has not begun, and thus the request bodies in memory.
    pub request_permits: Semaphore,
    /// Bytes of request bodies and answers.
    pub intake: account::Account,
    /// Connections of callers.
    pub connections: connections::Table,
    pub metrics: Metrics,
    pub timeline: Arc<timeline::Buffer>,
    pub retry_policy: retry::Policy,
    pub vms: watch::Sender<Arc<Vec<Vm>>>,
    /// Set once a VM list has been received; before that, no endpoint is known.
    pub has_vm_list: AtomicBool,
    /// Ids of endpoint VMs that receive no new requests and whose streams move to other endpoints.
    pub leaving: watch::Sender<Arc<Vec<Arc<str>>>>,
    /// Time by VM id at which an endpoint VM with a reclaim notice is gone.
    pub gone_at: Mutex<HashMap<Arc<str>, Instant>>,
    /// Number of completed drafts that are being written to the object store.
    pub pending_drafts: AtomicUsize,
    /// Becomes true when a planned stop begins.
    pub stopping: watch::Sender<bool>,
    /// Deadline by which the process must end, set by a signal or a reclaim notice for this VM.
    pub stop_deadline: watch::Sender<Option<Instant>>,
    /// Network to the other daemons, set once it has started.
    pub network: OnceLock<Arc<peer::Network>>,
    started: Instant,
    next_number: AtomicU64,
    tables: Mutex<HashMap<Arc<str>, routing::Table>>,
    budgets: Mutex<HashMap<Arc<str>, retry::Budget>>,
    bad_versions: Mutex<rollout::BadVersions>,
    rollout_observer: Mutex<rollout::Observer>,
    rollout_controller: Mutex<rollout::Controller>,
    random: Mutex<StdRng>,
}

impl Node {
    pub fn new(settings: Settings) -> Node {
        let client = platform::Client::new(settings.platform, settings.timing.platform_timeout);
        let limits = &settings.limits;
        let resources = intake::Resources::find(limits.memory, limits.file_descriptors);
        let connections = resources.connections(limits.header_bytes);
        let incarnation = claim::attempt::unix_ms();
        let timeline =
            timeline::Buffer::new(settings.node.clone(), incarnation, MAX_BUFFERED_EVENTS);
        Node {
            batcher: claim::Batcher::start(client.clone(), settings.timing.claim_window),
            journal: stream::Journal::new(settings.limits.journal_entries),
            timeline: Arc::new(timeline),
            random: Mutex::new(StdRng::seed_from_u64(rand::random())),
            vms: watch::Sender::new(Arc::default()),
            has_vm_list: AtomicBool::new(false),
            leaving: watch::Sender::new(Arc::default()),
            gone_at: Mutex::default(),
            pending_drafts: AtomicUsize::new(0),
            stopping: watch::Sender::new(false),
            stop_deadline: watch::Sender::new(None),
            retry_policy: retry::Policy::default(),
            started: Instant::now(),
            revision: Arc::default(),
            directory: endpoint::Directory::default(),
            admission: controller::Controllers::default(),
            limits: controller::Limits::default(),
            request_permits: Semaphore::new(settings.limits.in_flight),
            intake: account::Account::new(resources.body_bytes()),
            connections: connections::Table::new(connections),
            metrics: Metrics::new(),
            network: OnceLock::new(),
            next_number: AtomicU64::new(0),
            tables: Mutex::default(),
            budgets: Mutex::default(),
            bad_versions: Mutex::default(),
            rollout_observer: Mutex::default(),
            rollout_controller: Mutex::default(),
            incarnation,
            client,
            settings,
        }
    }

    /// Returns the time since the start of the daemon, for code that takes the time as an argument.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Converts an instant to the time scale of `now`; an instant before the start yields zero.
    pub fn since_start(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.started)
    }

    /// Returns a number that differs for each call in this process.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Creates a request id that is unique among all nodes.
    pub fn next_id(&self) -> Arc<str> {
        stream::make_id(&self.settings.node, self.incarnation, self.next_number())
    }

    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns whether this node accepts requests from callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.revision.is_ready() && self.has_vm_list.load(Ordering::Relaxed)
    }

    /// Returns whether an endpoint VM is about to be reclaimed or stopped.
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.leaving.borrow().iter().any(|id| **id == *vm)
    }

    /// Returns the time until an endpoint VM is gone; zero if that is not known.
    pub fn time_until_gone(&self, vm: &str) -> Duration {
        let gone_at = lock(&self.gone_at).get(vm).copied();
        gone_at.map_or(Duration::ZERO, |gone_at| gone_at.saturating_duration_since(Instant::now()))
    }

    /// Returns the members of the cluster; empty before the network has started.
    pub fn members(&self) -> Vec<crate::membership::Member> {
        self.network.get().map(|network| network.members()).unwrap_or_default()
    }

    /// Records an event on the time line.
    pub fn record(&self, part: &'static str, subject: Subject, text: String) {
        let draft = timeline::Draft { part, subject, text, ..timeline::Draft::default() };
        self.timeline.record(claim::attempt::unix_ms(), draft);
    }

    /// Calls a function with the routing table of a pool; creates the table if it doesn't exist.
    pub fn with_table<T>(&self, pool: &Arc<str>, act: impl FnOnce(&mut routing::Table) -> T) -> T {
        let mut tables = lock(&self.tables);
        let table = tables.entry(pool.clone()).or_insert_with(|| {
            let locality = routing::Locality {
                node: self.settings.node.clone(),
                failure_domain: self.settings.failure_domain.clone(),
                region: self.settings.region.clone(),
            };
            routing::Table::new(locality, self.incarnation)
        });
        act(table)
    }

    /// Locks and returns the routing tables by pool.
    pub fn tables(&self) -> MutexGuard<'_, HashMap<Arc<str>, routing::Table>> {
        lock(&self.tables)
    }

    /// Decides whether a failed attempt is retried, within the retry budget of its service.
    pub fn decide_retry(&self, service: &Arc<str>, attempt: retry::Attempt) -> retry::Decision {
        let now = self.now();
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| retry::Budget::new(now, MIN_RETRIES_PER_S, MAX_SAVED_RETRIES));
        self.retry_policy.decide(now, attempt, budget, &mut lock(&self.random))
    }

    /// Credits the retry budget of a service after a success.
    pub fn credit_retry(&self, service: &Arc<str>) {
        if let Some(budget) = lock(&self.budgets).get_mut(service) {
            budget.record_success();
        }
    }

    /// Locks and returns the versions that are marked bad.
    pub fn bad_versions(&self) -> MutexGuard<'_, rollout::BadVersions> {
        lock(&self.bad_versions)
    }

    pub fn rollout_observer(&self) -> MutexGuard<'_, rollout::Observer> {
        lock(&self.rollout_observer)
    }

    pub fn rollout_controller(&self) -> MutexGuard<'_, rollout::Controller> {
        lock(&self.rollout_controller)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
