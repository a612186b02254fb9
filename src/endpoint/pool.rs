//! Pool of HTTP/1.1 connections to one endpoint.

use std::io;
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
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::endpoint::socket::{Hangup, Socket};

/// Idle time after which a connection is probed before it is used for a request that may be
/// repeated.
pub const PROBE_AFTER: Duration = Duration::from_millis(500);
/// Idle time after which a connection is probed before it is used for a request that must not be
/// repeated. Such a request is lost if the connection is dead, so that a probe is worth its round
/// trip for nearly every one.
pub const STRICT_PROBE_AFTER: Duration = Duration::from_millis(5);
/// Timeout of a probe; a healthy endpoint responds within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of idle connections kept per endpoint; further ones are closed.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// The reason why a request got no usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was written.
    NotRun(String),
    /// The endpoint may have run the request.
    Unknown(String),
}

/// TCP keep-alive settings, with which the kernel closes a connection whose peer doesn't respond.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Longer than a response proves a path, together with the time in which a socket shows that nothing is
/// acknowledged: a connection that was used again in that time is reset by the socket.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEPALIVE_PROBES: u32 = 1;

/// How an idle connection is checked before it is used again.
#[derive(Debug, Clone, Copy)]
enum Liveness {
    /// An HTTP request to which any server responds.
    Probe,
    /// TCP keep-alive; connections that have been idle for this time are closed.
    TcpKeepalive(Duration),
}

/// The idle connections to one endpoint.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    liveness: Liveness,
    idle: Mutex<Vec<Connection>>,
}

/// An open connection, which is closed on drop.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Ends this side of a connection whose server gets no probe requests.
    hangup: Option<Arc<Hangup>>,
    last_alive: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    pub fn new(address: SocketAddr) -> Pool {
        Pool { address, liveness: Liveness::Probe, idle: Mutex::default() }
    }

    /// Creates a pool for a server that must not receive probe requests.
    pub fn unprobed(address: SocketAddr, max_idle: Duration) -> Pool {
        Pool { address, liveness: Liveness::TcpKeepalive(max_idle), idle: Mutex::default() }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns an idle or new connection for a request that may be repeated.
    ///
    /// # Errors
    ///
    /// Fails with `NotRun` when the endpoint can't be reached.
    pub async fn checkout(&self) -> Result<Connection, Failure> {
        self.checkout_probed(PROBE_AFTER).await
    }

    /// Returns a connection like `checkout`, after closing those that have been idle for `max_idle`.
    ///
    /// # Errors
    ///
    /// Fails with `NotRun` when the endpoint can't be reached.
    pub async fn checkout_within(&self, max_idle: Duration) -> Result<Connection, Failure> {
        if let Some(limit) = Instant::now().checked_sub(max_idle) {
            self.close_idle_before(limit);
        }
        self.checkout().await
    }

    /// Returns an idle connection, which is probed if its last response is older than
    /// `probe_after`, or a new one. A pool created by `unprobed` sends no probe.
    ///
    /// # Errors
    ///
    /// Fails with `NotRun` when the endpoint can't be reached.
    pub async fn checkout_probed(&self, probe_after: Duration) -> Result<Connection, Failure> {
        if let Some(mut connection) = self.pop() {
            let probe_start = Instant::now();
            if matches!(self.liveness, Liveness::TcpKeepalive(_)) {
                return Ok(connection);
            }
            if connection.last_alive.elapsed() < probe_after || connection.probe().await {
                return Ok(connection);
            }
            // The other connections that were open then are probably dead as well, and probing them
            // one by one could take longer than the request's deadline.
            let closed = self.close_idle_before(probe_start);
            let address = self.address;
            log::info!("endpoint: connection to {address} is dead; closing it and {closed} others");
        }
        self.connect().await
    }

    /// Closes the idle connections that were last seen alive before the given time; returns their
    /// number.
    fn close_idle_before(&self, time: Instant) -> usize {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let open_count = idle.len();
        idle.retain(|connection| connection.last_alive > time);
        open_count - idle.len()
    }

    /// Returns a connection to the pool after its last response was read to the end.
    pub fn put_back(&self, mut connection: Connection) {
        connection.last_alive = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }

    pub fn idle_count(&self) -> usize {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    fn pop(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| {
            let is_fresh = match self.liveness {
                Liveness::Probe => true,
                Liveness::TcpKeepalive(max_idle) => connection.last_alive.elapsed() < max_idle,
            };
            is_fresh && !connection.sender.is_closed()
        });
        idle.pop()
    }

    async fn connect(&self) -> Result<Connection, Failure> {
        let connect = async {
            let stream = TcpStream::connect(self.address).await?;
            stream.set_nodelay(true)?;
            let socket = SockRef::from(&stream);
            // Closing resets the connection. Otherwise bytes held back by a network partition could
            // arrive once it heals, when the request was given up or another node has acted.
            socket.set_linger(Some(Duration::ZERO))?;
            if matches!(self.liveness, Liveness::Probe) {
                let (sender, task) = handshake(stream).await?;
                return Ok((sender, task, None));
            }
            let keepalive = TcpKeepalive::new()
                .with_time(KEEPALIVE_IDLE)
                .with_interval(KEEPALIVE_INTERVAL)
                .with_retries(KEEPALIVE_PROBES);
            socket.set_tcp_keepalive(&keepalive)?;
            let socket = Socket::new(stream);
            let hangup = socket.hangup();
            let (sender, task) = handshake(socket).await?;
            Ok((sender, task, Some(hangup)))
        };
        let (sender, task, hangup) = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(parts)) => parts,
            Ok(Err::<_, io::Error>(error)) => {
                return Err(Failure::NotRun(format!("cannot connect: {error}")));
            }
            Err(_) => return Err(Failure::NotRun("connecting timed out".to_owned())),
        };
        Ok(Connection { sender, task, hangup, last_alive: Instant::now() })
    }
}

/// Prepares a stream for requests and starts the task that drives it.
async fn handshake<S>(stream: S) -> io::Result<(http1::SendRequest<Full<Bytes>>, AbortHandle)>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    // The driver ends with the connection; the request in flight also receives its error.
    let task = tokio::spawn(async move {
        let _ = driver.await;
    });
    Ok((sender, task.abort_handle()))
}

impl Connection {
    /// Waits until a request can be written at once.
    ///
    /// # Errors
    ///
    /// Fails with `NotRun` if the connection is closed.
    pub async fn ready(&mut self) -> Result<(), Failure> {
        self.sender.ready().await.map_err(|error| Failure::NotRun(error.to_string()))
    }

    /// Returns what ends this side of the connection, if its server gets no probe requests.
    pub fn hangup(&self) -> Option<Arc<Hangup>> {
        self.hangup.clone()
    }

    /// Sends a request and waits for the response headers.
    ///
    /// # Errors
    ///
    /// Fails with `NotRun` only if no byte of the request was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        self.ready().await?;
        self.sender.try_send_request(request).await.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let reason = describe(error.error());
            if unsent { Failure::NotRun(reason) } else { Failure::Unknown(reason) }
        })
    }

    /// Reports whether the server responds to `OPTIONS *` in time; any complete response counts.
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

/// Returns an error with its causes, as the text of an HTTP error doesn't name that of the socket.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}

/// Owns a connection while its response is read. It is closed on drop unless `release` was called.
#[derive(Debug)]
pub struct Guard {
    pub pool: Arc<Pool>,
    pub connection: Option<Connection>,
}

impl Guard {
    pub fn new(pool: Arc<Pool>, connection: Connection) -> Guard {
        Guard { pool, connection: Some(connection) }
    }

    /// Returns the connection to the pool, once the response was read to its end.
    pub fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(connection);
        }
    }
}
