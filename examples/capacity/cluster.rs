//! Starts the daemons of one size and reads what they use.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jiff::Timestamp;
use pomelolink::platform::Vm;
use serde_json::{Value, json};
use standin::client;
use standin::fleet::{CALLER_TOKEN, Fleet, OPERATOR_TOKEN, Programs, digest};
use standin::proxy;
use tokio::net::TcpListener;

/// Two regions of four failure domains, as at the design size.
const DOMAINS: [&str; 8] = ["r1-a", "r1-b", "r1-c", "r1-d", "r2-a", "r2-b", "r2-c", "r2-d"];
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Clock ticks of `/proc/PID/stat` per second; fixed in the interface between kernel and programs.
const TICKS_PER_SECOND: f64 = 100.0;

/// Holds the running processes; dropping it ends them.
#[derive(Debug)]
pub struct Cluster {
    fleet: Fleet,
    /// Counts the bytes between the last node and the platform.
    proxy_control: SocketAddr,
    proxy: tokio::task::AbortHandle,
    _dir: tempfile::TempDir,
}

/// Holds sums over all nodes, and rates are differences of two samples.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sample {
    pub processor_s: f64,
    pub memory_bytes: f64,
    pub sent: f64,
    pub received: f64,
    pub table_reads: f64,
    pub lists: f64,
    pub notices: f64,
    pub writes: f64,
    /// Bytes between one node and the platform, both ways.
    pub platform_bytes: f64,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.proxy.abort();
    }
}

impl Cluster {
    /// Starts `nodes` daemons and waits until each sees all others alive.
    pub async fn start(programs: Programs, nodes: usize) -> io::Result<Cluster> {
        let dir = tempfile::tempdir()?;
        let mut fleet = Fleet::start(programs, dir.path())?;
        fleet.configure(&declarations(0)).await?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let control = TcpListener::bind("127.0.0.1:0").await?;
        let (address, proxy_control) = (listener.local_addr()?, control.local_addr()?);
        let options = proxy::Options::to(fleet.platform);
        let proxy = tokio::spawn(proxy::run(listener, control, options)).abort_handle();
        for index in 1..nodes {
            fleet.entry(DOMAINS[index % DOMAINS.len()])?;
        }
        fleet.entry_with(DOMAINS[0], address)?;
        let cluster = Cluster { fleet, proxy_control, proxy, _dir: dir };
        cluster.fleet.all_ready().await?;
        cluster.joined().await?;
        Ok(cluster)
    }

    async fn joined(&self) -> io::Result<()> {
        let (end, nodes) = (Instant::now() + JOIN_TIMEOUT, self.fleet.entries.len() as f64);
        for entry in &self.fleet.entries {
            loop {
                let alive = metric(&metrics(entry.operators).await?, "pomelolink_members_alive");
                if alive >= nodes {
                    break;
                }
                if Instant::now() > end {
                    let text = format!("{} sees {alive} of {nodes} members alive", entry.name);
                    return Err(io::Error::other(text));
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
        Ok(())
    }

    /// Lists endpoint VMs whose processes do not exist.
    pub async fn list(&self, endpoints: usize) -> io::Result<()> {
        let vms: Vec<Vm> = (0..endpoints).map(listed).collect();
        self.fleet.control("PUT", "/control/vms", &json!(vms)).await
    }

    /// Writes a new revision and gives its number.
    pub async fn change(&self, number: usize) -> io::Result<u64> {
        self.fleet.configure(&declarations(number)).await
    }

    /// Gives the seconds until all nodes had a revision in effect, from their logs.
    pub fn spread(&self, revision: u64, written: Timestamp) -> Option<f64> {
        let mark = format!("revision: {revision} from");
        let mut last = 0.0_f64;
        for entry in &self.fleet.entries {
            let log = self.fleet.log(&entry.name);
            let line = log.lines().find(|line| line.contains(&mark))?;
            let stamp = line.trim_start_matches('[').split(' ').next()?;
            let stamp: Timestamp = stamp.parse().ok()?;
            last = last.max(stamp.duration_since(written).as_secs_f64());
        }
        Some(last)
    }

    /// Reads all counters; `start` tells that the window begins, so that the cost of reading them
    /// stays outside of it.
    pub async fn sample(&self, start: bool) -> io::Result<Sample> {
        let mut sample = Sample::default();
        if !start {
            self.read_processes(&mut sample)?;
        }
        for entry in &self.fleet.entries {
            let text = metrics(entry.operators).await?;
            sample.sent += metric(&text, "pomelolink_peer_sent_bytes");
            sample.received += metric(&text, "pomelolink_peer_received_bytes");
        }
        let counters = client::call(self.fleet.platform, "GET", "/control/counters", &[], "");
        let counters = counters.await?.json();
        let number = |name: &str| counters[name].as_f64().unwrap_or_default();
        sample.table_reads = number("reads") + number("object_reads");
        sample.lists = number("vm_lists");
        sample.notices = number("notices");
        sample.writes = number("transactions") + number("object_writes");
        let bytes = client::call(self.proxy_control, "GET", "/counters", &[], "").await?.json();
        let number = |name: &str| bytes[name].as_f64().unwrap_or_default();
        sample.platform_bytes = number("bytes_up") + number("bytes_down");
        if start {
            self.read_processes(&mut sample)?;
        }
        Ok(sample)
    }

    fn read_processes(&self, sample: &mut Sample) -> io::Result<()> {
        for entry in &self.fleet.entries {
            let id = entry.process.id();
            sample.processor_s += processor_seconds(id)?;
            sample.memory_bytes += resident_bytes(id)?;
        }
        Ok(())
    }
}

/// Reads user and system time from `/proc/PID/stat`.
pub fn processor_seconds(id: u32) -> io::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name in parentheses may hold spaces; utime and stime are fields 14 and 15 of all.
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks =
        rest.split_whitespace().skip(11).take(2).filter_map(|text| text.parse::<f64>().ok());
    Ok(ticks.sum::<f64>() / TICKS_PER_SECOND)
}

fn resident_bytes(id: u32) -> io::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    let kib = line.split_whitespace().next().and_then(|text| text.parse::<f64>().ok());
    Ok(kib.unwrap_or_default() * 1_024.0)
}

async fn metrics(operators: SocketAddr) -> io::Result<String> {
    let bearer = format!("Bearer {OPERATOR_TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    Ok(client::call(operators, "GET", "/metrics", &headers, "").await?.text())
}

fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or_default()
}

fn listed(index: usize) -> Vm {
    Vm {
        id: format!("worker-{index}").into(),
        address: SocketAddr::from(([127, 1, (index / 250) as u8, (index % 250) as u8 + 1], 7000)),
        region: "dk".into(),
        failure_domain: DOMAINS[index % DOMAINS.len()].into(),
        pool: "engines".into(),
        class: "small".into(),
        reclaimable: index % 5 < 2,
        leaving: false,
    }
}

/// Declares about as much as a company does; `number` makes each revision differ.
fn declarations(number: usize) -> String {
    let mut all: Vec<Value> = (0..5)
        .map(|index| {
            let digests = [digest(&format!("{CALLER_TOKEN}-{index}"))];
            json!({ "kind": "workspace", "name": format!("workspace-{index}"),
                "share": 1 + (number + index) % 9, "token_digests": digests })
        })
        .collect();
    all.push(
        json!({ "kind": "pool", "name": "engines", "class": "small", "checks_fencing": true }),
    );
    for index in 0..8 {
        let (service, version) = (format!("service-{index}"), format!("service-{index}-1"));
        all.push(
            json!({ "kind": "service", "name": service, "protocol": "model", "version": version }),
        );
        all.push(
            json!({ "kind": "version", "name": version, "service": service, "pool": "engines" }),
        );
    }
    json!(all).to_string()
}
