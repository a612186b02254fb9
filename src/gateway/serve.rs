//! HTTP listeners of a node: callers' requests, readiness probes of the load balancer, and metrics.

use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use xxhash_rust::xxh3;

use crate::gateway::handle::{self, Origin};
use crate::gateway::node::Node;
use crate::gateway::relay::Body;
use crate::intake::connections::{self, Connection, Table};
use crate::intake::tracked::Tracked;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a connection stays open beyond the declared idle timeout, so that the close
/// doesn't race with a caller's next request.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Limits that apply until the declarations have been read.
pub const DEFAULT_HEADER_BYTES: usize = 16 << 10;
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Most connections for probes, and for metrics. Each has one or two clients, and only the connection that has been idle
/// for longest is closed for a new one.
const PROBE_CONNECTIONS: usize = 16;

/// Serves callers until the process ends.
pub async fn callers(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let _ = stream.set_nodelay(true);
                let Some((connection, closed)) = node.connections.open() else { continue };
                let served =
                    serve_connection(node.clone(), stream, address.ip(), connection, closed);
                tokio::task::spawn_local(served);
                // A connection that was closed for this one gives back its descriptor first.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                log::warn!("serve: event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    node: Rc<Node>,
    stream: TcpStream,
    address: IpAddr,
    open: Connection,
    closed: Arc<Notify>,
) {
    let limits = node.catalog().map(|catalog| catalog.limits);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    let idle_timeout =
        limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout) + IDLE_MARGIN;
    let service_node = node.clone();
    let address = xxh3::xxh3_64(address.to_canonical().to_string().as_bytes());
    let service = service_fn(|request: Request<Incoming>| {
        let (node, running) = (service_node.clone(), open.request());
        async move { Ok::<_, Infallible>(respond(node, address, running, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(header_bytes.max(8_192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        biased;
        () = closed.notified() => return,
        result = connection.as_mut() => result,
        () = node.stop.notified() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("serve: event=connection_ended error=\"{error}\"");
    }
}

async fn respond(
    node: Rc<Node>,
    address: u64,
    running: connections::Request,
    request: Request<Incoming>,
) -> Response<Tracked<Body>> {
    let origin = Origin { address, request: &running };
    let mut response = handle::request(node.clone(), origin, request).await;
    if node.stopping.get() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| Tracked::new(body, Arc::new(running)))
}

/// Answers readiness probes until the process ends.
pub async fn readiness(node: Rc<Node>, listener: TcpListener) {
    serve_all(node, listener, |node| {
        let Some(reason) = node.unready_reason() else {
            return Response::new(Body::whole(Bytes::new()));
        };
        let mut response = Response::new(Body::whole(reason));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    })
    .await;
}

/// Serves the node's metrics until the process ends.
pub async fn metrics(node: Rc<Node>, listener: TcpListener) {
    serve_all(node, listener, |node| Response::new(Body::whole(node.metrics.text(node)))).await;
}

/// Answers each request with the result of `handler`, whatever its method and path.
async fn serve_all(
    node: Rc<Node>,
    listener: TcpListener,
    handler: fn(&Rc<Node>) -> Response<Body>,
) {
    let table = Table::new(PROBE_CONNECTIONS);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some((open, closed)) = table.open() else { continue };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let response = handler(&node);
                // The connection is the newest one again once the request is dropped.
                drop(open.request());
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            let result = tokio::select! {
                biased;
                () = closed.notified() => return,
                result = connection => result,
            };
            if let Err(error) = result {
                log::debug!("serve: event=probe_ended error=\"{error}\"");
            }
        });
    }
}
