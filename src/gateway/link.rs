//! Connections to endpoints, and a small HTTP client for the platform's services.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};

use crate::endpoint::pool::{Failure, Pool};

/// Age up to which an idle connection is used again; endpoints and stores close idle connections
/// after some seconds, and a request that crosses the close may be lost.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Largest answer of the platform: 500 rows or 1 MB, and objects of 8 MB.
const ANSWER_BYTES: usize = 16 << 20;

/// Holds the connections to each start of each endpoint.
#[derive(Debug, Default)]
pub struct Links {
    pools: RefCell<HashMap<Arc<str>, Arc<Pool>>>,
}

impl Links {
    pub fn pool(&self, endpoint: &Arc<str>, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.borrow_mut();
        match pools.get(endpoint) {
            Some(pool) if pool.address() == address => pool.clone(),
            _ => {
                let pool = Arc::new(Pool::unprobed(address, IDLE_LIMIT));
                pools.insert(endpoint.clone(), pool.clone());
                pool
            }
        }
    }

    /// Closes the connections to endpoints that are no longer listed.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.pools.borrow_mut().retain(|endpoint, _| keep(endpoint));
    }
}

/// Calls one service of the platform.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { pool: Arc::new(Pool::unprobed(address, IDLE_LIMIT)) }
    }

    /// Makes a client that opens a connection for each call.
    ///
    /// What is sent on a kept connection during a cut may arrive when it has healed. A new
    /// connection shows that the path works before the first byte of a call is sent.
    pub fn unpooled(address: SocketAddr) -> Client {
        Client { pool: Arc::new(Pool::unprobed(address, Duration::ZERO)) }
    }

    /// Sends a request and reads the whole answer within a time.
    ///
    /// A call that runs into its time closes its connection: one whose answer was lost delivers
    /// nothing more.
    ///
    /// # Errors
    ///
    /// Fails with `NotRun` only if no byte of the request was sent.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Failure> {
        let late = |_| Failure::Unknown(format!("no answer within {timeout:?}"));
        tokio::time::timeout(timeout, self.exchange(request)).await.map_err(late)?
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Failure> {
        let mut connection = self.pool.checkout().await?;
        let response = connection.send(request).await?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| Failure::Unknown(error.to_string()))?.to_bytes();
        self.pool.put_back(connection);
        Ok((parts.status, parts.headers, body))
    }
}
