//! Runs the command-line tool in a temporary directory against operator servers in this process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;

use pomelolink::config::{Role, Token};
use pomelolink::operator::{self, access};
use pomelolink::platform::Client;
use pomelolink::revision;
use pomelolink::timeline::Buffer;
use serde_json::{Value, json};
use tokio::process::Command;

use crate::workdir::platform::Platform;

pub const WRITER: &str = "writer-token";
pub const READER: &str = "reader-token";

/// Contains a temporary directory, a platform, and an operator server that shares its state with
/// the test.
pub struct Workdir {
    pub directory: tempfile::TempDir,
    pub platform: Arc<Platform>,
    pub client: Client,
    pub server: SocketAddr,
    pub timeline: Arc<Buffer>,
}

/// Contains the exit code and the output of one run of the tool.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Run {
    /// Returns the standard output; panics unless the run succeeded.
    #[track_caller]
    pub fn expect_success(self) -> String {
        assert_eq!(self.code, 0, "{self:#?}");
        self.stdout
    }

    #[track_caller]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:#?}"))
    }
}

impl Workdir {
    pub async fn start() -> Workdir {
        let (platform, client) = super::start_platform().await;
        let (server, timeline) = start_server("node-1", client.clone()).await;
        let directory = tempfile::tempdir().unwrap();
        Workdir { directory, platform, client, server, timeline }
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.directory.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Runs the tool with the write token against `server`.
    pub async fn run(&self, arguments: &[&str]) -> Run {
        self.run_with(WRITER, &self.server.to_string(), arguments).await
    }

    pub async fn run_with(&self, token: &str, servers: &str, arguments: &[&str]) -> Run {
        let output = Command::new(env!("CARGO_BIN_EXE_pomelolink"))
            .args(arguments)
            .current_dir(self.directory.path())
            .env("POMELOLINK_SERVER", servers)
            .env("POMELOLINK_TOKEN", token)
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .output()
            .await
            .unwrap();
        Run {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }

    /// Applies the declarations of the service `chat` and waits until they take effect.
    pub async fn apply_service(&self) {
        self.write("service.json", super::SERVICE);
        self.run(&["apply", "-f", "service.json"]).await.expect_success();
        self.run(&["watch", "--limit", "1"]).await.expect_success();
    }
}

/// Starts an operator server that applies each of its commits to its own node.
pub async fn start_server(node: &str, client: Client) -> (SocketAddr, Arc<Buffer>) {
    let token = |name: &str, token: &str, role| Token {
        name: name.into(),
        sha256: access::sha256_hex(token.as_bytes()).into(),
        role,
    };
    let revision: Arc<revision::State> = Arc::default();
    let timeline = Arc::new(Buffer::new(node.into(), now_ms(), 64));
    let (poll_client, polled) = (client.clone(), revision.clone());
    let committed = move |_| {
        let (client, revision) = (poll_client.clone(), polled.clone());
        tokio::spawn(async move {
            if let Ok(Some(catalog)) = revision::fetch(&client, revision.current().revision).await {
                revision.apply(catalog);
            }
        });
    };
    let ready = revision.clone();
    let state = operator::State {
        node: node.into(),
        failure_domain: "a".into(),
        tokens: [token("wanda", WRITER, Role::Write), token("rolf", READER, Role::Read)].into(),
        client,
        revision,
        timeline: timeline.clone(),
        now_ms: Arc::new(now_ms),
        unready: Arc::new(move || {
            (ready.current().revision == 0).then(|| "no configuration yet".to_owned())
        }),
        members: Arc::new(|| json!([])),
        leases: Arc::new(|| json!([])),
        metrics: Arc::new(|| "up 1\n".to_owned()),
        on_commit: Arc::new(committed),
    };
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, operator::router(state)).await });
    (address, timeline)
}

pub fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(now.unwrap().as_millis()).unwrap()
}
