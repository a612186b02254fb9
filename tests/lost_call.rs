//! A call that was given up must not reach the server later; see `docs/platform.md`.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use pomelolink::endpoint::pool::Pool;
use pomelolink::gateway::link::Client;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Accepts one connection, reads until it closes without answering, and returns how it closed.
async fn read_until_closed(listener: TcpListener) -> Result<usize, std::io::ErrorKind> {
    let (mut stream, _) = listener.accept().await.expect("accept a connection");
    let mut bytes = Vec::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut bytes)).await;
    read.expect("the connection closes in time").map_err(|error| error.kind())
}

/// Guards against an order that a network partition delays and that is delivered after another holder has
/// acted. A connection that is closed in order delivers the bytes sent, one that is reset does not.
#[tokio::test]
async fn timeout_resets_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let client = Client::new(listener.local_addr().expect("local address"));
    let server = tokio::spawn(read_until_closed(listener));
    let request =
        Request::post("/orders").body(Full::<Bytes>::default()).expect("build the request");
    let result = client.call(request, Duration::from_millis(100)).await;
    assert!(result.is_err(), "the server never answers");
    let closed = server.await.expect("the server task finishes");
    assert_eq!(closed, Err(std::io::ErrorKind::ConnectionReset));
}

/// Guards against a request that was given up during a network partition and reaches its endpoint when the
/// partition heals, after the endpoint has announced its departure.
#[tokio::test]
async fn abandoned_request_resets_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let pool = Pool::new(listener.local_addr().expect("local address"));
    let server = tokio::spawn(read_until_closed(listener));
    let mut connection = pool.checkout().await.expect("connect to the endpoint");
    let request = Request::post("/chat").body(Full::default()).expect("build the request");
    let answer = timeout(Duration::from_millis(100), connection.send(request)).await;
    assert!(answer.is_err(), "the endpoint never answers");
    drop(connection);
    let closed = server.await.expect("the server task finishes");
    assert_eq!(closed, Err(std::io::ErrorKind::ConnectionReset));
}

/// Guards against an order that is sent on an idle connection during a network partition and arrives when
/// the partition heals. Seen as a lower fencing token after a higher one (trouble-3, 57.3 s).
#[tokio::test]
async fn unpooled_calls_open_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let client = Client::unpooled(listener.local_addr().expect("local address"));
    let server = tokio::spawn(async move {
        let mut connections = 0;
        while let Ok((mut stream, _)) = listener.accept().await {
            connections += 1;
            let mut bytes = [0; 1_024];
            let _ = stream.read(&mut bytes).await;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
            tokio::spawn(async move { stream.read(&mut bytes).await.map(drop) });
            if connections == 2 {
                break;
            }
        }
        connections
    });
    for _ in 0..2 {
        let request =
            Request::post("/orders").body(Full::<Bytes>::default()).expect("build the request");
        let answer = client.call(request, Duration::from_secs(2)).await;
        assert!(answer.is_ok(), "{answer:?}");
    }
    let connections = timeout(Duration::from_secs(2), server).await;
    assert_eq!(
        connections.expect("two connections arrive in time").expect("the server task finishes"),
        2
    );
}
