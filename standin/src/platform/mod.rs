//! Usage: `standin platform [--listen IP:PORT] [--writes N] [--reads N] [--fetches N]`
//!
//! Stand-in for the platform: transactional table, object store, cloud, VM list and weight store.

mod cloud;
mod table;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use argh::FromArgs;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Query, Request, State};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use http::StatusCode;
use pomelolink::platform::{self, Notice, Start, Transaction, Vm};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::fault::{self, Dice};
use crate::serve;

/// Largest request body; a draft with its prompt stays far below it.
const BODY_BYTES: usize = 64 << 20;

/// stand-in for the platform: table, objects, cloud, VM list, weights
#[derive(Debug, Clone, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct Options {
    /// address to listen on
    #[argh(option, default = "Options::default().listen")]
    pub listen: SocketAddr,
    /// transactions per second, 0 for no limit; more wait their turn
    #[argh(option, default = "Options::default().writes")]
    pub writes: u32,
    /// reads per second, 0 for no limit; more wait their turn
    #[argh(option, default = "Options::default().reads")]
    pub reads: u32,
    /// weight fetches per second; more are answered with 429
    #[argh(option, default = "Options::default().fetches")]
    pub fetches: u32,
    /// seed of the draws for shares of faults
    #[argh(option, default = "Options::default().seed")]
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Options {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        Options { listen, writes: 0, reads: 0, fetches: 10, seed: 1 }
    }
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Mode {
    /// An outage answers 503.
    #[default]
    Refuse,
    /// An outage gives no answer.
    Hang,
}

#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    outage: bool,
    mode: Mode,
    /// Delays every answer, in milliseconds; the call takes effect before the delay.
    slow_ms: u64,
    /// Runs this many further transactions without answering them.
    lose_answers: u64,
    /// Runs this share of transactions without answering them.
    #[serde(deserialize_with = "fault::share")]
    lose_share: f64,
    /// Age of the VM list, in milliseconds.
    list_lag_ms: u64,
    refuse_starts: bool,
    /// Refuses starts in these failure domains only.
    refuse_domains: Vec<String>,
    /// Time between a start and the VM being live, in milliseconds.
    boot_ms: u64,
}

#[derive(Debug, Default, Clone, Serialize)]
struct Counters {
    transactions: u64,
    rows_written: u64,
    reads: u64,
    vm_lists: u64,
    notices: u64,
    object_reads: u64,
    object_writes: u64,
    rejected: u64,
    answers_lost: u64,
    refused_calls: u64,
    starts: u64,
    refused_starts: u64,
    stops: u64,
    fetches: u64,
    refused_fetches: u64,
}

/// Spaces calls out to a rate; each call takes the next free slot.
#[derive(Debug, Default)]
struct Pace {
    next: Option<Instant>,
}

impl Pace {
    /// Gives how long the call has to wait for its slot.
    fn wait(&mut self, rate: u32, now: Instant) -> Duration {
        if rate == 0 {
            return Duration::ZERO;
        }
        let slot = self.next.map_or(now, |next| next.max(now));
        self.next = Some(slot + Duration::from_secs(1) / rate);
        slot - now
    }
}

#[derive(Debug, Default)]
struct Store {
    table: table::Table,
    objects: BTreeMap<String, Bytes>,
    cloud: cloud::Cloud,
    faults: Faults,
    counters: Counters,
    writes: Pace,
    reads: Pace,
    fetches: Pace,
}

#[derive(Debug)]
struct Platform {
    options: Options,
    dice: Dice,
    store: Mutex<Store>,
}

type Shared = State<Arc<Platform>>;

impl Platform {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Binds the listen address, announces it and serves.
pub async fn execute(options: Options) -> io::Result<()> {
    run(serve::bind(options.listen).await?, options).await
}

/// Serves on the listener until the task is dropped.
pub async fn run(listener: TcpListener, options: Options) -> io::Result<()> {
    let dice = Dice::new(options.seed);
    let platform = Arc::new(Platform { options, dice, store: Mutex::default() });
    serve::serve(listener, router(platform)).await
}

fn router(platform: Arc<Platform>) -> Router {
    let calls = Router::new()
        .route("/table/transact", post(transact))
        .route("/table/read", post(read))
        .route("/objects", get(list_objects))
        .route("/objects/{*key}", get(get_object).put(put_object))
        .route("/vms", get(vms))
        .route("/cloud/notices", get(notices))
        .route("/cloud/start", post(start))
        .route("/cloud/stop", post(stop))
        .route("/weights/fetch", post(fetch))
        .layer(middleware::from_fn_with_state(Arc::clone(&platform), disturb));
    let control = Router::new()
        .route("/control/faults", post(set_faults))
        .route("/control/vms", put(set_vms))
        .route("/control/spares", put(set_spares))
        .route("/control/reclaim", post(reclaim))
        .route("/control/counters", get(counters));
    calls.merge(control).layer(DefaultBodyLimit::max(BODY_BYTES)).with_state(platform)
}

/// Applies an outage before a call and slowness after it.
async fn disturb(State(platform): Shared, request: Request, next: Next) -> Response {
    let (outage, mode) = {
        let mut store = platform.store();
        store.counters.refused_calls += u64::from(store.faults.outage);
        (store.faults.outage, store.faults.mode)
    };
    match (outage, mode) {
        (true, Mode::Refuse) => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        (true, Mode::Hang) => return std::future::pending().await,
        (false, _) => {}
    }
    let response = next.run(request).await;
    let slow = platform.store().faults.slow_ms;
    if slow > 0 {
        tokio::time::sleep(Duration::from_millis(slow)).await;
    }
    response
}

async fn transact(State(platform): Shared, Json(transaction): Json<Transaction>) -> Response {
    let wait = platform.store().writes.wait(platform.options.writes, Instant::now());
    tokio::time::sleep(wait).await;
    let mut store = platform.store();
    let verdict = store.table.transact(&transaction);
    store.counters.transactions += 1;
    if verdict.committed {
        store.counters.rows_written += transaction.writes.len() as u64;
    } else {
        store.counters.rejected += 1;
    }
    let counted = store.faults.lose_answers > 0;
    store.faults.lose_answers -= u64::from(counted);
    if counted || platform.dice.hit(store.faults.lose_share) {
        store.counters.answers_lost += 1;
        return serve::abort();
    }
    Json(verdict).into_response()
}

async fn read(State(platform): Shared, Json(query): Json<platform::Query>) -> Response {
    let wait = platform.store().reads.wait(platform.options.reads, Instant::now());
    tokio::time::sleep(wait).await;
    let mut store = platform.store();
    store.counters.reads += 1;
    Json(store.table.read(&query)).into_response()
}

#[derive(Debug, Deserialize)]
struct Listing {
    #[serde(default)]
    prefix: String,
}

async fn list_objects(
    State(platform): Shared,
    Query(listing): Query<Listing>,
) -> Json<Vec<String>> {
    let mut store = platform.store();
    store.counters.object_reads += 1;
    let keys = store.objects.keys().filter(|key| key.starts_with(&listing.prefix));
    Json(keys.cloned().collect())
}

async fn get_object(State(platform): Shared, Path(key): Path<String>) -> Response {
    let mut store = platform.store();
    store.counters.object_reads += 1;
    match store.objects.get(&key) {
        Some(body) => body.clone().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn put_object(State(platform): Shared, Path(key): Path<String>, body: Bytes) {
    let mut store = platform.store();
    store.counters.object_writes += 1;
    store.objects.insert(key, body);
}

async fn vms(State(platform): Shared) -> Json<Vec<Vm>> {
    let mut store = platform.store();
    store.counters.vm_lists += 1;
    Json(store.cloud.list(Instant::now(), Duration::from_millis(store.faults.list_lag_ms)))
}

async fn notices(State(platform): Shared) -> Json<Vec<Notice>> {
    let mut store = platform.store();
    store.counters.notices += 1;
    Json(store.cloud.notices(Instant::now()))
}

async fn start(State(platform): Shared, Json(start): Json<Start>) -> Json<Option<Arc<str>>> {
    let mut guard = platform.store();
    let store = &mut *guard;
    let domain = &*start.failure_domain;
    let refused = store.faults.refuse_starts
        || store.faults.refuse_domains.iter().any(|refused| refused == domain);
    let boot = Duration::from_millis(store.faults.boot_ms);
    let vm = store.cloud.start(&start, refused, Instant::now(), boot);
    match vm {
        Some(_) => store.counters.starts += 1,
        None => store.counters.refused_starts += 1,
    }
    Json(vm)
}

#[derive(Debug, Deserialize)]
struct Stop {
    vm: Arc<str>,
}

async fn stop(State(platform): Shared, Json(stop): Json<Stop>) -> Json<Value> {
    let mut store = platform.store();
    let known = store.cloud.stop(&stop.vm, Instant::now());
    store.counters.stops += u64::from(known);
    Json(json!({ "stopped": known }))
}

async fn fetch(State(platform): Shared, Json(wanted): Json<Value>) -> Response {
    let mut store = platform.store();
    let now = Instant::now();
    if store.fetches.next.is_some_and(|next| next > now) {
        store.counters.refused_fetches += 1;
        return (StatusCode::TOO_MANY_REQUESTS, [("retry-after", "1")]).into_response();
    }
    store.fetches.wait(platform.options.fetches, now);
    store.counters.fetches += 1;
    Json(json!({ "fetched": wanted })).into_response()
}

async fn set_faults(State(platform): Shared, Json(patch): Json<Value>) -> Response {
    fault::update(&mut platform.store().faults, patch)
}

async fn set_vms(State(platform): Shared, Json(vms): Json<Vec<Vm>>) {
    platform.store().cloud.set(vms, Instant::now());
}

async fn set_spares(State(platform): Shared, Json(spares): Json<Vec<SocketAddr>>) {
    platform.store().cloud.set_spares(spares);
}

async fn reclaim(State(platform): Shared, Json(notice): Json<Notice>) -> StatusCode {
    let left = Duration::from_millis(notice.left_ms);
    match platform.store().cloud.reclaim(&notice.vm, left, Instant::now()) {
        true => StatusCode::OK,
        false => StatusCode::NOT_FOUND,
    }
}

async fn counters(State(platform): Shared) -> Json<Counters> {
    Json(platform.store().counters.clone())
}
