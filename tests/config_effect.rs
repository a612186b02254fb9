//! Guards against configurations that go back, get lost or take effect late. Runs real processes
//! and changes the configuration through all entry VMs while faults come and go.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_util::future;
use serde_json::{Value, json};
use standin::client::{self, Answer};
use standin::fleet::{CALLER_TOKEN, Fleet, OPERATOR_TOKEN, control, digest};
use standin::proxy;
use tokio::net::TcpListener;

type Result<T = ()> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

const CHANGES: usize = 1_000;
const WRITERS: usize = 4;
/// Bounds of `docs/design.md`, section 4.
const HEALTHY: Duration = Duration::from_secs(2);
const CUT_OFF: Duration = Duration::from_secs(6);

/// Stands between one entry VM and the platform.
struct Path {
    address: SocketAddr,
    control: SocketAddr,
}

impl Path {
    async fn start(to: SocketAddr) -> Result<Path> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let controls = TcpListener::bind("127.0.0.1:0").await?;
        let (address, control) = (listener.local_addr()?, controls.local_addr()?);
        tokio::spawn(proxy::run(listener, controls, proxy::Options::to(to)));
        Ok(Path { address, control })
    }

    async fn cut(&self, cut: bool) -> Result {
        Ok(control(self.control, "POST", "/faults", &json!({ "cut": cut })).await?)
    }
}

/// Starts five entry VMs; the last one reaches the platform through the path.
async fn start(dir: &tempfile::TempDir) -> Result<(Fleet, Path)> {
    let mut fleet = Fleet::start(common::programs(), dir.path())?;
    fleet.configure(&common::declarations()).await?;
    let path = Path::start(fleet.platform).await?;
    for domain in ["dk-a", "dk-b", "dk-c", "dk-d"] {
        fleet.entry(domain)?;
    }
    fleet.entry_with("dk-a", path.address)?;
    fleet.all_ready().await?;
    fleet.joined().await?;
    Ok((fleet, path))
}

async fn operate(operators: SocketAddr, method: &str, path: &str, body: &Value) -> Result<Answer> {
    let token = format!("Bearer {OPERATOR_TOKEN}");
    let headers = [("authorization", token.as_str()), ("content-type", "application/json")];
    let body = if body.is_null() { String::new() } else { body.to_string() };
    let call = client::call(operators, method, path, &headers, body);
    Ok(tokio::time::timeout(Duration::from_secs(10), call).await??)
}

/// Remembers when each entry VM first showed each revision.
#[derive(Debug, Default)]
struct Seen {
    first: Vec<(u64, Instant)>,
    polls: usize,
    /// Answers that showed a lower revision than one before; must stay empty.
    lower: Vec<(&'static str, u64, u64)>,
    /// Highest revision that the present process has shown.
    shown: u64,
    epoch: usize,
}

impl Seen {
    fn status(&mut self, revision: u64, at: Instant) {
        self.polls += 1;
        if self.first.last().is_none_or(|(last, _)| *last < revision) {
            self.first.push((revision, at));
        }
        self.show("status", revision);
    }

    fn show(&mut self, what: &'static str, revision: u64) {
        if revision < self.shown {
            self.lower.push((what, self.shown, revision));
        }
        self.shown = self.shown.max(revision);
    }

    /// Begins anew with each process of the entry VM.
    fn epoch(&mut self, epoch: usize) {
        if self.epoch != epoch {
            self.shown = 0;
        }
        self.epoch = epoch;
    }

    fn since(&self, revision: u64) -> Option<Instant> {
        let index = self.first.partition_point(|(seen, _)| *seen < revision);
        self.first.get(index).map(|(_, at)| *at)
    }
}

/// Polls an entry VM until told to stop. A restart begins a new process, whose configuration in
/// effect starts from nothing; revision 0 means that it has none and must refuse callers.
async fn poll(
    entry: (SocketAddr, SocketAddr),
    stop: Arc<AtomicBool>,
    epoch: Arc<AtomicUsize>,
) -> Result<Seen> {
    let (operators, callers) = entry;
    let mut seen = Seen::default();
    while !stop.load(Ordering::Relaxed) {
        let process = epoch.load(Ordering::SeqCst);
        let same = || epoch.load(Ordering::SeqCst) == process;
        seen.epoch(process);
        if let Ok(answer) = operate(operators, "GET", "/v1/status", &Value::Null).await
            && same()
        {
            let status = answer.json();
            match status["revision"].as_u64() {
                Some(0) => {
                    assert_eq!(status["ready"], json!(false), "ready without a configuration");
                    if let Ok(ready) = client::call(callers, "GET", "/readyz", &[], "").await
                        && ready.status.is_success()
                    {
                        // The configuration may have come between the two answers.
                        let again = operate(operators, "GET", "/v1/status", &Value::Null).await?;
                        assert_ne!(again.json()["revision"], json!(0), "takes requests");
                    }
                }
                Some(revision) => seen.status(revision, Instant::now()),
                None => {}
            }
        }
        if seen.polls.is_multiple_of(4)
            && let Ok(answer) = operate(operators, "GET", "/v1/resources/pool", &Value::Null).await
            && let Some(revision) = answer.json()["revision"].as_u64()
            && same()
        {
            seen.show("listing", revision);
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    Ok(seen)
}

/// Polls all entry VMs in the background.
struct Watch {
    stop: Arc<AtomicBool>,
    /// Counts the restarts of each entry VM.
    epochs: Vec<Arc<AtomicUsize>>,
    tasks: Vec<tokio::task::JoinHandle<Result<Seen>>>,
}

impl Watch {
    fn start(fleet: &Fleet) -> Watch {
        let stop = Arc::new(AtomicBool::new(false));
        let epochs: Vec<Arc<AtomicUsize>> = fleet.entries.iter().map(|_| Arc::default()).collect();
        let poll = |(entry, epoch): (&standin::fleet::Entry, &Arc<AtomicUsize>)| {
            let addresses = (entry.operators, entry.callers);
            tokio::spawn(poll(addresses, stop.clone(), epoch.clone()))
        };
        let tasks = fleet.entries.iter().zip(&epochs).map(poll).collect();
        Watch { stop, epochs, tasks }
    }

    async fn end(self) -> Result<Vec<Seen>> {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Vec::new();
        for task in self.tasks {
            let seen = task.await??;
            assert!(seen.polls > 0, "an entry VM was never polled");
            assert_eq!(seen.lower, [], "a lower revision than one shown before");
            all.push(seen);
        }
        Ok(all)
    }
}

/// Holds accepted changes: the pool, its new class, the revision and the time of acceptance.
type Accepted = Vec<(String, String, u64, Instant)>;

/// Makes changes through the given entry VMs until `CHANGES` are accepted; each writer changes
/// pools of its own, and repeats a change with the same operation id until it has a clear answer.
async fn write(entries: &[SocketAddr], changes: usize, run: &str, pause: Duration) -> Accepted {
    let left = Arc::new(AtomicUsize::new(changes));
    let writer = |writer: usize| {
        let (left, entries) = (left.clone(), entries.to_vec());
        async move {
            let mut accepted = Accepted::new();
            let mut number = 0;
            while left
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1))
                .is_ok()
            {
                number += 1;
                let (pool, class) =
                    (format!("{run}-{writer}-{}", number % 8), format!("c{number}"));
                let body = json!({ "operation": format!("{run}-{writer}-{number}"),
                    "resources": [{ "kind": "pool", "name": pool, "spec": { "class": class } }] });
                let (revision, at) = persist(&entries, writer + number, &body).await;
                accepted.push((pool, class, revision, at));
                tokio::time::sleep(pause).await;
            }
            accepted
        }
    };
    future::join_all((0..WRITERS).map(writer)).await.concat()
}

/// Repeats a change until an entry VM accepts it; gives its revision.
async fn persist(entries: &[SocketAddr], first: usize, body: &Value) -> (u64, Instant) {
    for attempt in first.. {
        let entry = entries[attempt % entries.len()];
        if let Ok(answer) = operate(entry, "POST", "/v1/apply", body).await
            && answer.status.is_success()
            && let Some(revision) = answer.json()["revision"].as_u64()
        {
            return (revision, Instant::now());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    unreachable!("the loop ends only with an accepted change")
}

/// Checks that the last accepted change of each pool is what the table holds.
async fn none_lost(fleet: &Fleet, accepted: &Accepted) -> Result {
    let mut last = BTreeMap::new();
    for (pool, class, revision, _) in accepted {
        let newest = last.entry(pool.as_str()).or_insert((*revision, class));
        if *revision > newest.0 {
            *newest = (*revision, class);
        }
    }
    let listing = fleet.operate(0, "GET", "/v1/resources/pool", &Value::Null).await?.json();
    let items = listing["resources"].as_array().ok_or("no listing")?;
    for (pool, (revision, class)) in last {
        let found =
            items.iter().find(|item| item["name"] == json!(pool)).ok_or("a pool is lost")?;
        assert_eq!(found["spec"]["class"], json!(class), "revision {revision} of {pool} reverted");
    }
    Ok(())
}

/// Gives the delays, in order, until the last of the entry VMs showed each change.
fn delays(seen: &[Seen], accepted: &Accepted) -> Vec<Duration> {
    let until = |(_, _, revision, at): &(String, String, u64, Instant)| {
        let shown = seen.iter().map(|seen| seen.since(*revision));
        let last = shown.map(|since| since.unwrap_or(*at + Duration::from_secs(3_600))).max();
        last.map_or(Duration::ZERO, |last| last.saturating_duration_since(*at))
    };
    let mut delays: Vec<_> = accepted.iter().map(until).collect();
    delays.sort_unstable();
    delays
}

/// Checks that 99% of the changes were in effect on all entry VMs within the bound.
fn in_effect(name: &str, delays: &[Duration], bound: Duration) {
    let percentile = |part: usize| delays[(delays.len() * part / 100).min(delays.len() - 1)];
    let (p50, p99) = (percentile(50), percentile(99));
    println!("{name}: {} changes, p50 {p50:?}, p99 {p99:?}", delays.len());
    assert!(p99 <= bound, "{name}: p99 {p99:?} exceeds {bound:?}");
}

/// Guards against slow propagation: first with all healthy, then with one entry VM cut off from
/// the platform, which has to learn of changes from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn changes_take_effect_in_time() -> Result {
    let dir = tempfile::tempdir()?;
    let (fleet, path) = start(&dir).await?;
    let entries: Vec<_> = fleet.entries.iter().map(|entry| entry.operators).collect();
    for (name, cut, bound) in [("healthy", false, HEALTHY), ("cut-off", true, CUT_OFF)] {
        path.cut(cut).await?;
        let watch = Watch::start(&fleet);
        // A node that is cut off can't accept changes.
        let accepted = write(&entries[..4], 200, name, Duration::from_millis(100)).await;
        tokio::time::sleep(bound).await;
        in_effect(name, &delays(&watch.end().await?, &accepted), bound);
    }
    Ok(())
}

/// Guards against configurations that revert or get lost while the platform fails in several ways,
/// entry VMs restart and one is cut off from the platform for a time.
#[tokio::test(flavor = "multi_thread")]
async fn changes_never_revert() -> Result {
    let dir = tempfile::tempdir()?;
    let (mut fleet, path) = start(&dir).await?;
    let entries: Vec<_> = fleet.entries.iter().map(|entry| entry.operators).collect();
    let watch = Watch::start(&fleet);
    let writing =
        tokio::spawn(
            async move { write(&entries, CHANGES, "change", Duration::from_millis(5)).await },
        );
    let faults = [
        json!({ "lose_share": 0.3 }),
        json!({ "lose_share": 0.0, "slow_ms": 200 }),
        json!({ "slow_ms": 0, "outage": true, "mode": "refuse" }),
        json!({ "outage": true, "mode": "hang" }),
        json!({ "outage": false }),
    ];
    let mut round = 0;
    while !writing.is_finished() {
        fleet.control("POST", "/control/faults", &faults[round % faults.len()]).await?;
        path.cut(round % 3 == 1).await?;
        tokio::time::sleep(Duration::from_millis(700)).await;
        let index = 1 + round % 3;
        fleet.entries[index].process.kill();
        watch.epochs[index].fetch_add(1, Ordering::SeqCst);
        fleet.restart(index)?;
        tokio::time::sleep(Duration::from_millis(700)).await;
        round += 1;
    }
    let healthy = json!({ "lose_share": 0.0, "slow_ms": 0, "outage": false });
    fleet.control("POST", "/control/faults", &healthy).await?;
    path.cut(false).await?;
    let accepted = writing.await?;
    tokio::time::sleep(CUT_OFF).await;
    let seen = watch.end().await?;
    let revisions: std::collections::BTreeSet<_> = accepted.iter().map(|change| change.2).collect();
    assert_eq!(revisions.len(), CHANGES, "two accepted changes share a revision");
    none_lost(&fleet, &accepted).await?;
    let newest = revisions.last().copied();
    for seen in &seen {
        assert_eq!(seen.first.last().map(|(revision, _)| *revision), newest, "not in effect");
    }
    println!("{CHANGES} changes, {round} rounds of faults");
    Ok(())
}

/// Guards against a starting entry VM that takes requests without a configuration, and against one
/// that can't start while the platform is down although its peers have the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn starting_node_refuses_without_configuration() -> Result {
    let dir = tempfile::tempdir()?;
    let (mut fleet, _path) = start(&dir).await?;
    fleet.endpoint("engine", "engines", "dk-a", &[])?;
    fleet.register().await?;
    // The list of VMs is read every 500 ms.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.control("POST", "/control/faults", &json!({ "outage": true })).await?;
    fleet.entries[1].process.kill();
    fleet.restart(1)?;
    // Peers give the configuration and the list of VMs.
    fleet.ready(1).await?;
    let body = common::chat("hello", 2, false);
    let callers = fleet.entries[1].callers;
    let served = common::send(callers, "POST", "/v1/chat/completions", &[], &body).await?;
    assert_eq!(served.status, 200, "{}", served.text());
    for index in 0..5 {
        fleet.entries[index].process.kill();
    }
    fleet.restart(0)?;
    let end = Instant::now() + Duration::from_secs(3);
    let mut refused = 0;
    while Instant::now() < end {
        let body = common::chat("hello", 2, false);
        let callers = fleet.entries[0].callers;
        let answer = common::send(callers, "POST", "/v1/chat/completions", &[], &body).await;
        if let Ok(answer) = answer {
            assert_eq!(answer.status, 503, "{}", answer.text());
            assert_eq!(answer.header("x-request-run"), "no");
            refused += 1;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(refused > 0, "the entry VM did not start");
    fleet.control("POST", "/control/faults", &json!({ "outage": false })).await?;
    fleet.ready(0).await?;
    Ok(())
}

/// Guards against two operators who both believe that their change of one resource was accepted.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_racing_operators_wins() -> Result {
    let dir = tempfile::tempdir()?;
    let (fleet, _path) = start(&dir).await?;
    let workspace = json!({ "share": 1, "token_digests": [digest(CALLER_TOKEN)] });
    for round in 0..60 {
        let read = fleet.operate(0, "GET", "/v1/resources/workspace/counter", &Value::Null).await?;
        let version = read.json()["resource_version"].to_string();
        let put = |index: usize| {
            let mut spec = workspace.clone();
            spec["share"] = json!(2 + round * 5 + index);
            let operators = fleet.entries[index].operators;
            let body = json!({ "spec": spec }).to_string();
            let version = version.clone();
            async move {
                let token = format!("Bearer {OPERATOR_TOKEN}");
                let headers = [
                    ("authorization", token.as_str()),
                    ("content-type", "application/json"),
                    ("if-match", version.as_str()),
                ];
                let path = "/v1/resources/workspace/counter";
                client::call(operators, "PUT", path, &headers, body).await
            }
        };
        let answers = future::try_join_all((0..5).map(put)).await?;
        let statuses: Vec<_> = answers.iter().map(|answer| answer.status.as_u16()).collect();
        let won = statuses.iter().filter(|status| **status == 200).count();
        let lost = statuses.iter().filter(|status| **status == 409 || **status == 412).count();
        assert_eq!((won, lost), (1, 4), "{statuses:?} {}", answers[0].text());
        let winner = statuses.iter().position(|status| *status == 200).unwrap_or_default();
        let read = fleet.operate(0, "GET", "/v1/resources/workspace/counter", &Value::Null).await?;
        assert_eq!(read.json()["spec"]["share"], json!(2 + round * 5 + winner));
    }
    Ok(())
}
