//! Helpers of the operator tests: a working directory, an in-memory platform and operator servers.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod platform;
pub mod tool;

use std::sync::Arc;
use std::time::Duration;

use pomelolink::platform::Client;
use pomelolink::revision::commit::Operation;

/// Declarations of a service with two versions that use the same pool.
pub const SERVICE: &str = r#"[
  {"kind": "pool", "name": "l4", "class": "l4", "concurrency": 8},
  {"kind": "service", "name": "chat", "protocol": "model", "version": "chat-1"},
  {"kind": "version", "name": "chat-1", "service": "chat", "pool": "l4"},
  {"kind": "version", "name": "chat-2", "service": "chat", "pool": "l4"}
]"#;

pub async fn start_platform() -> (Arc<platform::Platform>, Client) {
    let (platform, address) = platform::start().await;
    (platform, Client::new(address, Duration::from_secs(5)))
}

pub fn operation(id: &str) -> Operation {
    Operation { id: id.into(), digest: id.into(), operator: "test".into(), now_ms: 1_000 }
}
