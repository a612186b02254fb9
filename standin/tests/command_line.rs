//! Guards against a command that does not announce its port, which its starter waits for.

mod common;

use std::net::SocketAddr;
use std::process::Stdio;

use common::{get, send};
use http::Method;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};

/// Starts the program; it ends when the child is dropped.
fn start(arguments: &[&str]) -> (Child, Lines<BufReader<ChildStdout>>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(arguments)
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("start standin");
    let stdout = child.stdout.take().expect("piped stdout");
    (child, BufReader::new(stdout).lines())
}

async fn announced(lines: &mut Lines<BufReader<ChildStdout>>, what: &str) -> SocketAddr {
    let line = lines.next_line().await.expect("read").expect("a line");
    let address = line.strip_prefix(what).expect("announcement");
    address.strip_prefix(" on ").expect("announcement").parse().expect("address")
}

#[tokio::test]
async fn each_stand_in_announces_a_port_on_which_it_answers() {
    for (command, path) in
        [("engine", "/healthz"), ("service", "/healthz"), ("platform", "/control/counters")]
    {
        let (_child, mut lines) = start(&[command, "--listen", "127.0.0.1:0"]);
        let address = announced(&mut lines, "listening").await;
        assert_eq!(get(address, path).await.status, 200, "{command}");
    }
}

#[tokio::test]
async fn the_proxy_announces_its_control_port_and_forwards() {
    let (_service, mut lines) = start(&["service"]);
    let service = announced(&mut lines, "listening").await.to_string();
    let (_proxy, mut lines) = start(&["proxy", "--to", &service, "--udp"]);
    let proxy = announced(&mut lines, "listening").await;
    let control = announced(&mut lines, "control").await;
    let answer = send(proxy, Method::POST, "/bookings", &[], Value::Null).await;
    assert_eq!(answer.expect("answer").status, 201);
    assert_eq!(get(control, "/counters").await.json()["connections"], 1);
}

#[tokio::test]
async fn wrong_faults_end_the_program_with_an_error() {
    let (mut child, _) = start(&["engine", "--faults", "{\"slwo\": 2}"]);
    assert!(!child.wait().await.expect("exit").success());
}
