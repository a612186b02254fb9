//! Connection pools of the endpoints, and an HTTP client for the platform's services.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::endpoint::pool::{Connection, Failure, Guard, Pool};
use crate::endpoint::socket::Hangup;
use crate::gateway::gate;
use crate::gateway::platform::Endpoint;

/// Longest idle time of a connection that is used again. Endpoints and stores close idle connections after
/// some seconds, and a request that is sent while the server closes may be lost.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// The same limit while nothing shows that the path to the endpoint works. Keep-alive hasn't begun then; once
/// it gets no answer, it may end the connection just after a request was sent, which resets nothing.
const MAX_UNPROVEN_IDLE_TIME: Duration = Duration::from_millis(900);
/// Time for which a response from a failure domain shows that the path to it works.
const PROOF_TIME: Duration = Duration::from_millis(900);
/// Largest accepted response. The platform sends at most 500 rows or 1 MB, and objects of 8 MB.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Connection pools by endpoint.
#[derive(Debug, Default)]
pub struct Pools {
    pools: RefCell<HashMap<Arc<str>, Arc<Pool>>>,
    /// Time of the last response from each failure domain.
    responses: RefCell<HashMap<Arc<str>, Duration>>,
}

/// A connection to an endpoint, for one request.
#[derive(Debug)]
pub struct Link {
    pool: Arc<Pool>,
    connection: Connection,
}

impl Link {
    /// Waits until a request can be written at once.
    ///
    /// # Errors
    ///
    /// Fails with `NotRun` if the connection is closed.
    pub async fn ready(&mut self) -> Result<(), Failure> {
        self.connection.ready().await
    }

    /// Writes a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails with `NotRun` only if no byte of the request was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        _pass: gate::Pass,
    ) -> Result<Response<Incoming>, Failure> {
        self.connection.send(request).await
    }

    /// Returns what tells the endpoint that the request was given up, while its response is still read.
    pub fn hangup(&self) -> Option<Arc<Hangup>> {
        self.connection.hangup()
    }

    /// Returns the connection to its pool without a request.
    pub fn release(self) {
        self.into_guard().release();
    }

    /// Returns the owner of the connection while the response is read.
    pub fn into_guard(self) -> Guard {
        Guard::new(self.pool, self.connection)
    }
}

impl Pools {
    /// Returns a connection to an endpoint, which may have to be opened first.
    ///
    /// # Errors
    ///
    /// Fails with `NotRun` when the endpoint can't be reached.
    pub async fn connect(&self, endpoint: &Endpoint, now: Duration) -> Result<Link, Failure> {
        let pool = self.pool(&endpoint.id, endpoint.address);
        let connection = pool.checkout_within(self.max_idle(&endpoint.domain, now)).await?;
        Ok(Link { pool, connection })
    }

    /// Returns the pool of an endpoint; replaces it if the endpoint's address has changed.
    fn pool(&self, endpoint: &Arc<str>, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.borrow_mut();
        match pools.get(endpoint) {
            Some(pool) if pool.address() == address => pool.clone(),
            _ => {
                let pool = Arc::new(Pool::unprobed(address, MAX_IDLE_TIME));
                pools.insert(endpoint.clone(), pool.clone());
                pool
            }
        }
    }

    /// Records that an endpoint of a failure domain has responded.
    pub fn record_response(&self, domain: &Arc<str>, now: Duration) {
        self.responses.borrow_mut().insert(domain.clone(), now);
    }

    /// Returns the longest idle time of a connection to an endpoint of a failure domain that is used again.
    pub fn max_idle(&self, domain: &str, now: Duration) -> Duration {
        let responded_at = self.responses.borrow().get(domain).copied();
        match responded_at.is_some_and(|at| now.saturating_sub(at) < PROOF_TIME) {
            true => MAX_IDLE_TIME,
            false => MAX_UNPROVEN_IDLE_TIME,
        }
    }

    /// Drops the pools of all endpoints for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.pools.borrow_mut().retain(|endpoint, _| keep(endpoint));
    }
}

/// HTTP client for one service of the platform.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { pool: Arc::new(Pool::unprobed(address, MAX_IDLE_TIME)) }
    }

    /// Creates a client that opens a new connection for each call.
    ///
    /// Bytes sent on an idle connection during a network partition may arrive after the partition has
    /// healed. A new connection shows that the path works before the first byte of a call is sent.
    pub fn unpooled(address: SocketAddr) -> Client {
        Client { pool: Arc::new(Pool::unprobed(address, Duration::ZERO)) }
    }

    /// Sends a request and reads the whole response within `timeout`.
    ///
    /// A call that times out closes its connection, so that nothing it has sent is delivered later.
    ///
    /// # Errors
    ///
    /// Fails with `NotRun` only if no byte of the request was sent, otherwise with `Unknown`.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Failure> {
        let timed_out = |_| Failure::Unknown(format!("no answer within {timeout:?}"));
        tokio::time::timeout(timeout, self.exchange(request)).await.map_err(timed_out)?
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Failure> {
        let mut connection = self.pool.checkout().await?;
        let response = connection.send(request).await?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| Failure::Unknown(error.to_string()))?.to_bytes();
        self.pool.put_back(connection);
        Ok((parts.status, parts.headers, body))
    }
}
