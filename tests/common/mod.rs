//! Helpers of the tests that run real processes.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::json;
use standin::client::{self, Answer};
use standin::fleet::{CALLER_TOKEN, Fleet, Programs, digest};

/// Returns the programs of this build. The stand-in must be built first; it lies beside the daemon.
pub fn programs() -> Programs {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_pomelolinkd"));
    let standin = daemon.with_file_name("standin");
    assert!(standin.exists(), "build the stand-ins first: cargo build -p standin");
    let command = |path: PathBuf| vec![path.display().to_string()];
    Programs { daemon: command(daemon), standin: command(standin) }
}

/// Returns declarations of the model service `chat`, the plain service `booking` and one workspace.
pub fn declarations() -> String {
    json!([
        { "kind": "workspace", "name": "counter", "share": 1, "token_digests": [digest(CALLER_TOKEN)] },
        { "kind": "pool", "name": "engines", "class": "small", "checks_fencing": true },
        { "kind": "pool", "name": "bookings", "class": "small" },
        { "kind": "service", "name": "chat", "protocol": "model", "version": "chat-1" },
        { "kind": "version", "name": "chat-1", "service": "chat", "pool": "engines" },
        { "kind": "service", "name": "booking", "protocol": "plain", "version": "booking-1",
          "deadline_ms": 5000 },
        { "kind": "version", "name": "booking-1", "service": "booking", "pool": "bookings" },
    ])
    .to_string()
}

/// Starts entry VMs, engines and one booking service, and waits until all accept requests.
pub async fn start(
    dir: &tempfile::TempDir,
    entries: usize,
    engines: usize,
    engine_args: &[&str],
) -> std::io::Result<Fleet> {
    start_programs(programs(), dir, entries, engines, engine_args).await
}

/// Starts the same with programs that may be run through another command.
pub async fn start_programs(
    programs: Programs,
    dir: &tempfile::TempDir,
    entries: usize,
    engines: usize,
    engine_args: &[&str],
) -> std::io::Result<Fleet> {
    let mut fleet = Fleet::start(programs, dir.path())?;
    fleet.timing = json!({ "config_poll_ms": 200, "vm_poll_ms": 200, "heartbeat_ms": 200 });
    for index in 0..engines {
        fleet.endpoint("engine", "engines", DOMAINS[index % DOMAINS.len()], engine_args)?;
    }
    fleet.endpoint("service", "bookings", DOMAINS[0], &[])?;
    fleet.register().await?;
    fleet.configure(&declarations()).await?;
    for index in 0..entries {
        fleet.entry(DOMAINS[index % DOMAINS.len()])?;
    }
    fleet.all_ready().await?;
    Ok(fleet)
}

/// Failure domains over which `start` distributes the VMs.
pub const DOMAINS: [&str; 4] = ["dk-a", "dk-b", "dk-c", "dk-d"];

/// Returns the value of the `authorization` header for the declared workspace.
pub fn bearer() -> String {
    format!("Bearer {CALLER_TOKEN}")
}

/// Returns the body of a chat request for up to `tokens` tokens.
pub fn chat(prompt: &str, tokens: u32, stream: bool) -> String {
    json!({
        "model": "chat", "stream": stream, "max_tokens": tokens,
        "messages": [{ "role": "user", "content": prompt }],
    })
    .to_string()
}

/// Sends a request with the token of the declared workspace.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Answer> {
    let bearer = bearer();
    let mut all = vec![("authorization", bearer.as_str()), ("content-type", "application/json")];
    all.extend_from_slice(headers);
    client::call(address, method, path, &all, body.to_owned()).await
}

/// Events of a chat stream as a caller receives them.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Events {
    pub ids: Vec<String>,
    pub content: String,
    pub finish: Option<String>,
    pub done: bool,
    pub error: Option<String>,
}

/// Parses server-sent events; an incomplete event at the end is ignored.
pub fn events(text: &str) -> Events {
    let mut events = Events::default();
    let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
    for event in complete.split("\n\n") {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let Some(data) = field("data: ") else { continue };
        if field("event: ") == Some("error") {
            events.error = Some(data.to_owned());
            continue;
        }
        if data == "[DONE]" {
            events.done = true;
            continue;
        }
        events.ids.extend(field("id: ").map(str::to_owned));
        let chunk: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        let choice = &chunk["choices"][0];
        events.content.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
        if let Some(finish) = choice["finish_reason"].as_str() {
            events.finish = Some(finish.to_owned());
        }
    }
    events
}
