//! Requests over TCP: handshake, framing and the pool of client connections.
//!
//! A connection carries one request at a time. It is closed after a timeout or any error, so a late
//! reply can never be mistaken for the reply to another request.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

use super::counter::{Counter, Counters};
use super::message::{Envelope, Reply, Request};
use crate::wire::{self, Codec, Role, Session};

/// Maximum number of idle connections kept per address; concurrent requests open further ones.
const MAX_IDLE_PER_ADDRESS: usize = 2;
/// Maximum number of idle connections kept in total, to bound memory and file descriptors.
const MAX_IDLE_TOTAL: usize = 256;
/// Idle time after which a client does not reuse a connection. It is shorter than the server's
/// timeout, so a request is seldom sent on a connection that the server is closing.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of the rest of a frame after its length, and of sending a reply.
const FRAME_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum frame size of a client that has not yet proved that it holds the key, so that
/// unauthenticated clients cannot make the server allocate large buffers.
const HANDSHAKE_FRAME_BYTES: usize = 64;
/// Timeout at the server of the exchange of nonces, and of the first frame after it.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why a request has no reply.
#[derive(Debug)]
pub enum Error {
    /// The request was not sent, so the peer did not act on it.
    NotSent(io::Error),
    /// The request was sent, at least in part, and the connection failed.
    Broken(io::Error),
    /// No reply arrived before the deadline; the peer may have acted on the request.
    Timeout,
    /// A frame could not be sealed or opened.
    Wire(wire::Error),
    /// The reply carries the id of another request.
    Mismatch,
}

impl Error {
    /// Reports whether the peer certainly did not act on the request.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Error::NotSent(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotSent(error) => write!(f, "request not sent: {error}"),
            Error::Broken(error) => write!(f, "connection failed during a request: {error}"),
            Error::Timeout => f.write_str("no reply before the deadline"),
            Error::Wire(error) => write!(f, "{error}"),
            Error::Mismatch => f.write_str("the reply carries the id of another request"),
        }
    }
}

impl std::error::Error for Error {}

/// Holds one authenticated connection.
#[derive(Debug)]
pub(super) struct Connection {
    socket: TcpStream,
    session: Session,
    counters: Arc<Counters>,
    next_id: u64,
    idle_since: Instant,
}

impl Connection {
    async fn connect(
        address: SocketAddr,
        codec: Arc<Codec>,
        counters: Arc<Counters>,
    ) -> io::Result<Connection> {
        let socket = TcpStream::connect(address).await?;
        let mut connection = Connection::handshake(socket, Role::Client, codec, counters).await?;
        connection.write(&()).await.map_err(io::Error::other)?;
        Ok(connection)
    }

    pub(super) async fn accept(
        socket: TcpStream,
        codec: Arc<Codec>,
        counters: Arc<Counters>,
    ) -> io::Result<Connection> {
        let handshake = Connection::handshake(socket, Role::Server, codec, counters);
        let mut connection = time::timeout(HANDSHAKE_TIMEOUT, handshake).await??;
        connection
            .read::<()>(HANDSHAKE_TIMEOUT, HANDSHAKE_FRAME_BYTES)
            .await
            .map_err(io::Error::other)?;
        Ok(connection)
    }

    /// Exchanges the nonces that bind all frames to this connection.
    async fn handshake(
        mut socket: TcpStream,
        role: Role,
        codec: Arc<Codec>,
        counters: Arc<Counters>,
    ) -> io::Result<Connection> {
        socket.set_nodelay(true)?;
        let own: wire::Nonce = rand::random();
        let mut peer = wire::Nonce::default();
        socket.write_all(&own).await?;
        socket.read_exact(&mut peer).await?;
        let (client, server) = if role == Role::Client { (own, peer) } else { (peer, own) };
        let session = Session::new(codec, role, client, server);
        Ok(Connection { socket, session, counters, next_id: 0, idle_since: Instant::now() })
    }

    /// Reports whether an idle connection is open, has no unread bytes and has not timed out.
    fn is_usable(&self) -> bool {
        let mut byte = [0];
        let is_quiet = matches!(
            self.socket.try_read(&mut byte),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        is_quiet && self.idle_since.elapsed() < CLIENT_IDLE_TIMEOUT
    }

    async fn write(&mut self, body: &impl Serialize) -> Result<(), Error> {
        let frame = self.session.seal(body).map_err(Error::Wire)?;
        let length = u32::try_from(frame.len()).map_err(|_| Error::Wire(wire::Error::Oversize))?;
        let mut bytes = Vec::with_capacity(4 + frame.len());
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&frame);
        self.socket.write_all(&bytes).await.map_err(Error::Broken)?;
        self.counters.add(Counter::StreamBytesSent, bytes.len());
        Ok(())
    }

    async fn read<T: DeserializeOwned>(
        &mut self,
        idle: Duration,
        limit: usize,
    ) -> Result<T, Error> {
        let mut length = [0; 4];
        let first = time::timeout(idle, self.socket.read_exact(&mut length)).await;
        first.map_err(|_| Error::Timeout)?.map_err(Error::Broken)?;
        let length = u32::from_le_bytes(length) as usize;
        if length > limit {
            self.counters.add_dropped(wire::Error::Oversize);
            return Err(Error::Wire(wire::Error::Oversize));
        }
        // The buffer grows with the bytes that arrive, so a false length allocates no memory.
        let mut frame = Vec::new();
        let mut limited = (&mut self.socket).take(length as u64);
        let rest = time::timeout(FRAME_TIMEOUT, limited.read_to_end(&mut frame)).await;
        rest.map_err(|_| Error::Timeout)?.map_err(Error::Broken)?;
        if frame.len() < length {
            return Err(Error::Broken(io::ErrorKind::UnexpectedEof.into()));
        }
        self.counters.add(Counter::StreamBytesReceived, 4 + length);
        let frame = self.session.open(&frame).map_err(|cause| {
            self.counters.add_dropped(cause);
            Error::Wire(cause)
        })?;
        Ok(frame.body)
    }

    async fn exchange(&mut self, request: &Request, timeout: Duration) -> Result<Reply, Error> {
        self.next_id += 1;
        let id = self.next_id;
        self.write(&Envelope { id, body: request }).await?;
        let reply: Envelope<Reply> = self.read(timeout, wire::STREAM_BYTES).await?;
        if reply.id != id {
            return Err(Error::Mismatch);
        }
        Ok(reply.body)
    }

    /// Receives the next request from the client.
    pub(super) async fn next_request(&mut self) -> Result<Envelope<Request>, Error> {
        self.read(SERVER_IDLE_TIMEOUT, wire::STREAM_BYTES).await
    }

    pub(super) async fn reply(&mut self, id: u64, body: &Reply) -> Result<(), Error> {
        let written = time::timeout(FRAME_TIMEOUT, self.write(&Envelope { id, body })).await;
        written.unwrap_or(Err(Error::Timeout))
    }
}

/// Keeps idle client connections for reuse, by address.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Sends a request and waits for its reply, for at most `timeout` including connecting.
    ///
    /// If a pooled connection fails, an idempotent request is sent once more on a new connection;
    /// any other request fails.
    pub(super) async fn request(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
        codec: &Arc<Codec>,
        counters: &Arc<Counters>,
    ) -> Result<Reply, Error> {
        let deadline = time::Instant::now() + timeout;
        if let Some(connection) = self.take_idle(address) {
            match self.exchange_on(connection, address, request, deadline).await {
                Err(Error::Broken(_)) if request.is_idempotent() => {}
                result => return result,
            }
        }
        let connecting = Connection::connect(address, codec.clone(), counters.clone());
        let connected = time::timeout_at(deadline, connecting).await;
        let connected = connected.map_err(|elapsed| Error::NotSent(elapsed.into()))?;
        let connection = connected.map_err(Error::NotSent)?;
        self.exchange_on(connection, address, request, deadline).await
    }

    async fn exchange_on(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        request: &Request,
        deadline: time::Instant,
    ) -> Result<Reply, Error> {
        let timeout = deadline.saturating_duration_since(time::Instant::now());
        let exchange = connection.exchange(request, timeout);
        let result = time::timeout_at(deadline, exchange).await.unwrap_or(Err(Error::Timeout));
        match &result {
            Ok(_) => self.put_idle(address, connection),
            // The other connections to a peer that does not reply most likely fail too.
            Err(Error::Timeout) => self.close_idle(address),
            Err(_) => {}
        }
        result
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        idle.remove(&address);
        None
    }

    fn put_idle(&self, address: SocketAddr, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.values().map(Vec::len).sum::<usize>() >= MAX_IDLE_TOTAL {
            idle.retain(|_, connections| {
                connections.retain(Connection::is_usable);
                !connections.is_empty()
            });
        }
        let total: usize = idle.values().map(Vec::len).sum();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS && total < MAX_IDLE_TOTAL {
            connections.push(connection);
        }
    }

    fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }
}
