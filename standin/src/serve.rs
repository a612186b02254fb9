//! HTTP/1.1 accept loop shared by the stand-ins.
//!
//! `axum::serve` always writes an answer; this loop can also close a connection without one, which
//! is how a lost answer looks to a client.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Pause after a failed accept, so that a lack of file descriptors does not become a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Marks a response that must not be written; the connection is closed instead.
#[derive(Debug, Clone, Copy)]
struct Abort;

/// Gives a response that closes the connection without an answer.
pub fn abort() -> Response {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(Abort);
    response
}

/// Binds the address and announces it on stdout; port 0 takes a free port.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    announce("listening", listener.local_addr()?)?;
    Ok(listener)
}

/// Prints `WHAT on IP:PORT`, which the starting process reads to learn the port.
pub fn announce(what: &str, address: SocketAddr) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "{what} on {address}")?;
    stdout.flush()
}

/// Serves the router until the task is dropped, which closes all connections.
pub async fn serve(listener: TcpListener, router: Router) -> io::Result<()> {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(connection(stream, router.clone()));
            }
            Err(error) => {
                log::warn!("serve: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, router: Router) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("serve: could not set TCP_NODELAY: {error}");
    }
    let service = hyper::service::service_fn(move |request: hyper::Request<Incoming>| {
        let answer = TowerToHyperService::new(router.clone()).call(request);
        async move {
            match answer.await {
                Ok(response) if response.extensions().get::<Abort>().is_none() => Ok(response),
                _ => Err(io::Error::other("closed without an answer, as configured")),
            }
        }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    if let Err(error) = served {
        log::debug!("serve: connection ended: {error}");
    }
}
