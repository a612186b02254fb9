//! HTTP client with kept connections, so that connecting is no part of the measured time.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use standin::fleet::CALLER_TOKEN;
use tokio::net::TcpStream;

#[derive(Debug, Clone)]
pub struct Call {
    pub method: &'static str,
    pub path: &'static str,
    pub body: String,
}

/// Holds idle connections to one server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

/// Counts what a whole answer held.
#[derive(Debug, Default)]
pub struct Read {
    pub bytes: usize,
    pub events: u64,
}

impl Pool {
    pub fn new(address: SocketAddr) -> Pool {
        Pool { address, idle: Mutex::default() }
    }

    /// Gives the time from sending to the first byte of the body, and reads the rest.
    pub async fn first_byte(&self, call: &Call) -> io::Result<Duration> {
        let mut sender = self.checkout().await?;
        let began = Instant::now();
        let mut body = send(&mut sender, call).await?;
        let first = body.frame().await;
        let time = began.elapsed();
        if !matches!(first, Some(Ok(_))) {
            return Err(io::Error::other("the answer has no body"));
        }
        body.collect().await.map_err(io::Error::other)?;
        self.put_back(sender);
        Ok(time)
    }

    /// Reads an answer to its end and counts its events.
    pub async fn read_all(&self, call: &Call) -> io::Result<Read> {
        let mut sender = self.checkout().await?;
        let mut body = send(&mut sender, call).await?;
        let mut read = Read::default();
        let mut last = 0;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(io::Error::other)?.into_data() else { continue };
            read.bytes += data.len();
            for byte in data {
                read.events += u64::from(byte == b'\n' && last == b'\n');
                last = byte;
            }
        }
        self.put_back(sender);
        Ok(read)
    }

    async fn checkout(&self) -> io::Result<SendRequest<Full<Bytes>>> {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        if let Some(mut sender) = idle
            && sender.ready().await.is_ok()
        {
            return Ok(sender);
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(sender)
    }

    fn put_back(&self, sender: SendRequest<Full<Bytes>>) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
    }
}

async fn send(sender: &mut SendRequest<Full<Bytes>>, call: &Call) -> io::Result<Incoming> {
    let request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header("host", "bench")
        .header("authorization", format!("Bearer {CALLER_TOKEN}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(call.body.clone())))
        .map_err(io::Error::other)?;
    let answer = sender.send_request(request).await.map_err(io::Error::other)?;
    if !answer.status().is_success() {
        return Err(io::Error::other(format!("{} answered {}", call.path, answer.status())));
    }
    Ok(answer.into_body())
}
