//! A call that was given up must not reach the server later; see `docs/platform.md`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use pomelolink::endpoint::pool::{Failure, Pool};
use pomelolink::endpoint::socket::{Progress, Queue};
use pomelolink::gateway::link::{Client, Pools};
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Instruction of a socket filter that returns a constant: the number of bytes of the segment to keep.
const BPF_RETURN: u16 = 0x06;
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Length of a body that does not fit into the buffers of both sockets.
const BODY_BYTES: usize = 32 << 20;

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

/// Guards against a connection that the kernel ends without a reset after bytes were not acknowledged, so
/// that a network partition delivers them when it heals.
#[tokio::test]
async fn unacknowledged_request_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let pool = Pool::unprobed(listener.local_addr().expect("local address"), MAX_IDLE);
    let mut connection = pool.checkout().await.expect("connect to the endpoint");
    let (mut stream, _) = listener.accept().await.expect("accept a connection");
    let drop_all = SockFilter::new(BPF_RETURN, 0, 0, 0);
    SockRef::from(&stream).attach_filter(&[drop_all]).expect("drop arriving segments");
    let request = Request::post("/chat").body(Full::default()).expect("build the request");
    let began = Instant::now();
    let answer = timeout(Duration::from_secs(5), connection.send(request)).await;
    let failure = answer.expect("the request is given up").expect_err("the endpoint never answers");
    assert!(matches!(&failure, Failure::Unknown(reason) if reason.contains("not acknowledged")));
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    SockRef::from(&stream).detach_filter().expect("accept segments again");
    let late = timeout(Duration::from_secs(2), stream.read(&mut [0; 64])).await;
    assert!(!matches!(late, Ok(Ok(1..))), "the request arrives late: {late:?}");
}

/// Guards against an endpoint that reads a long body late and is taken for one that is cut off.
#[tokio::test]
async fn late_reader_is_no_silent_peer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let pool = Pool::unprobed(listener.local_addr().expect("local address"), MAX_IDLE);
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept a connection");
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (mut length, mut bytes) = (0, vec![0; 65_536]);
        while length < BODY_BYTES {
            length += stream.read(&mut bytes).await.expect("read the request");
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await
    });
    let mut connection = pool.checkout().await.expect("connect to the endpoint");
    let body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
    let request = Request::post("/chat").body(body).expect("build the request");
    let answer = timeout(Duration::from_secs(10), connection.send(request)).await;
    assert!(matches!(answer, Ok(Ok(_))), "{answer:?}");
    server.await.expect("the server task finishes").expect("write the response");
}

#[test]
fn stalled_queue_ends_connection() {
    let mut progress = Progress::default();
    progress.record_write(3_000);
    let stalled = Queue { bytes: 3_000, unacked_segments: 3 };
    assert_eq!([(); 4].map(|()| progress.check(stalled)), [false, false, false, true]);
}

#[test]
fn slow_upload_keeps_connection() {
    let mut progress = Progress::default();
    progress.record_write(100_000);
    for sent in 1..60 {
        progress.record_write(1_000);
        assert!(!progress.check(Queue { bytes: 100_000 - sent, unacked_segments: 10 }), "{sent}");
    }
}

#[test]
fn closed_window_keeps_connection() {
    let mut progress = Progress::default();
    progress.record_write(100_000);
    let closed = Queue { bytes: 100_000, unacked_segments: 0 };
    assert!((0..60).all(|_| !progress.check(closed)));
}

/// Guards against a suspended process that takes the time of its own absence for silence of its peers.
#[test]
fn suspension_counts_once() {
    let mut progress = Progress::default();
    progress.record_write(3_000);
    assert!(!progress.check(Queue { bytes: 3_000, unacked_segments: 3 }));
    assert!(!progress.check(Queue { bytes: 0, unacked_segments: 0 }));
    progress.record_write(500);
    assert!(!progress.check(Queue { bytes: 500, unacked_segments: 1 }));
}

/// Guards against a request that is sent into a network partition on an idle connection, which keep-alive
/// then ends without a reset.
#[test]
fn silent_domain_uses_no_idle_connection() {
    let (pools, domain) = (Pools::default(), Arc::from("dk-a"));
    let max_idle = |at: f64| pools.max_idle("dk-a", Duration::from_secs_f64(at));
    assert!(max_idle(10.0) < KEEPALIVE_IDLE, "no response yet");
    pools.record_response(&domain, Duration::from_secs(10));
    assert!(max_idle(10.5) > KEEPALIVE_IDLE, "a recent response");
    assert!(max_idle(11.0) < KEEPALIVE_IDLE, "no recent response");
    let other = pools.max_idle("dk-b", Duration::from_secs_f64(10.5));
    assert!(other < KEEPALIVE_IDLE, "no response from this domain");
}

#[tokio::test]
async fn expired_idle_connection_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let pool = Pool::unprobed(listener.local_addr().expect("local address"), MAX_IDLE);
    for (max_idle, is_reused) in [(MAX_IDLE, true), (Duration::from_millis(20), false)] {
        let connection = pool.checkout().await.expect("connect to the endpoint");
        let (mut stream, _) = listener.accept().await.expect("accept a connection");
        pool.put_back(connection);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let connection = pool.checkout_within(max_idle).await.expect("connect to the endpoint");
        let read = timeout(Duration::from_millis(200), stream.read(&mut [0; 1])).await;
        assert_eq!(read.is_err(), is_reused, "{read:?}");
        drop(connection);
    }
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
