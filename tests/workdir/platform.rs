//! Table and object store in memory, with switchable faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use axum::Json;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bytes::Bytes;
use http::StatusCode;
use pomelolink::platform::{self, Row, Transaction, Verdict};

#[derive(Debug, Default)]
pub struct Platform {
    tables: Mutex<Tables>,
    /// Answers everything with 503.
    pub down: AtomicBool,
    /// Number of committed transactions whose answer is lost.
    pub lost_answers: AtomicU32,
    /// Loses the answer of the next committed transaction and turns `down` on.
    pub down_after_commit: AtomicBool,
}

#[derive(Debug, Default)]
struct Tables {
    counter: u64,
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
}

type Shared = Arc<Platform>;

pub async fn start(platform: Shared) -> SocketAddr {
    let router = axum::Router::new()
        .route("/table/transact", post(transact))
        .route("/table/read", post(read))
        .route("/objects", get(list))
        .route("/objects/{*key}", get(object).put(put_object))
        .with_state(platform);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

impl Platform {
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let tables = self.lock();
        tables.rows.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    pub fn objects(&self) -> Vec<String> {
        self.lock().objects.keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap()
    }

    fn refuse(&self) -> Option<Response> {
        let down = self.down.load(Ordering::SeqCst);
        down.then(|| StatusCode::SERVICE_UNAVAILABLE.into_response())
    }
}

async fn transact(platform: State<Shared>, Json(transaction): Json<Transaction>) -> Response {
    if let Some(refusal) = platform.refuse() {
        return refusal;
    }
    let mut tables = platform.lock();
    let version = |key: &str| tables.rows.get(key).map(|row| row.version);
    let failed = transaction.conditions.iter().filter(|found| version(&found.key) != found.version);
    let failed: Vec<_> = failed.map(|condition| condition.key.clone()).collect();
    if !failed.is_empty() {
        let rows = failed.iter().filter_map(|key| tables.rows.get(key).cloned()).collect();
        return Json(Verdict { committed: false, version: 0, rows }).into_response();
    }
    tables.counter += 1;
    let version = tables.counter;
    for platform::Write { key, value } in transaction.writes {
        match value {
            Some(value) => {
                tables.rows.insert(key.clone(), Row { key, version, value });
            }
            None => {
                tables.rows.remove(&key);
            }
        }
    }
    if platform.down_after_commit.swap(false, Ordering::SeqCst) {
        platform.down.store(true, Ordering::SeqCst);
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    let lost = &platform.lost_answers;
    if lost.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok() {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(Verdict { committed: true, version, rows: Vec::new() }).into_response()
}

async fn read(platform: State<Shared>, Json(query): Json<platform::Query>) -> Response {
    if let Some(refusal) = platform.refuse() {
        return refusal;
    }
    let tables = platform.lock();
    let wanted = tables.rows.values().filter(|row| {
        query.keys.contains(&row.key)
            || query.prefixes.iter().any(|prefix| row.key.starts_with(prefix))
    });
    Json(wanted.collect::<Vec<_>>()).into_response()
}

async fn list(platform: State<Shared>, Query(query): Query<BTreeMap<String, String>>) -> Response {
    if let Some(refusal) = platform.refuse() {
        return refusal;
    }
    let prefix = query.get("prefix").map_or("", String::as_str);
    let keys = platform.objects().into_iter().filter(|key| key.starts_with(prefix));
    Json(keys.collect::<Vec<_>>()).into_response()
}

async fn object(platform: State<Shared>, Path(key): Path<String>) -> Response {
    if let Some(refusal) = platform.refuse() {
        return refusal;
    }
    match platform.lock().objects.get(&key) {
        Some(body) => body.clone().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn put_object(platform: State<Shared>, Path(key): Path<String>, body: Bytes) -> Response {
    if let Some(refusal) = platform.refuse() {
        return refusal;
    }
    platform.lock().objects.insert(key, body);
    StatusCode::OK.into_response()
}
