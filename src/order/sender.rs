//! Sends orders over HTTP when a `Scheduler` allows it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::error::{Error, Kind as ErrorKind, Result};
use crate::lease;
use crate::order::{ANSWER_TIMEOUT, Action, Answer, Kind, Order, Scheduler};

/// Largest body accepted in an endpoint's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// State that an endpoint reports at `GET /load`; fields that it does not report are zero or empty.
#[derive(Debug, Default, Clone, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct State {
    /// Number of requests being run.
    pub running: u64,
    /// Number of requests waiting to be run.
    pub queued: u64,
    /// Ids of the orders that the endpoint has run.
    pub orders: Vec<Arc<str>>,
}

/// Sends the orders of one duty.
#[derive(Debug)]
pub struct Sender {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    scheduler: Mutex<Scheduler>,
}

impl Default for Sender {
    fn default() -> Sender {
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(10))
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Sender { http, scheduler: Mutex::default() }
    }
}

impl Sender {
    /// Sends an order, repeatedly if needed, until the endpoint answers. Repeats have no effect,
    /// since they carry the same id.
    ///
    /// # Errors
    ///
    /// Fails with `Conflict` if the lease is not held for long enough or an endpoint has seen a
    /// higher fencing number, with `EndpointFailed` if the endpoint rejects the order, and with
    /// `DeadlinePassed` if there is no answer within `timeout`. After `Conflict` and
    /// `DeadlinePassed` the order may have been run.
    pub async fn send(
        &self,
        address: SocketAddr,
        checks_fencing: bool,
        id: Arc<str>,
        kind: Kind,
        keeper: &lease::Keeper,
        timeout: Duration,
    ) -> Result<()> {
        let endpoint: Arc<str> = address.to_string().into();
        let end = keeper.now() + timeout;
        loop {
            let now = keeper.now();
            if now >= end {
                let detail = format!("order {id} to {endpoint} had no answer within {timeout:?}");
                return Err(Error::new(ErrorKind::DeadlinePassed, detail));
            }
            let grant = keeper.grant(ANSWER_TIMEOUT);
            let action =
                self.scheduler().next_action(&endpoint, checks_fencing, &id, &kind, grant, now);
            match action {
                Action::NotHolder => {
                    let detail =
                        format!("order {id} to {endpoint} stopped: lease lost or about to expire");
                    return Err(Error::new(ErrorKind::Conflict, detail));
                }
                Action::Wait(until) => {
                    tokio::time::sleep(until.min(end).saturating_sub(now)).await;
                }
                Action::ReadState => {
                    let Some(grant) = grant else { continue };
                    let Some(state) = self.read_state(address).await else {
                        self.scheduler().record_read_failure(&endpoint, keeper.now());
                        continue;
                    };
                    self.scheduler().record_state_read(&endpoint, grant.fence);
                    if state.orders.contains(&id) {
                        return Ok(());
                    }
                }
                Action::Send(order) => {
                    let answer = self.post(address, &order).await;
                    let now = keeper.now();
                    if self.scheduler().handle_answer(&endpoint, order.fence, answer, now) {
                        return answer_result(&endpoint, &id, answer);
                    }
                }
            }
        }
    }

    /// Reads the state of an endpoint; returns `None` if it does not answer with a valid state.
    pub async fn read_state(&self, address: SocketAddr) -> Option<State> {
        let (status, body) =
            self.exchange(Method::GET, address, "/load", Bytes::new()).await.ok()?;
        (status == StatusCode::OK).then(|| serde_json::from_slice(&body).ok())?
    }

    async fn post(&self, address: SocketAddr, order: &Order) -> Answer {
        let Ok(body) = serde_json::to_vec(order) else { return Answer::Rejected(400) };
        match self.exchange(Method::POST, address, "/orders", body.into()).await {
            Ok((StatusCode::OK, _)) => Answer::Accepted,
            Ok((StatusCode::CONFLICT, _)) => Answer::Fenced,
            Ok((status, _)) if status.is_client_error() => Answer::Rejected(status.as_u16()),
            Ok(_) | Err(()) => Answer::Unknown,
        }
    }

    async fn exchange(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> std::result::Result<(StatusCode, Bytes), ()> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(drop)?;
        let answer = async {
            let response = self.http.request(request).await.map_err(drop)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
            Ok((status, body.map_err(drop)?.to_bytes()))
        };
        tokio::time::timeout(ANSWER_TIMEOUT, answer).await.map_err(drop)?
    }

    fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn answer_result(endpoint: &str, id: &str, answer: Answer) -> Result<()> {
    match answer {
        Answer::Rejected(status) => {
            let detail = format!("{endpoint} rejected order {id} with status {status}");
            Err(Error::new(ErrorKind::EndpointFailed, detail))
        }
        _ => Ok(()),
    }
}
