//! Starts daemons and stand-ins as separate processes for tests and the demo.

use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use pomelolink::platform::{self, Vm};
use pomelolink::{resource, revision};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

use crate::client;

/// Tokens whose SHA-256 digests the helper's configuration holds.
pub const CALLER_TOKEN: &str = "caller-token";
pub const OPERATOR_TOKEN: &str = "operator-token";
const PEER_KEY: &str = "fleet-shared-key-0123456789";
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Tells how the programs are started; each list is a program with its first arguments.
#[derive(Debug, Clone)]
pub struct Programs {
    pub daemon: Vec<String>,
    pub standin: Vec<String>,
}

/// Holds a started process and ends it when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    fn spawn(program: &[String], args: &[String], log: &Path) -> std::io::Result<Process> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(&program[0])
            .args(&program[1..])
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()?;
        Ok(Process { child })
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the exit code; `None` when the process runs on after the timeout.
    pub async fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        None
    }

    /// Reads the line by which a stand-in tells its address.
    fn listening(&mut self) -> std::io::Result<SocketAddr> {
        let missing = || std::io::Error::other("the stand-in did not tell its address");
        let output = self.child.stdout.take().ok_or_else(missing)?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address = line.trim().strip_prefix("listening on ").ok_or_else(missing)?;
        address.parse().map_err(|_| missing())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Describes one entry VM of the fleet.
#[derive(Debug)]
pub struct Entry {
    pub name: String,
    pub failure_domain: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    pub settings: PathBuf,
    pub process: Process,
}

/// Describes one endpoint VM of the fleet.
#[derive(Debug)]
pub struct Endpoint {
    pub vm: Vm,
    pub process: Process,
}

/// Holds the processes of one test.
#[derive(Debug)]
pub struct Fleet {
    pub dir: PathBuf,
    programs: Programs,
    net: [u8; 2],
    next: u8,
    pub platform: SocketAddr,
    pub platform_process: Process,
    pub entries: Vec<Entry>,
    pub endpoints: Vec<Endpoint>,
    /// Extra settings of each daemon, as fields of the JSON object.
    pub timing: serde_json::Value,
}

static FLEETS: AtomicU8 = AtomicU8::new(0);

impl Fleet {
    /// Starts the platform; `dir` takes settings and logs.
    pub fn start(programs: Programs, dir: &Path) -> std::io::Result<Fleet> {
        // Each fleet has loopback addresses of its own, so that fixed ports never collide.
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id().to_le_bytes();
        let net = [16 + (process[1] ^ fleet.wrapping_mul(37)) % 200, process[0]];
        let listen = SocketAddr::new(address(net, 1), 7000);
        let (platform_process, platform) = standin(
            &programs,
            dir,
            "platform",
            &["platform".into(), "--listen".into(), listen.to_string()],
        )?;
        Ok(Fleet {
            dir: dir.to_owned(),
            programs,
            net,
            next: 2,
            platform,
            platform_process,
            entries: Vec::new(),
            endpoints: Vec::new(),
            timing: json!({}),
        })
    }

    /// Gives an address that no other process of the fleet has.
    pub fn next_ip(&mut self) -> IpAddr {
        let ip = address(self.net, self.next);
        self.next += 1;
        ip
    }

    /// Starts a stand-in by its arguments after `--listen ADDRESS`.
    pub fn standin(
        &mut self,
        kind: &str,
        name: &str,
        args: &[&str],
    ) -> std::io::Result<(Process, SocketAddr)> {
        let listen = SocketAddr::new(self.next_ip(), 7000);
        let mut all = vec![kind.to_owned(), "--listen".to_owned(), listen.to_string()];
        all.extend(args.iter().map(|&arg| arg.to_owned()));
        standin(&self.programs, &self.dir, name, &all)
    }

    /// Starts an endpoint and adds it to the list of VMs; `register` makes the list known.
    pub fn endpoint(
        &mut self,
        kind: &str,
        pool: &str,
        failure_domain: &str,
        args: &[&str],
    ) -> std::io::Result<usize> {
        let name = format!("{pool}-{}", self.endpoints.len());
        let (process, address) = self.standin(kind, &name, args)?;
        let vm = Vm {
            id: name.into(),
            address,
            region: "dk".into(),
            failure_domain: failure_domain.into(),
            pool: pool.into(),
            class: "small".into(),
            reclaimable: true,
            leaving: false,
        };
        self.endpoints.push(Endpoint { vm, process });
        Ok(self.endpoints.len() - 1)
    }

    /// Makes the endpoints known to the platform.
    pub async fn register(&self) -> std::io::Result<()> {
        let vms: Vec<&Vm> = self.endpoints.iter().map(|endpoint| &endpoint.vm).collect();
        self.control("PUT", "/control/vms", &json!(vms)).await
    }

    /// Writes declarations straight into the platform's table, as one new revision.
    ///
    /// # Errors
    ///
    /// Fails when a declaration is wrong or the table can't be written.
    pub async fn configure(&self, declarations: &str) -> std::io::Result<u64> {
        let declared = resource::parse("fleet.json", declarations)
            .map_err(|mistakes| std::io::Error::other(format!("{mistakes:?}")))?;
        let client = platform::Client::new(self.platform, START_TIMEOUT);
        let head = client.read_row(revision::HEAD_KEY).await.map_err(std::io::Error::other)?;
        let known = head.as_ref().and_then(|row| row.value.as_u64()).unwrap_or(0);
        let mut transaction = platform::Transaction::default();
        transaction.put(revision::HEAD_KEY, head.map(|row| row.version), json!(known + 1));
        for item in declared {
            let row = resource::Resource {
                spec: item.spec,
                generation: known + 1,
                status: resource::Status::default(),
            };
            let value = Some(serde_json::to_value(&row)?);
            let key = revision::resource_key(&item.id);
            transaction.writes.push(platform::Write { key, value });
        }
        match client.transact(&transaction).await {
            platform::Outcome::Done(_) => Ok(known + 1),
            other => Err(std::io::Error::other(format!("{other:?}"))),
        }
    }

    /// Calls the operator interface of an entry VM with the token that may write.
    pub async fn operate(
        &self,
        index: usize,
        method: &str,
        path: &str,
        body: &serde_json::Value,
    ) -> std::io::Result<client::Answer> {
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", token.as_str()), ("content-type", "application/json")];
        let body = if body.is_null() { String::new() } else { body.to_string() };
        client::call(self.entries[index].operators, method, path, &headers, body).await
    }

    /// Applies declarations, written as in a declaration file, through an entry VM.
    pub async fn apply(
        &self,
        index: usize,
        declarations: &serde_json::Value,
    ) -> std::io::Result<client::Answer> {
        let split = |declaration: &serde_json::Value| {
            let mut spec = declaration.as_object().cloned().unwrap_or_default();
            let kind = spec.remove("kind").unwrap_or_default();
            let name = spec.remove("name").unwrap_or_default();
            json!({ "kind": kind, "name": name, "spec": spec })
        };
        let items = declarations.as_array().map(Vec::as_slice).unwrap_or_default();
        let resources: Vec<_> = items.iter().map(split).collect();
        self.operate(index, "POST", "/v1/apply", &json!({ "resources": resources })).await
    }

    /// Gives the status of a move: phase, share in permille and reason.
    pub async fn progress(&self, index: usize, name: &str) -> std::io::Result<serde_json::Value> {
        let path = format!("/v1/resources/move/{name}");
        let answer = self.operate(index, "GET", &path, &serde_json::Value::Null).await?;
        Ok(answer.json()["status"]["progress"].clone())
    }

    /// Calls a control path of the platform stand-in.
    pub async fn control(
        &self,
        method: &str,
        path: &str,
        body: &serde_json::Value,
    ) -> std::io::Result<()> {
        control(self.platform, method, path, body).await
    }

    /// Starts an entry VM; the first one is the seed of the others.
    pub fn entry(&mut self, failure_domain: &str) -> std::io::Result<usize> {
        self.entry_with(failure_domain, self.platform)
    }

    /// Starts an entry VM that reaches the platform at the given address, for instance a proxy.
    pub fn entry_with(
        &mut self,
        failure_domain: &str,
        platform: SocketAddr,
    ) -> std::io::Result<usize> {
        let ip = self.next_ip();
        let name = format!("entry-{}", self.entries.len() + 1);
        let at = |port| SocketAddr::new(ip, port);
        let (callers, operators, peers) = (at(7001), at(7002), at(7003));
        let seeds: Vec<String> =
            self.entries.iter().take(3).map(|entry| entry.peers.to_string()).collect();
        let settings = json!({
            "node": name, "region": "dk", "failure_domain": failure_domain,
            "platform": platform.to_string(), "callers": callers.to_string(),
            "operators": operators.to_string(), "peers": peers.to_string(),
            "seeds": seeds, "peer_keys": [PEER_KEY], "timing": self.timing,
            "operator_tokens": [
                { "name": "ops", "sha256": digest(OPERATOR_TOKEN), "role": "write" },
                { "name": "viewer", "sha256": digest("viewer-token"), "role": "read" },
            ],
        });
        let file = self.dir.join(format!("{name}.json"));
        std::fs::write(&file, serde_json::to_vec_pretty(&settings)?)?;
        let process = self.spawn_daemon(&name, &file)?;
        let failure_domain = failure_domain.to_owned();
        let entry =
            Entry { name, failure_domain, callers, operators, peers, settings: file, process };
        self.entries.push(entry);
        Ok(self.entries.len() - 1)
    }

    /// Starts the daemon of an entry VM again after it has ended.
    pub fn restart(&mut self, index: usize) -> std::io::Result<()> {
        let (name, file) = (self.entries[index].name.clone(), self.entries[index].settings.clone());
        self.entries[index].process = self.spawn_daemon(&name, &file)?;
        Ok(())
    }

    fn spawn_daemon(&self, name: &str, file: &Path) -> std::io::Result<Process> {
        let log = self.dir.join(format!("{name}.log"));
        Process::spawn(&self.programs.daemon, &[file.display().to_string()], &log)
    }

    /// Waits until an entry VM takes requests.
    pub async fn ready(&self, index: usize) -> std::io::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            let answer = client::call(self.entries[index].callers, "GET", "/readyz", &[], "").await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(std::io::Error::other(format!("{} is not ready", self.entries[index].name)))
    }

    pub async fn all_ready(&self) -> std::io::Result<()> {
        for index in 0..self.entries.len() {
            self.ready(index).await?;
        }
        Ok(())
    }

    /// Waits until every entry VM sees all others alive.
    pub async fn joined(&self) -> std::io::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        for index in 0..self.entries.len() {
            while self.alive(index).await < self.entries.len() {
                if Instant::now() > end {
                    return Err(std::io::Error::other("the entry VMs did not find each other"));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Counts the members that an entry VM sees alive.
    async fn alive(&self, index: usize) -> usize {
        let answer = self.operate(index, "GET", "/v1/status", &serde_json::Value::Null).await;
        let status = answer.map(|answer| answer.json()).unwrap_or_default();
        let members = status["members"].as_array().map(Vec::as_slice).unwrap_or_default();
        members.iter().filter(|member| member["status"] == "alive").count()
    }

    /// Gives the log of an entry VM or a stand-in.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default()
    }
}

/// Calls a control path of a stand-in and fails unless it is accepted.
pub async fn control(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &serde_json::Value,
) -> std::io::Result<()> {
    let headers = [("content-type", "application/json")];
    let answer = client::call(address, method, path, &headers, body.to_string()).await?;
    if answer.status.is_success() {
        return Ok(());
    }
    Err(std::io::Error::other(format!("{path}: {} {}", answer.status, answer.text())))
}

/// Gives the SHA-256 digest of a token as the configuration holds it.
pub fn digest(token: &str) -> String {
    use sha2::Digest;
    pomelolink::claim::hex(&sha2::Sha256::digest(token))
}

fn standin(
    programs: &Programs,
    dir: &Path,
    name: &str,
    args: &[String],
) -> std::io::Result<(Process, SocketAddr)> {
    let log = dir.join(format!("{name}.log"));
    let mut process = Process::spawn(&programs.standin, args, &log)?;
    let address = process.listening()?;
    Ok((process, address))
}

fn address(net: [u8; 2], host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], host))
}
