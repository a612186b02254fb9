//! A call that ran into its time must not reach the server later; see `docs/platform.md`.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use pomelolink::gateway::link::Client;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Guards against an order that a cut holds back and delivers after another holder has acted: a
/// connection that is closed in order delivers what was sent, one that is reset does not.
#[tokio::test]
async fn timeout_resets_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let client = Client::new(listener.local_addr().expect("an address"));
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.map_err(|error| error.kind())
    });
    let request = Request::post("/scale").body(Full::<Bytes>::default()).expect("a request");
    let result = client.call(request, Duration::from_millis(100)).await;
    assert!(result.is_err(), "the server never answers");
    let read = tokio::time::timeout(Duration::from_secs(5), server).await;
    let read = read.expect("the connection ends").expect("the server ends");
    assert_eq!(read, Err(std::io::ErrorKind::ConnectionReset));
}
