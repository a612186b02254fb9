//! Forwarding of connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use axum::body::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Proxy, Rules};

/// Bytes read at once.
const CHUNK_BYTES: usize = 64 << 10;

/// Chunks that one direction holds back during a delay or silence.
const CHUNKS: usize = 64;

const BACKLOG: u32 = 1_024;

/// Pause before the port is bound again after a failure.
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections; closes the listening socket for the time of a cut.
pub(super) async fn accept(
    proxy: &Arc<Proxy>,
    mut listener: TcpListener,
    address: SocketAddr,
) -> io::Result<()> {
    let mut rules = proxy.rules.subscribe();
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = until(&mut rules, true) => {
                drop(listener);
                let reserved = reserve(address).await?;
                proxy.closed.send_replace(true);
                connections.shutdown().await;
                until(&mut rules, false).await;
                listener = reserved.listen(BACKLOG)?;
                proxy.closed.send_replace(false);
                continue;
            }
        };
        match accepted {
            Ok((client, _)) => {
                let number = proxy.counters.connections.fetch_add(1, Ordering::Relaxed);
                connections.spawn(connection(Arc::clone(proxy), client, number));
            }
            Err(error) => {
                log::warn!("proxy: accept failed: {error}");
                tokio::time::sleep(BIND_PAUSE).await;
            }
        }
    }
}

/// Waits until a cut begins or ends.
async fn until(rules: &mut watch::Receiver<Rules>, cut: bool) {
    if rules.wait_for(|rules| rules.faults.cut == cut).await.is_err() {
        // The sender is gone, so the proxy is being dropped.
        std::future::pending().await
    }
}

/// Binds the port without listening: connections are refused, and nobody else gets the port.
async fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    loop {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        match socket.bind(address) {
            Ok(()) => return Ok(socket),
            Err(error) => log::debug!("proxy: could not reserve {address}: {error}"),
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct Open<'a>(&'a AtomicU64);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn connection(proxy: Arc<Proxy>, client: TcpStream, number: u64) {
    let counters = &proxy.counters;
    counters.open.fetch_add(1, Ordering::Relaxed);
    let _open = Open(&counters.open);
    if let Err(error) = relay(&proxy, client, number).await {
        log::debug!("proxy: connection {number} ended: {error}");
    }
}

async fn relay(proxy: &Proxy, client: TcpStream, number: u64) -> io::Result<()> {
    let server = TcpStream::connect(proxy.to).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let counters = &proxy.counters;
    let rules = proxy.rules.subscribe();
    let up = Direction { number, rules: rules.clone(), bytes: &counters.bytes_up, down: false };
    let down = Direction { number, rules, bytes: &counters.bytes_down, down: true };
    tokio::try_join!(up.pump(client_read, server_write), down.pump(server_read, client_write))?;
    Ok(())
}

/// One direction of one connection.
#[derive(Debug)]
struct Direction<'a> {
    number: u64,
    rules: watch::Receiver<Rules>,
    bytes: &'a AtomicU64,
    /// Set for the direction towards the client, which can be truncated.
    down: bool,
}

impl Direction<'_> {
    /// Forwards until the source ends; gives an error when the connection has to be closed.
    async fn pump(self, from: OwnedReadHalf, to: OwnedWriteHalf) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(CHUNKS);
        let read = read(from, sender, self.rules.clone());
        tokio::try_join!(read, self.write(receiver, to))?;
        Ok(())
    }

    async fn write(
        mut self,
        mut chunks: mpsc::Receiver<Chunk>,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut written = 0;
        while let Some(chunk) = chunks.recv().await {
            tokio::time::sleep_until(chunk.due).await;
            let number = self.number;
            let rules = self.rules.wait_for(|rules| !rules.silences(number)).await;
            let limit = rules.map_err(io::Error::other)?.faults.truncate_after;
            let limit = limit.filter(|_| self.down).unwrap_or(u64::MAX);
            let bytes = chunk.bytes?;
            if bytes.is_empty() {
                return to.shutdown().await;
            }
            let part = limit.saturating_sub(written).min(bytes.len() as u64);
            to.write_all(&bytes[..part as usize]).await?;
            written += part;
            self.bytes.fetch_add(part, Ordering::Relaxed);
            if written >= limit {
                to.shutdown().await?;
                return Err(io::Error::other("truncated as configured"));
            }
        }
        Ok(())
    }
}

/// Holds what was read, or an empty chunk at the end, or the error that ended the source.
///
/// End and errors take the same path as bytes, so that a silent connection does not show them.
#[derive(Debug)]
struct Chunk {
    due: Instant,
    bytes: io::Result<Bytes>,
}

async fn read(
    mut from: OwnedReadHalf,
    chunks: mpsc::Sender<Chunk>,
    rules: watch::Receiver<Rules>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let bytes = from.read(&mut buffer).await;
        let bytes = bytes.map(|length| Bytes::copy_from_slice(&buffer[..length]));
        let last = bytes.as_ref().map_or(true, Bytes::is_empty);
        let due = Instant::now() + Duration::from_millis(rules.borrow().faults.delay_ms);
        if chunks.send(Chunk { due, bytes }).await.is_err() || last {
            return Ok(());
        }
    }
}
