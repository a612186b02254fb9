//! Small HTTP client for tests and the demo.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Longest wait for the next part of an answer.
const SILENCE: Duration = Duration::from_secs(20);

/// Holds a whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// Reads an answer part by part; dropping it closes the connection.
#[derive(Debug)]
pub struct Stream {
    pub status: StatusCode,
    pub headers: HeaderMap,
    body: Incoming,
    driver: tokio::task::AbortHandle,
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Stream {
    /// Gives `None` at the end of a whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or stays silent for 20 s.
    pub async fn next(&mut self) -> std::io::Result<Option<Bytes>> {
        loop {
            let frame = tokio::time::timeout(SILENCE, self.body.frame()).await?;
            match frame {
                None => return Ok(None),
                Some(Err(error)) => return Err(std::io::Error::other(error)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the rest of the answer.
    pub async fn collect(mut self) -> std::io::Result<Answer> {
        let mut body = Vec::new();
        while let Some(data) = self.next().await? {
            body.extend_from_slice(&data);
        }
        Ok(Answer { status: self.status, headers: self.headers.clone(), body: body.into() })
    }
}

/// Sends a request on a connection of its own and gives the answer as a stream.
pub async fn open(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> std::io::Result<Stream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    let driver = tokio::spawn(async move {
        let _ = driver.await;
    })
    .abort_handle();
    let mut request = Request::builder().method(method).uri(path).header("host", "test");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).map_err(std::io::Error::other)?;
    let sent = tokio::time::timeout(SILENCE, sender.send_request(request)).await?;
    let (parts, body) = sent.map_err(std::io::Error::other)?.into_parts();
    Ok(Stream { status: parts.status, headers: parts.headers, body, driver })
}

/// Sends a request and reads the whole answer.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> std::io::Result<Answer> {
    open(address, method, path, headers, body).await?.collect().await
}
