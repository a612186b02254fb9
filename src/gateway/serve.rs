//! Listeners of a node: callers, and the readiness probes of the load balancer.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::gateway::handle;
use crate::gateway::node::Node;
use crate::gateway::relay::Body;

/// Pause after a failed accept, for instance when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time beyond the declared idle limit for which a connection stays open, so that a caller's next
/// request doesn't cross the close.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Limits before any declarations are known.
const FIRST_HEADER_BYTES: usize = 16 << 10;
const FIRST_IDLE: Duration = Duration::from_secs(15);

/// Serves callers until the process ends.
pub async fn callers(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(connection(node.clone(), stream));
            }
            Err(error) => {
                log::warn!("serve: event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(node: Rc<Node>, stream: TcpStream) {
    let limits = node.catalog().map(|catalog| catalog.limits);
    let header_bytes = limits.map_or(FIRST_HEADER_BYTES, |limits| limits.header_bytes);
    let idle = limits.map_or(FIRST_IDLE, |limits| limits.idle_timeout) + IDLE_MARGIN;
    let serving = node.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let node = serving.clone();
        async move { Ok::<_, Infallible>(respond(node, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(8_192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
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

async fn respond(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let mut response = handle::request(node.clone(), request).await;
    if node.stopping.get() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Answers readiness probes until the process ends.
pub async fn readiness(node: Rc<Node>, listener: TcpListener) {
    answer_all(node, listener, |node| {
        let mut response = Response::new(Body::whole(Bytes::new()));
        if !node.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    })
    .await;
}

/// Shows the node's figures until the process ends.
pub async fn metrics(node: Rc<Node>, listener: TcpListener) {
    answer_all(node, listener, |node| Response::new(Body::whole(node.metrics.text(node)))).await;
}

/// Gives every request the same answer, made anew for each.
async fn answer_all(
    node: Rc<Node>,
    listener: TcpListener,
    answer: fn(&Rc<Node>) -> Response<Body>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let response = answer(&node);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!("serve: event=probe_ended error=\"{error}\"");
            }
        });
    }
}
