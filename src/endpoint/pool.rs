//! Pool of HTTP/1.1 connections to one endpoint.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A connection used within this time counts as alive and is not probed again before a request that
/// may be repeated.
pub const PROOF_AGE: Duration = Duration::from_millis(500);
/// The same before a request that must not be repeated. If the connection has gone silent, such a
/// request is lost, so nearly every one is worth a round trip for a probe.
pub const SHORT_PROOF_AGE: Duration = Duration::from_millis(5);
/// Longest wait for the answer to a probe; a healthy endpoint answers within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections kept per endpoint; more are closed.
const IDLE_LIMIT: usize = 256;

/// Tells why a request got no usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request reached the endpoint.
    NotRun(String),
    /// The endpoint may have acted on the request.
    Unknown(String),
}

/// Times of the keep-alive probes on the TCP level, which close a connection that went silent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// Time after which unacknowledged bytes are given up together with their connection.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_000);

/// Tells how an idle connection is shown to be alive before it is used again.
#[derive(Debug, Clone, Copy)]
enum Proof {
    /// By a request that any HTTP server answers.
    Probe,
    /// By probes on the TCP level; idle connections are used up to this age.
    Age(Duration),
}

#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    proof: Proof,
    idle: Mutex<Vec<Connection>>,
}

/// Holds one connection; dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    proved: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    pub fn new(address: SocketAddr) -> Pool {
        Pool { address, proof: Proof::Probe, idle: Mutex::default() }
    }

    /// Makes a pool for servers that must get no requests but those of callers.
    pub fn unprobed(address: SocketAddr, idle_limit: Duration) -> Pool {
        Pool { address, proof: Proof::Age(idle_limit), idle: Mutex::default() }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives a connection for a request that may be repeated.
    ///
    /// # Errors
    ///
    /// Fails with `NotRun` when the endpoint can't be reached.
    pub async fn checkout(&self) -> Result<Connection, Failure> {
        self.checkout_within(PROOF_AGE).await
    }

    /// Gives a connection on which the endpoint has answered within `proof`, or a new one.
    ///
    /// # Errors
    ///
    /// Fails with `NotRun` when the endpoint can't be reached.
    pub async fn checkout_within(&self, proof: Duration) -> Result<Connection, Failure> {
        if let Some(mut connection) = self.pop() {
            let asked = Instant::now();
            if matches!(self.proof, Proof::Age(_)) {
                return Ok(connection);
            }
            if connection.proved.elapsed() < proof || connection.probe().await {
                return Ok(connection);
            }
            // What silenced this connection has probably silenced the others that were open then.
            // Probing them one after the other would use up the time of the request.
            let closed = self.discard_before(asked);
            let address = self.address;
            log::info!("endpoint: connection to {address} is dead; closing it and {closed} others");
        }
        self.connect().await
    }

    /// Closes idle connections without a sign of life since the given time, and counts them.
    fn discard_before(&self, time: Instant) -> usize {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let before = idle.len();
        idle.retain(|connection| connection.proved > time);
        before - idle.len()
    }

    /// Takes a connection back whose last answer was read to its end.
    pub fn put_back(&self, mut connection: Connection) {
        connection.proved = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_LIMIT && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }

    pub fn idle_count(&self) -> usize {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    fn pop(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| {
            let fresh = match self.proof {
                Proof::Probe => true,
                Proof::Age(limit) => connection.proved.elapsed() < limit,
            };
            fresh && !connection.sender.is_closed()
        });
        idle.pop()
    }

    async fn connect(&self) -> Result<Connection, Failure> {
        let connect = async {
            let stream = TcpStream::connect(self.address).await?;
            stream.set_nodelay(true)?;
            if matches!(self.proof, Proof::Age(_)) {
                let keepalive = TcpKeepalive::new()
                    .with_time(KEEPALIVE_IDLE)
                    .with_interval(KEEPALIVE_INTERVAL)
                    .with_retries(KEEPALIVE_PROBES);
                let socket = SockRef::from(&stream);
                socket.set_tcp_keepalive(&keepalive)?;
                // A connection that is given up is reset: bytes that a cut holds back must not
                // arrive after it has healed, when another holder of a duty may have acted.
                socket.set_linger(Some(Duration::ZERO))?;
                socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))?;
            }
            http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)
        };
        let (sender, driver) = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(parts)) => parts,
            Ok(Err(error)) => return Err(Failure::NotRun(format!("cannot connect: {error}"))),
            Err(_) => return Err(Failure::NotRun("connecting timed out".to_owned())),
        };
        // The driver ends with the connection; its error also reaches the request in flight.
        let task = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Connection { sender, task: task.abort_handle(), proved: Instant::now() })
    }
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails with `NotRun` only if no byte of the request was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        self.sender.ready().await.map_err(|error| Failure::NotRun(error.to_string()))?;
        self.sender.try_send_request(request).await.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let reason = error.error().to_string();
            if unsent { Failure::NotRun(reason) } else { Failure::Unknown(reason) }
        })
    }

    /// Asks the server for a sign of life; any whole answer will do.
    async fn probe(&mut self) -> bool {
        let request = Request::builder()
            .method(Method::OPTIONS)
            .uri(Uri::from_static("*"))
            .header(http::header::HOST, "endpoint")
            .body(Full::default());
        let Ok(request) = request else { return false };
        let answer = async {
            let response = self.send(request).await.ok()?;
            response.into_body().collect().await.ok()
        };
        matches!(tokio::time::timeout(PROBE_TIMEOUT, answer).await, Ok(Some(_)))
    }
}

/// Holds a connection while its answer is read, and gives it back only after the last byte.
#[derive(Debug)]
pub struct Lent {
    pub pool: Arc<Pool>,
    pub connection: Option<Connection>,
}

impl Lent {
    pub fn new(pool: Arc<Pool>, connection: Connection) -> Lent {
        Lent { pool, connection: Some(connection) }
    }

    /// Gives the connection back; without this call it is closed.
    pub fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(connection);
        }
    }
}
