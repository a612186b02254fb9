//! HTTP/1 server with a header size limit, a header read timeout and graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, HttpBody};
use axum::extract::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tower::ServiceExt;

use crate::intake::connections::{Connection, Table};
use crate::intake::tracked::Tracked;

/// Delay after a failed accept, for instance when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits on the request headers of a connection: read buffer size and time to receive them.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub header_bytes: usize,
    pub header_timeout: Duration,
}

/// Serves connections until `stop` becomes true, then waits for the requests in flight to finish.
pub async fn serve(
    listener: TcpListener,
    router: axum::Router,
    bounds: Bounds,
    table: Table,
    mut stop: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let Some(open) = table.open() else { continue };
                let stop = stop.clone();
                connections.spawn(serve_connection(stream, router.clone(), bounds, open, stop));
            }
            Err(error) => {
                log::warn!("serve: cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: tokio::net::TcpStream,
    router: axum::Router,
    bounds: Bounds,
    (open, closed): (Connection, Arc<Notify>),
    mut stop: watch::Receiver<bool>,
) {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.header_timeout)
        .max_buf_size(bounds.header_bytes);
    let service = service_fn(|request: http::Request<Incoming>| {
        let running = Arc::new(open.request());
        if request.body().is_end_stream() {
            running.accept();
        }
        let mut request: Request = request.map(Body::new);
        // A request with a body is accepted once that is read.
        request.extensions_mut().insert(running.clone());
        let router = router.clone();
        async move {
            let response = router.oneshot(request).await?;
            running.accept();
            Ok::<_, std::convert::Infallible>(response.map(|body| Tracked::new(body, running)))
        }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // The guard that `wait_for` returns is not `Send`, so it is dropped inside this future.
    let stopped = async move { stop.wait_for(|stop| *stop).await.is_ok() };
    let result = tokio::select! {
        biased;
        () = closed.notified() => return,
        result = connection.as_mut() => result,
        _ = stopped => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("serve: connection failed: {error}");
    }
}
