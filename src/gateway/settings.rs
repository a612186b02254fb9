//! Settings of one node of the gateway, in JSON with comments; unknown fields are mistakes.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::document::{self, Mistake, Reader};

/// Part of the time in which a revocation must take effect that the age of keys may reach. The rest
/// is for the way of a request from its caller.
const KEY_AGE_SHARE: f64 = 0.85;

#[derive(Debug, Clone)]
pub struct Settings {
    pub node: Arc<str>,
    pub failure_domain: Arc<str>,
    /// Set when the whole system starts for the first time, so that no node has run before.
    pub first_start: bool,
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the cloud interface; `None` where the deployment has none.
    pub cloud: Option<SocketAddr>,
    /// Names the duties towards the cloud interface that this deployment has.
    pub duties: Duties,
    pub bounds: Bounds,
}

#[derive(Debug, Clone, Copy)]
pub struct Listen {
    pub callers: SocketAddr,
    /// Answers the readiness probes of the load balancer.
    pub readiness: SocketAddr,
    /// Receives the datagrams of the other nodes.
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Duties {
    pub usage: bool,
    pub capacity: bool,
}

/// Holds the bounds that the users state for this deployment.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time after which a revoked key must not run a request.
    pub revoke: Duration,
    /// Time within which a leaving endpoint must get nothing more.
    pub drain: Duration,
    /// Time that a process has after SIGTERM.
    pub grace: Duration,
    /// Least time between the acts of two holders of a duty.
    pub lease: Duration,
    pub retry_ratio: f64,
    pub retry_window: Duration,
    pub retry_slack: f64,
    /// Span over which the quotas of tenants are counted.
    pub quota_window: Duration,
    /// Length of the windows of usage reports.
    pub report_window: Duration,
}

impl Bounds {
    /// Gives the age past which keys can't be shown to be valid.
    pub fn key_age(&self) -> Duration {
        self.revoke.mul_f64(KEY_AGE_SHARE)
    }

    pub fn report_window_ms(&self) -> u64 {
        (self.report_window.as_millis() as u64).max(1)
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Gives every mistake with its file, line and field.
    pub fn load(path: &Path) -> Result<Settings, Vec<Mistake>> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            let message = format!("cannot be read: {error}");
            vec![Mistake { file: file.as_str().into(), line: 1, field: String::new(), message }]
        })?;
        Settings::parse(&file, &text)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Gives every mistake with its file, line and field.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Mistake>> {
        document::read(file, text, |reader| {
            let listen = required(reader, "listen", read_listen);
            let bounds = required(reader, "bounds", read_bounds);
            let settings = Settings {
                node: reader.text("node"),
                failure_domain: reader.text("failure_domain"),
                first_start: reader.flag("first_start", false),
                listen: listen.unwrap_or_else(unset_listen),
                store: address(reader, "store"),
                cloud: optional_address(reader, "cloud"),
                duties: read_duties(&reader.texts("duties")),
                bounds: bounds.unwrap_or_else(unset_bounds),
            };
            if settings.cloud.is_none() && (settings.duties.usage || settings.duties.capacity) {
                reader.reject("duties", "need the address of the cloud interface in \"cloud\"");
            }
            settings
        })
    }
}

fn required<T>(
    reader: &mut Reader<'_>,
    name: &'static str,
    build: impl FnOnce(&mut Reader<'_>) -> T,
) -> Option<T> {
    let value = reader.object(name, build);
    if value.is_none() && !reader.has(name) {
        reader.reject(name, format!("\"{name}\" is missing"));
    }
    value
}

fn unset() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

fn unset_listen() -> Listen {
    Listen { callers: unset(), readiness: unset(), peers: unset(), metrics: unset() }
}

/// Gives bounds that are never used, since a file without bounds is refused.
fn unset_bounds() -> Bounds {
    let none = Duration::ZERO;
    Bounds {
        revoke: none,
        drain: none,
        grace: none,
        lease: none,
        retry_ratio: 0.0,
        retry_window: none,
        retry_slack: 0.0,
        quota_window: none,
        report_window: none,
    }
}

fn address(reader: &mut Reader<'_>, name: &'static str) -> SocketAddr {
    reader.parsed(name, "an IP address with a port").unwrap_or_else(unset)
}

/// Reads an address that may be missing or empty.
fn optional_address(reader: &mut Reader<'_>, name: &'static str) -> Option<SocketAddr> {
    let text = reader.optional_text(name).filter(|text| !text.is_empty())?;
    let address = text.parse().ok();
    if address.is_none() {
        reader.reject(name, format!("expected an IP address with a port, found \"{text}\""));
    }
    address
}

fn read_listen(reader: &mut Reader<'_>) -> Listen {
    Listen {
        callers: address(reader, "callers"),
        readiness: address(reader, "readiness"),
        peers: address(reader, "peers"),
        metrics: address(reader, "metrics"),
    }
}

/// Duties of other names belong to later versions and are left alone.
fn read_duties(names: &[Arc<str>]) -> Duties {
    let has = |wanted: &str| names.iter().any(|name| &**name == wanted);
    Duties { usage: has("usage_reports"), capacity: has("capacity") }
}

fn read_bounds(reader: &mut Reader<'_>) -> Bounds {
    Bounds {
        revoke: millis(reader, "revoke_ms"),
        drain: millis(reader, "drain_ms"),
        grace: seconds(reader, "grace_s"),
        lease: millis(reader, "lease_ms"),
        retry_ratio: reader.number("retry_ratio", 0.0..=10.0, None),
        retry_window: seconds(reader, "retry_window_s"),
        retry_slack: reader.number("retry_slack", 0.0..=1e9, None),
        quota_window: seconds(reader, "quota_window_s"),
        report_window: seconds(reader, "report_window_s"),
    }
}

fn millis(reader: &mut Reader<'_>, name: &'static str) -> Duration {
    Duration::from_secs_f64(reader.number(name, 0.0..=86_400_000.0, None) / 1_000.0)
}

fn seconds(reader: &mut Reader<'_>, name: &'static str) -> Duration {
    Duration::from_secs_f64(reader.number(name, 0.0..=86_400.0, None))
}
