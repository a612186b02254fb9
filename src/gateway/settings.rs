//! Settings of one node of the gateway, read from JSON with comments; unknown fields are rejected.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::document::{self, Mistake, Reader};
use crate::gateway::cold;
use crate::gateway::shift::Exposure;

/// Share of the revocation limit that the age of the key list may reach. The rest allows for the
/// network latency of a request from its caller.
const KEY_AGE_SHARE: f64 = 0.85;

#[derive(Debug, Clone)]
pub struct Settings {
    pub node: Arc<str>,
    pub failure_domain: Arc<str>,
    /// Whether the whole system starts for the first time, so that no node has run before.
    pub first_start: bool,
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the cloud interface; `None` if the deployment has none.
    pub cloud: Option<SocketAddr>,
    /// Duties that this deployment performs through the cloud interface.
    pub duties: Duties,
    pub bounds: Bounds,
    /// Memory of this VM in bytes; `None` if the node finds it out.
    pub memory: Option<u64>,
    /// File descriptors that this process may open; `None` if its own limit applies.
    pub file_descriptors: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
pub struct Listen {
    pub callers: SocketAddr,
    /// Address for the readiness probes of the load balancer.
    pub readiness: SocketAddr,
    /// UDP address for the datagrams of the other nodes.
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Duties {
    pub usage: bool,
    pub capacity: bool,
}

/// Limits that the users require of this deployment.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time after a key's revocation from which the key must not run a request.
    pub revocation: Duration,
    /// Time after an endpoint starts to leave from which it must not receive new requests.
    pub drain: Duration,
    /// Time between SIGTERM and the forced end of the process.
    pub grace: Duration,
    /// Minimum time between the calls of two different lease holders.
    pub min_holder_gap: Duration,
    pub retry_ratio: f64,
    pub retry_window: Duration,
    pub retry_slack: f64,
    /// Length of the window over which tenant quotas are counted.
    pub quota_window: Duration,
    /// Length of a usage report window.
    pub report_window: Duration,
    pub exposure: Exposure,
    /// Excess over the rate of a cold endpoint.
    pub cold: cold::Excess,
}

impl Bounds {
    /// Returns the age from which the key list is too old to prove that a key is still valid.
    pub fn max_key_age(&self) -> Duration {
        self.revocation.mul_f64(KEY_AGE_SHARE)
    }

    pub fn report_window_ms(&self) -> u64 {
        (self.report_window.as_millis() as u64).max(1)
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns every mistake with its file, line and field.
    pub fn load(path: &Path) -> Result<Settings, Vec<Mistake>> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            let message = format!("cannot be read: {error}");
            vec![Mistake { file: file.as_str().into(), line: 1, field: String::new(), message }]
        })?;
        Settings::parse(&file, &text)
    }

    /// Validates the text of a settings file; `file` is its name in the mistakes.
    ///
    /// # Errors
    ///
    /// Returns every mistake with its file, line and field.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Mistake>> {
        document::read(file, text, |reader| {
            let listen = read_required(reader, "listen", read_listen);
            let bounds = read_required(reader, "bounds", read_bounds);
            let settings = Settings {
                node: reader.text("node"),
                failure_domain: reader.text("failure_domain"),
                first_start: reader.flag("first_start", false),
                listen: listen.unwrap_or_else(unset_listen),
                store: read_address(reader, "store"),
                cloud: read_optional_address(reader, "cloud"),
                duties: read_duties(&reader.texts("duties")),
                bounds: bounds.unwrap_or_else(unset_bounds),
                memory: read_count(reader, "memory_mb", 32.0..=1e7)
                    .map(|megabytes| megabytes * 1_000_000),
                file_descriptors: read_count(reader, "file_descriptors", 64.0..=1e7),
            };
            if settings.cloud.is_none() && (settings.duties.usage || settings.duties.capacity) {
                reader.reject("duties", "require the address of the cloud interface in \"cloud\"");
            }
            settings
        })
    }
}

fn read_required<T>(
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

fn unset_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

fn unset_listen() -> Listen {
    Listen {
        callers: unset_address(),
        readiness: unset_address(),
        peers: unset_address(),
        metrics: unset_address(),
    }
}

/// Returns placeholder bounds, which are never used since a file without bounds is rejected.
fn unset_bounds() -> Bounds {
    let zero = Duration::ZERO;
    Bounds {
        revocation: zero,
        drain: zero,
        grace: zero,
        min_holder_gap: zero,
        retry_ratio: 0.0,
        retry_window: zero,
        retry_slack: 0.0,
        quota_window: zero,
        report_window: zero,
        exposure: Exposure::default(),
        cold: cold::Excess::default(),
    }
}

fn read_address(reader: &mut Reader<'_>, name: &'static str) -> SocketAddr {
    reader.parsed(name, "an IP address with a port").unwrap_or_else(unset_address)
}

/// Reads an address; returns `None` if it is missing or empty.
fn read_optional_address(reader: &mut Reader<'_>, name: &'static str) -> Option<SocketAddr> {
    let text = reader.optional_text(name).filter(|text| !text.is_empty())?;
    let address = text.parse().ok();
    if address.is_none() {
        reader.reject(name, format!("expected an IP address with a port, found \"{text}\""));
    }
    address
}

fn read_listen(reader: &mut Reader<'_>) -> Listen {
    Listen {
        callers: read_address(reader, "callers"),
        readiness: read_address(reader, "readiness"),
        peers: read_address(reader, "peers"),
        metrics: read_address(reader, "metrics"),
    }
}

/// Reads the list of duties; unknown names are ignored, since later versions may define them.
fn read_duties(names: &[Arc<str>]) -> Duties {
    let has = |wanted: &str| names.iter().any(|name| &**name == wanted);
    Duties { usage: has("usage_reports"), capacity: has("capacity") }
}

fn read_bounds(reader: &mut Reader<'_>) -> Bounds {
    Bounds {
        revocation: read_millis(reader, "revoke_ms"),
        drain: read_millis(reader, "drain_ms"),
        grace: read_seconds(reader, "grace_s"),
        min_holder_gap: read_millis(reader, "lease_ms"),
        retry_ratio: reader.number("retry_ratio", 0.0..=10.0, None),
        retry_window: read_seconds(reader, "retry_window_s"),
        retry_slack: reader.number("retry_slack", 0.0..=1e9, None),
        quota_window: read_seconds(reader, "quota_window_s"),
        report_window: read_seconds(reader, "report_window_s"),
        exposure: read_exposure(reader),
        cold: read_cold(reader),
    }
}

fn read_exposure(reader: &mut Reader<'_>) -> Exposure {
    let default = Exposure::default();
    Exposure {
        fraction: reader.number("exposure_fraction", 0.0..=1.0, Some(default.fraction)),
        tolerance: reader.number("exposure_tolerance", 0.0..=1e9, Some(default.tolerance)),
    }
}

fn read_cold(reader: &mut Reader<'_>) -> cold::Excess {
    let default = cold::Excess::default();
    cold::Excess {
        overshoot: reader.number("cold_overshoot", 1.0..=1e9, Some(default.overshoot)),
        tolerance: reader.number("cold_tolerance", 0.0..=1e9, Some(default.tolerance)),
    }
}

/// Reads a whole number that may be missing.
fn read_count(
    reader: &mut Reader<'_>,
    name: &'static str,
    bounds: std::ops::RangeInclusive<f64>,
) -> Option<u64> {
    reader.has(name).then(|| reader.number(name, bounds, None) as u64)
}

fn read_millis(reader: &mut Reader<'_>, name: &'static str) -> Duration {
    Duration::from_secs_f64(reader.number(name, 0.0..=86_400_000.0, None) / 1_000.0)
}

fn read_seconds(reader: &mut Reader<'_>, name: &'static str) -> Duration {
    Duration::from_secs_f64(reader.number(name, 0.0..=86_400.0, None))
}
