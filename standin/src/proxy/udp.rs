//! Forwarding of datagrams; each client has its own socket towards the server.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use axum::body::Bytes;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

use super::Proxy;

const DATAGRAM_BYTES: usize = 64 << 10;

/// Clients with a socket; datagrams of further clients are dropped.
const CLIENTS: usize = 1_024;

/// Forwards datagrams in both directions until the task is dropped.
pub(super) async fn forward(proxy: &Arc<Proxy>, socket: UdpSocket) -> io::Result<()> {
    let socket = Arc::new(socket);
    let mut clients: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, client)) = socket.recv_from(&mut buffer).await else { continue };
        let server = match clients.get(&client) {
            Some(server) => Arc::clone(server),
            None if clients.len() >= CLIENTS => continue,
            None => {
                let local = SocketAddr::new(socket.local_addr()?.ip(), 0);
                let server = Arc::new(UdpSocket::bind(local).await?);
                server.connect(proxy.to).await?;
                clients.insert(client, Arc::clone(&server));
                tasks.spawn(answers(
                    Arc::clone(proxy),
                    Arc::clone(&server),
                    Arc::clone(&socket),
                    client,
                ));
                server
            }
        };
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        pass(proxy, bytes, server, None, &proxy.counters.datagrams_up);
    }
}

async fn answers(
    proxy: Arc<Proxy>,
    server: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        // An error means that the server's port was closed when an earlier datagram arrived.
        let Ok(length) = server.recv(&mut buffer).await else { continue };
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        let counter = &proxy.counters.datagrams_down;
        pass(&proxy, bytes, Arc::clone(&socket), Some(client), counter);
    }
}

/// Drops the datagram, or sends it after the delay; losses while sending are like any other loss.
fn pass(
    proxy: &Proxy,
    bytes: Bytes,
    socket: Arc<UdpSocket>,
    to: Option<SocketAddr>,
    counter: &AtomicU64,
) {
    let (lost, delay) = {
        let rules = proxy.rules.borrow();
        let faults = &rules.faults;
        let lost = faults.cut || faults.silent || proxy.dice.hit(faults.loss_share);
        (lost, Duration::from_millis(faults.delay_ms))
    };
    if lost {
        proxy.counters.datagrams_dropped.fetch_add(1, Ordering::Relaxed);
        return;
    }
    counter.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let sent = match to {
            Some(to) => socket.send_to(&bytes, to).await,
            None => socket.send(&bytes).await,
        };
        if let Err(error) = sent {
            log::debug!("proxy: datagram not sent: {error}");
        }
    });
}
