//! Requests to the operator interface of several servers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{self, ResponseFuture};
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::error::Error;

/// Longest wait for a connection; a server in a failed domain must not hold up the next one.
const CONNECT: Duration = Duration::from_secs(2);
/// Longest wait for an answer; a commit settles an unknown outcome within about 10 s.
const ANSWER: Duration = Duration::from_secs(15);
const ANSWER_BYTES: usize = 64 << 20;
/// Passes over all servers before the tool gives up.
const ROUNDS: u32 = 3;
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Describes a request; each write carries an operation id, so that it may be sent again.
#[derive(Debug, Clone)]
pub struct Call {
    pub method: Method,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
}

impl Call {
    pub fn get(path: impl Into<String>) -> Call {
        Call { method: Method::GET, path: path.into(), headers: Vec::new(), body: Bytes::new() }
    }

    pub fn post(path: &str, body: &Value) -> Call {
        Call { method: Method::POST, body: body.to_string().into(), ..Call::get(path) }
    }
}

#[derive(Debug)]
pub struct Client {
    pub servers: Vec<SocketAddr>,
    authorization: String,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub fn new(servers: Vec<SocketAddr>, token: &str) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        let http = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Client { servers, authorization: format!("Bearer {token}"), http }
    }

    /// Sends a request to the first server that answers it and gives the JSON answer.
    pub async fn send(&self, call: &Call) -> Result<Value, Error> {
        let body = self.send_raw(call).await?;
        serde_json::from_slice(&body)
            .map_err(|error| Error::Failed(format!("the answer is not JSON: {error}")))
    }

    /// Sends a request to the servers in turn until one of them settles it.
    ///
    /// A server that is cut off from the platform refuses with 5xx; another one may not be.
    pub async fn send_raw(&self, call: &Call) -> Result<Bytes, Error> {
        let mut worst = Error::Unreachable("no server was named".to_owned());
        for round in 0..ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_PAUSE * round).await;
            }
            for &server in &self.servers {
                let error = match self.send_to(server, call).await {
                    Ok(body) => return Ok(body),
                    Err(error) => error,
                };
                let another = match &error {
                    Error::Refused(status, _) => *status >= 500,
                    Error::Unreachable(_) | Error::Unanswered(_) => true,
                    _ => false,
                };
                if !another {
                    return Err(error);
                }
                if error.doubt() >= worst.doubt() {
                    worst = error;
                }
            }
        }
        Err(worst)
    }

    /// Sends a request to one server.
    pub async fn send_to(&self, server: SocketAddr, call: &Call) -> Result<Bytes, Error> {
        let exchange = async {
            let response = self.open(server, call)?.await;
            let response = response.map_err(|error| broken(server, &error))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_BYTES).collect().await;
            let body = body.map_err(|error| unanswered(server, &error.to_string()))?;
            check(status, body.to_bytes())
        };
        match tokio::time::timeout(ANSWER, exchange).await {
            Ok(result) => result,
            Err(_) => Err(unanswered(server, &format!("no answer within {ANSWER:?}"))),
        }
    }

    /// Opens a stream at the first server that answers.
    pub async fn stream(&self, call: &Call) -> Result<Incoming, Error> {
        let mut last = None;
        for &server in &self.servers {
            let answer = tokio::time::timeout(ANSWER, self.open(server, call)?).await;
            let reason = match answer {
                Ok(Ok(response)) if response.status().is_success() => {
                    return Ok(response.into_body());
                }
                Ok(Ok(response)) => {
                    let status = response.status();
                    let body = Limited::new(response.into_body(), ANSWER_BYTES).collect().await;
                    match body.map(|body| check(status, body.to_bytes())) {
                        Ok(Err(refused)) => return Err(refused),
                        Ok(Ok(_)) => status.to_string(),
                        Err(error) => error.to_string(),
                    }
                }
                Ok(Err(error)) => chain(&error),
                Err(_) => format!("no answer within {ANSWER:?}"),
            };
            last = Some(Error::Unreachable(format!("{server}: {reason}")));
        }
        Err(last.unwrap_or_else(|| Error::Unreachable("no server was named".to_owned())))
    }

    fn open(&self, server: SocketAddr, call: &Call) -> Result<ResponseFuture, Error> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{server}{}", call.path))
            .header(header::AUTHORIZATION, &self.authorization)
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::new(call.body.clone()))
            .map_err(|error| Error::Usage(format!("the request cannot be sent: {error}")))?;
        Ok(self.http.request(request))
    }
}

fn check(status: StatusCode, body: Bytes) -> Result<Bytes, Error> {
    if status.is_success() {
        return Ok(body);
    }
    Err(Error::Refused(status.as_u16(), serde_json::from_slice(&body).unwrap_or_default()))
}

fn broken(server: SocketAddr, error: &legacy::Error) -> Error {
    let reason = chain(error);
    if error.is_connect() {
        Error::Unreachable(format!("{server}: {reason}"))
    } else {
        unanswered(server, &reason)
    }
}

fn unanswered(server: SocketAddr, reason: &str) -> Error {
    Error::Unanswered(format!("{server}: {reason}"))
}

/// Gives an error with its causes; the outer error alone says only that the request failed.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
