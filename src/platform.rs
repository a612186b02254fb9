//! Client of the platform: transactional table, object store, cloud, VM list, weight store.
//!
//! Every call has a timeout. A write whose response was lost is reported as `Outcome::Unknown`; the
//! code that sent it reads the rows back before it proceeds. The platform's protocol is confined to
//! this module.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::util::number;

/// Largest response body that the client accepts; a configuration of 10,000 resources fits.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub key: String,
    /// Version of the row, from a table-wide counter that grows with each transaction.
    pub version: u64,
    pub value: serde_json::Value,
}

/// Requires that a row has the given version, or with `None` that it does not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    pub key: String,
    pub version: Option<u64>,
}

/// Write of a row, or with `None` its deletion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    pub key: String,
    pub value: Option<serde_json::Value>,
}

/// Writes that take effect atomically if all conditions hold.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    pub conditions: Vec<Condition>,
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the write of a row, on condition that the row still has the given version.
    pub fn put(&mut self, key: &str, version: Option<u64>, value: serde_json::Value) {
        self.conditions.push(Condition { key: key.to_owned(), version });
        self.writes.push(Write { key: key.to_owned(), value: Some(value) });
    }
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The writes took effect, and all written rows have this version.
    Done(u64),
    /// A condition did not hold; contains the current rows of the failed conditions.
    Rejected(Vec<Row>),
    /// The platform did not run the transaction.
    NotRun,
    /// The response was lost, so the writes may have taken effect.
    Unknown,
}

/// Response of the platform to a transaction.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactionResponse {
    pub committed: bool,
    pub version: u64,
    pub rows: Vec<Row>,
}

/// Request for rows by key and by key prefix.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Query {
    pub keys: Vec<String>,
    pub prefixes: Vec<String>,
}

/// VM in the platform's list, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    pub id: Arc<str>,
    pub address: SocketAddr,
    pub region: Arc<str>,
    pub failure_domain: Arc<str>,
    /// Pool of an endpoint VM; empty for an entry VM.
    pub pool: Arc<str>,
    pub class: Arc<str>,
    pub reclaimable: bool,
    /// Whether the VM has received a reclaim notice or is being stopped.
    pub leaving: bool,
}

/// Reclaim notice for a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    pub vm: Arc<str>,
    /// Time from the platform's response until the VM is gone, in milliseconds.
    #[serde(deserialize_with = "number::deserialize_whole")]
    pub left_ms: u64,
}

/// Request to start a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Operation id, which makes the request idempotent.
    pub operation: Arc<str>,
    pub failure_domain: Arc<str>,
    pub pool: Arc<str>,
    pub class: Arc<str>,
    pub reclaimable: bool,
}

/// Failure of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The call did not take effect.
    NotRun(String),
    /// The call may have taken effect.
    Unknown(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::NotRun(reason) => write!(f, "platform call not run: {reason}"),
            Failure::Unknown(reason) => write!(f, "platform call with unknown outcome: {reason}"),
        }
    }
}

impl std::error::Error for Failure {}

/// HTTP client of the platform; clones share its connections.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    /// Entries of lists that can't be read, by path, as of the last answer.
    unreadable: Arc<Mutex<BTreeMap<&'static str, BTreeSet<String>>>>,
}

impl Client {
    pub fn new(address: SocketAddr, timeout: Duration) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(10))
            .retry_canceled_requests(false)
            .build(connector);
        Client { address, timeout, http, unreadable: Arc::default() }
    }

    pub async fn transact(&self, transaction: &Transaction) -> Outcome {
        match self
            .call::<TransactionResponse>(Method::POST, "/table/transact", encode(transaction))
            .await
        {
            Ok(response) if response.committed => Outcome::Done(response.version),
            Ok(response) => Outcome::Rejected(response.rows),
            Err(Failure::NotRun(_)) => Outcome::NotRun,
            Err(Failure::Unknown(_)) => Outcome::Unknown,
        }
    }

    pub async fn read(&self, query: &Query) -> Result<BTreeMap<String, Row>, Failure> {
        let rows: Vec<Row> = self.call(Method::POST, "/table/read", encode(query)).await?;
        Ok(rows.into_iter().map(|row| (row.key.clone(), row)).collect())
    }

    pub async fn read_row(&self, key: &str) -> Result<Option<Row>, Failure> {
        let query = Query { keys: vec![key.to_owned()], prefixes: Vec::new() };
        Ok(self.read(&query).await?.remove(key))
    }

    pub async fn put_object(&self, key: &str, body: Bytes) -> Result<(), Failure> {
        self.send(Method::PUT, &format!("/objects/{key}"), body).await.map(drop)
    }

    /// Returns an object, or `None` if it doesn't exist.
    pub async fn get_object(&self, key: &str) -> Result<Option<Bytes>, Failure> {
        let (status, body) =
            self.exchange(Method::GET, &format!("/objects/{key}"), Bytes::new()).await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(Failure::NotRun(format!("status {other}"))),
        }
    }

    pub async fn list_objects(&self, prefix: &str) -> Result<Vec<String>, Failure> {
        self.call(Method::GET, &format!("/objects?prefix={prefix}"), Bytes::new()).await
    }

    /// Returns the VMs whose entries can be read. One that can't names no VM to use.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or its answer is no list.
    pub async fn vms(&self) -> Result<Vec<Vm>, Failure> {
        self.list("/vms").await
    }

    /// Returns the notices that can be read.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or its answer is no list.
    pub async fn notices(&self) -> Result<Vec<Notice>, Failure> {
        self.list("/cloud/notices").await
    }

    /// Starts a VM and returns its id, or `Ok(None)` if the platform refuses the start.
    pub async fn start(&self, start: &Start) -> Result<Option<Arc<str>>, Failure> {
        self.call(Method::POST, "/cloud/start", encode(start)).await
    }

    pub async fn stop(&self, vm: &str) -> Result<(), Failure> {
        let body = encode(&serde_json::json!({ "vm": vm }));
        self.send(Method::POST, "/cloud/stop", body).await.map(drop)
    }

    /// Reads a list an entry at a time, so that one that can't be read doesn't hide the others. Such an entry is logged
    /// when it is new to the list.
    async fn list<T: DeserializeOwned>(&self, path: &'static str) -> Result<Vec<T>, Failure> {
        let entries: Vec<serde_json::Value> = self.call(Method::GET, path, Bytes::new()).await?;
        let (mut list, mut unreadable) = (Vec::with_capacity(entries.len()), BTreeMap::new());
        for entry in entries {
            match T::deserialize(&entry) {
                Ok(entry) => list.push(entry),
                Err(error) => {
                    unreadable.insert(entry.to_string(), error);
                }
            }
        }
        let mut known = self.unreadable.lock().unwrap_or_else(PoisonError::into_inner);
        let known = known.entry(path).or_default();
        for (entry, error) in unreadable.iter().filter(|(entry, _)| !known.contains(*entry)) {
            log::error!("platform: entry of {path} that can't be read: {error}: {entry}");
        }
        *known = unreadable.into_keys().collect();
        Ok(list)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, Failure> {
        let body = self.send(method, path, body).await?;
        serde_json::from_slice(&body).map_err(|error| Failure::Unknown(error.to_string()))
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, Failure> {
        let (status, body) = self.exchange(method, path, body).await?;
        match status {
            status if status.is_success() => Ok(body),
            // The platform responds with 503 and 4xx only before it runs the call.
            status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
                Err(Failure::NotRun(format!("status {status}")))
            }
            status => Err(Failure::Unknown(format!("status {status}"))),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Failure::NotRun(error.to_string()))?;
        let exchange = async {
            let response = self.http.request(request).await.map_err(|error| {
                if error.is_connect() {
                    Failure::NotRun("connection refused".to_owned())
                } else {
                    Failure::Unknown(error.to_string())
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| Failure::Unknown(error.to_string()))?.to_bytes();
            Ok((status, body))
        };
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Unknown(format!("no response within {:?}", self.timeout))),
        }
    }
}

fn encode(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
