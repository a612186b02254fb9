//! Stand-in of the platform behind a proxy that can lose the responses of committed transactions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use pomelolink::platform::TransactionResponse;
use standin::platform;
use tokio::net::TcpListener;

/// Largest response body that the proxy forwards.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Proxy in front of the stand-in, with the faults that it injects.
#[derive(Debug)]
pub struct Platform {
    upstream: SocketAddr,
    http: Client<HttpConnector, Body>,
    /// Makes the proxy respond to every request with 503.
    pub down: AtomicBool,
    /// Number of committed transactions whose response will be replaced by 504.
    pub responses_to_lose: AtomicU32,
    /// Replaces the response of the next committed transaction by 504 and sets `down`, so that the
    /// outcome cannot be read back either.
    pub down_after_commit: AtomicBool,
}

/// Starts the stand-in and the proxy; returns the proxy and its address.
pub async fn start() -> (Arc<Platform>, SocketAddr) {
    let bind = || TcpListener::bind("127.0.0.1:0");
    let (listener, upstream) = (bind().await.unwrap(), bind().await.unwrap());
    let address = listener.local_addr().unwrap();
    let platform = Arc::new(Platform {
        upstream: upstream.local_addr().unwrap(),
        http: Client::builder(TokioExecutor::new()).build_http(),
        down: AtomicBool::new(false),
        responses_to_lose: AtomicU32::new(0),
        down_after_commit: AtomicBool::new(false),
    });
    tokio::spawn(platform::run(upstream, platform::Options::default()));
    let router = axum::Router::new().fallback(forward).with_state(platform.clone());
    tokio::spawn(async move { axum::serve(listener, router).await });
    (platform, address)
}

async fn forward(platform: State<Arc<Platform>>, mut request: Request) -> Response {
    if platform.down.load(Ordering::SeqCst) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let path = request.uri().path_and_query().unwrap().clone();
    let uri = format!("http://{}{path}", platform.upstream);
    *request.uri_mut() = uri.parse().unwrap();
    let response = platform.http.request(request).await.unwrap();
    let status = response.status();
    let body = axum::body::to_bytes(Body::new(response.into_body()), MAX_BODY_BYTES).await.unwrap();
    if path == "/table/transact" {
        let committed = serde_json::from_slice(&body)
            .is_ok_and(|response: TransactionResponse| response.committed);
        if committed && platform.take_lost_response() {
            return StatusCode::GATEWAY_TIMEOUT.into_response();
        }
    }
    (status, body).into_response()
}

impl Platform {
    /// Returns whether to lose the response of a committed transaction, and counts it down.
    fn take_lost_response(&self) -> bool {
        if self.down_after_commit.swap(false, Ordering::SeqCst) {
            self.down.store(true, Ordering::SeqCst);
            return true;
        }
        let remaining = &self.responses_to_lose;
        remaining
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| remaining.checked_sub(1))
            .is_ok()
    }
}
