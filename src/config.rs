//! Settings of the daemon, read at its start from a JSON file with comments.
//!
//! The fields are documented in `docs/OPERATIONS.md`.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::document::{self, Mistake, Reader};

/// Validated settings of one entry VM.
#[derive(Debug, Clone)]
pub struct Settings {
    pub node: Arc<str>,
    pub region: Arc<str>,
    pub failure_domain: Arc<str>,
    pub platform: SocketAddr,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    /// Address for the traffic between daemons; UDP and TCP use the same port.
    pub peers: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// Keys of the traffic between daemons. The first key signs and all keys are accepted, so that
    /// operators can rotate them.
    pub peer_keys: Vec<Arc<str>>,
    pub operator_tokens: Vec<Token>,
    pub limits: Limits,
    pub timing: Timing,
    pub capacity: Capacity,
}

/// Operator token, stored as its SHA-256 digest, and the role that it grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    pub name: Arc<str>,
    pub sha256: Arc<str>,
    pub role: Role,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Read,
    Write,
}

/// Settings of the capacity duty; `enabled` lets this node campaign for it. See `docs/cost.md`.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Capacity {
    pub enabled: bool,
}

/// Limits on the memory that callers can make the daemon use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    pub body_bytes: usize,
    pub answer_bytes: usize,
    pub header_bytes: usize,
    pub read_timeout: Duration,
    pub in_flight: usize,
    /// Memory of this VM in bytes; `None` if the daemon finds it out.
    pub memory: Option<u64>,
    /// File descriptors that the daemon may open; `None` if the limit of the process applies.
    pub file_descriptors: Option<u64>,
    pub journal_entries: usize,
}

/// Intervals and timeouts of the daemon's background tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    pub config_poll: Duration,
    pub vm_poll: Duration,
    pub heartbeat: Duration,
    pub claim_window: Duration,
    pub platform_timeout: Duration,
    pub shutdown: Duration,
    /// Time for which the journal keeps a stream that no caller reads.
    pub stream_idle: Duration,
    pub lease_term: Duration,
}

impl Settings {
    /// Reads and validates a settings file; returns all mistakes in it on failure.
    pub fn load(path: &Path) -> Result<Settings, Vec<Mistake>> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            let message = format!("cannot be read: {error}");
            vec![Mistake { file: file.as_str().into(), line: 1, field: String::new(), message }]
        })?;
        Settings::parse(&file, &text)
    }

    /// Parses and validates the text of a settings file; `file` is its name in reported mistakes.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Mistake>> {
        document::read(file, text, |reader| {
            let unset = SocketAddr::from(([0, 0, 0, 0], 0));
            let mut address = |name| {
                reader.parsed::<SocketAddr>(name, "an IP address with a port").unwrap_or(unset)
            };
            let platform = address("platform");
            let callers = address("callers");
            let operators = address("operators");
            let peers = address("peers");
            let peer_keys = reader.texts("peer_keys");
            if peer_keys.is_empty() {
                reader.reject("peer_keys", "needs at least one key");
            }
            if peer_keys.iter().any(|key| key.len() < 16) {
                reader.reject("peer_keys", "each key needs at least 16 bytes");
            }
            Settings {
                node: reader.text("node"),
                region: reader.text("region"),
                failure_domain: reader.text("failure_domain"),
                platform,
                callers,
                operators,
                peers,
                seeds: read_seeds(reader),
                peer_keys,
                operator_tokens: reader.objects("operator_tokens", read_token),
                limits: reader.object("limits", read_limits).unwrap_or_default(),
                timing: reader.object("timing", read_timing).unwrap_or_default(),
                capacity: reader.object("capacity", read_capacity).unwrap_or_default(),
            }
        })
    }
}

fn read_seeds(reader: &mut Reader<'_>) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for text in reader.texts("seeds") {
        match text.parse() {
            Ok(seed) => seeds.push(seed),
            Err(_) => {
                reader
                    .reject("seeds", format!("expected IP addresses with ports, found \"{text}\""));
            }
        }
    }
    seeds
}

fn read_token(reader: &mut Reader<'_>) -> Token {
    let name = reader.text("name");
    let sha256 = reader.text("sha256");
    if !is_sha256_digest(&sha256) {
        reader.reject("sha256", "expected 64 lower-case hexadecimal digits");
    }
    let roles = [("read", Role::Read), ("write", Role::Write)];
    let role = reader.choice("role", &roles, None).unwrap_or(Role::Read);
    Token { name, sha256, role }
}

/// Returns whether a text is a SHA-256 digest in lower-case hexadecimal.
pub fn is_sha256_digest(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

fn read_limits(reader: &mut Reader<'_>) -> Limits {
    let default = Limits::default();
    Limits {
        body_bytes: reader.number("body_bytes", 1_024..=1 << 30, Some(default.body_bytes)),
        answer_bytes: reader.number("answer_bytes", 1_024..=1 << 30, Some(default.answer_bytes)),
        header_bytes: reader.number("header_bytes", 8_192..=1 << 20, Some(default.header_bytes)),
        read_timeout: read_millis(reader, "read_timeout_ms", default.read_timeout),
        memory: (reader.has("memory_mb"))
            .then(|| reader.number("memory_mb", 32..=10_000_000, None))
            .map(|megabytes: u64| megabytes * 1_000_000),
        file_descriptors: (reader.has("file_descriptors"))
            .then(|| reader.number("file_descriptors", 64..=10_000_000, None)),
        in_flight: reader.number("in_flight", 1..=1 << 20, Some(default.in_flight)),
        journal_entries: reader.number(
            "journal_entries",
            1..=1 << 20,
            Some(default.journal_entries),
        ),
    }
}

fn read_capacity(reader: &mut Reader<'_>) -> Capacity {
    Capacity { enabled: reader.flag("enabled", Capacity::default().enabled) }
}

fn read_timing(reader: &mut Reader<'_>) -> Timing {
    let default = Timing::default();
    Timing {
        config_poll: read_millis(reader, "config_poll_ms", default.config_poll),
        vm_poll: read_millis(reader, "vm_poll_ms", default.vm_poll),
        heartbeat: read_millis(reader, "heartbeat_ms", default.heartbeat),
        claim_window: read_millis(reader, "claim_window_ms", default.claim_window),
        platform_timeout: read_millis(reader, "platform_timeout_ms", default.platform_timeout),
        shutdown: read_millis(reader, "shutdown_ms", default.shutdown),
        stream_idle: read_millis(reader, "stream_idle_ms", default.stream_idle),
        lease_term: read_millis(reader, "lease_term_ms", default.lease_term),
    }
}

fn read_millis(reader: &mut Reader<'_>, name: &'static str, default: Duration) -> Duration {
    let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(reader.number(name, 1..=86_400_000, Some(default)))
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 4 << 20,
            answer_bytes: 4 << 20,
            header_bytes: 16 << 10,
            read_timeout: Duration::from_secs(10),
            in_flight: 4_096,
            memory: None,
            file_descriptors: None,
            journal_entries: 8_192,
        }
    }
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            config_poll: Duration::from_millis(1_000),
            vm_poll: Duration::from_millis(500),
            heartbeat: Duration::from_millis(1_000),
            claim_window: Duration::from_millis(25),
            platform_timeout: Duration::from_millis(1_500),
            shutdown: Duration::from_secs(30),
            stream_idle: Duration::from_secs(60),
            lease_term: Duration::from_secs(6),
        }
    }
}
