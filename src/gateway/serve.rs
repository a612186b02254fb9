//! HTTP listeners of a node: callers' requests, readiness probes of the load balancer, and metrics.

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

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a connection stays open beyond the declared idle timeout, so that the close
/// doesn't race with a caller's next request.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Limits that apply until the declarations have been read.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves callers until the process ends.
pub async fn callers(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(serve_connection(node.clone(), stream));
            }
            Err(error) => {
                log::warn!("serve: event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    let limits = node.catalog().map(|catalog| catalog.limits);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    let idle_timeout =
        limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout) + IDLE_MARGIN;
    let service_node = node.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let node = service_node.clone();
        async move { Ok::<_, Infallible>(respond(node, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
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
    serve_all(node, listener, |node| {
        let mut response = Response::new(Body::whole(Bytes::new()));
        if !node.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
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
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let response = handler(&node);
                async move { Ok::<_, Infallible>(response) }
            });
            let result = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = result {
                log::debug!("serve: event=probe_ended error=\"{error}\"");
            }
        });
    }
}
