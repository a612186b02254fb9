//! Guards against a proxy whose faults a connection cannot tell from health, or the reverse.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{get, listener, post};
use serde_json::{Value, json};
use standin::proxy;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Long enough to see that nothing arrives.
const QUIET: Duration = Duration::from_millis(50);

struct Setup {
    proxy: SocketAddr,
    control: SocketAddr,
}

impl Setup {
    /// Starts a proxy in front of an echo server.
    async fn start() -> Setup {
        let (server, to) = listener().await;
        tokio::spawn(echo(server));
        let datagrams = UdpSocket::bind(to).await.expect("bind UDP");
        tokio::spawn(async move {
            let mut buffer = [0; 64];
            while let Ok((length, from)) = datagrams.recv_from(&mut buffer).await {
                datagrams.send_to(&buffer[..length], from).await.expect("echo");
            }
        });
        let ((listener, proxy), (control_listener, control)) = (listener().await, listener().await);
        let options = proxy::Options { udp: true, ..proxy::Options::to(to) };
        tokio::spawn(proxy::run(listener, control_listener, options));
        Setup { proxy, control }
    }

    async fn faults(&self, faults: Value) {
        assert_eq!(post(self.control, "/faults", faults).await.status, 200);
    }

    async fn connect(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.proxy).await.expect("connect");
        assert_eq!(exchange(&mut stream).await, b"hello");
        stream
    }
}

async fn echo(server: TcpListener) {
    while let Ok((mut stream, _)) = server.accept().await {
        tokio::spawn(async move {
            let (mut read, mut write) = stream.split();
            tokio::io::copy(&mut read, &mut write).await
        });
    }
}

async fn exchange(stream: &mut TcpStream) -> Vec<u8> {
    stream.write_all(b"hello").await.expect("write");
    let mut answer = vec![0; 5];
    stream.read_exact(&mut answer).await.expect("read");
    answer
}

#[tokio::test]
async fn a_cut_closes_connections_and_refuses_new_ones_until_it_ends() {
    let setup = Setup::start().await;
    let mut stream = setup.connect().await;
    setup.faults(json!({ "cut": true })).await;
    assert!(matches!(stream.read(&mut [0; 8]).await, Ok(0) | Err(_)));
    assert!(TcpStream::connect(setup.proxy).await.is_err());
    setup.faults(json!({ "cut": false })).await;
    setup.connect().await;
}

#[tokio::test]
async fn a_silent_connection_stays_open_while_new_ones_work() {
    let setup = Setup::start().await;
    let mut old = setup.connect().await;
    setup.faults(json!({ "silent": true })).await;
    old.write_all(b"hello").await.expect("write");
    let mut buffer = [0; 5];
    assert!(tokio::time::timeout(QUIET, old.read(&mut buffer)).await.is_err());
    setup.connect().await;
    setup.faults(json!({ "silent": false })).await;
    old.read_exact(&mut buffer).await.expect("bytes held back");
    assert_eq!(&buffer, b"hello");
}

#[tokio::test]
async fn a_truncated_connection_closes_after_the_given_bytes() {
    let setup = Setup::start().await;
    setup.faults(json!({ "truncate_after": 3 })).await;
    let mut stream = TcpStream::connect(setup.proxy).await.expect("connect");
    stream.write_all(b"hello").await.expect("write");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("regular end");
    assert_eq!(answer, b"hel");
    assert_eq!(get(setup.control, "/counters").await.json()["bytes_down"], 3);
}

#[tokio::test]
async fn a_delay_holds_bytes_back() {
    let setup = Setup::start().await;
    let mut stream = setup.connect().await;
    setup.faults(json!({ "delay_ms": 40 })).await;
    let start = std::time::Instant::now();
    exchange(&mut stream).await;
    assert!(start.elapsed() >= Duration::from_millis(80));
}

#[tokio::test]
async fn datagrams_pass_both_ways_and_are_dropped_by_share() {
    let setup = Setup::start().await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("bind");
    socket.connect(setup.proxy).await.expect("connect");
    // The proxy answers on its control port only after it has bound its UDP port.
    get(setup.control, "/counters").await;
    let mut buffer = [0; 8];
    socket.send(b"ping").await.expect("send");
    assert_eq!(socket.recv(&mut buffer).await.expect("echo"), 4);
    setup.faults(json!({ "loss_share": 1.0 })).await;
    socket.send(b"lost").await.expect("send");
    assert!(tokio::time::timeout(QUIET, socket.recv(&mut buffer)).await.is_err());
    assert_eq!(get(setup.control, "/counters").await.json()["datagrams_dropped"], 1);
}
