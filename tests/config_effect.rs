//! Guards against configurations that revert, get lost or take effect late. Runs real processes and
//! changes the configuration through all entry VMs while faults are injected.

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
/// Bounds on the time until a change is in effect, from `docs/design.md`, section 4.
const HEALTHY_BOUND: Duration = Duration::from_secs(2);
const CUT_OFF_BOUND: Duration = Duration::from_secs(6);

/// Proxy between one entry VM and the platform that can cut the connection.
struct PlatformProxy {
    address: SocketAddr,
    control: SocketAddr,
}

impl PlatformProxy {
    async fn start(to: SocketAddr) -> Result<PlatformProxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let controls = TcpListener::bind("127.0.0.1:0").await?;
        let (address, control) = (listener.local_addr()?, controls.local_addr()?);
        tokio::spawn(proxy::run(listener, controls, proxy::Options::to(to)));
        Ok(PlatformProxy { address, control })
    }

    async fn cut(&self, cut: bool) -> Result {
        Ok(control(self.control, "POST", "/faults", &json!({ "cut": cut })).await?)
    }
}

/// Starts five entry VMs, the last of which reaches the platform through the proxy.
async fn start(dir: &tempfile::TempDir) -> Result<(Fleet, PlatformProxy)> {
    let mut fleet = Fleet::start(common::programs(), dir.path())?;
    fleet.configure(&common::declarations()).await?;
    let proxy = PlatformProxy::start(fleet.platform).await?;
    for domain in ["dk-a", "dk-b", "dk-c", "dk-d"] {
        fleet.entry(domain)?;
    }
    fleet.entry_with("dk-a", proxy.address)?;
    fleet.all_ready().await?;
    fleet.joined().await?;
    Ok((fleet, proxy))
}

async fn operate(operators: SocketAddr, method: &str, path: &str, body: &Value) -> Result<Answer> {
    let token = format!("Bearer {OPERATOR_TOKEN}");
    let headers = [("authorization", token.as_str()), ("content-type", "application/json")];
    let body = if body.is_null() { String::new() } else { body.to_string() };
    let call = client::call(operators, method, path, &headers, body);
    Ok(tokio::time::timeout(Duration::from_secs(10), call).await??)
}

/// Records when an entry VM first reported each revision.
#[derive(Debug, Default)]
struct Observations {
    first: Vec<(u64, Instant)>,
    polls: usize,
    /// Answers with a lower revision than an earlier one: interface, earlier and lower revision.
    /// Must stay empty.
    reverted: Vec<(&'static str, u64, u64)>,
    /// Highest revision that the current process has reported.
    highest: u64,
    restarts: usize,
}

impl Observations {
    fn record_status(&mut self, revision: u64, at: Instant) {
        self.polls += 1;
        if self.first.last().is_none_or(|(last, _)| *last < revision) {
            self.first.push((revision, at));
        }
        self.check_order("status", revision);
    }

    fn check_order(&mut self, interface: &'static str, revision: u64) {
        if revision < self.highest {
            self.reverted.push((interface, self.highest, revision));
        }
        self.highest = self.highest.max(revision);
    }

    /// Resets the highest revision after a restart of the entry VM.
    fn set_restarts(&mut self, restarts: usize) {
        if self.restarts != restarts {
            self.highest = 0;
        }
        self.restarts = restarts;
    }

    fn first_at(&self, revision: u64) -> Option<Instant> {
        let index = self.first.partition_point(|(seen, _)| *seen < revision);
        self.first.get(index).map(|(_, at)| *at)
    }
}

/// Polls an entry VM until `stop` is set. A restarted process has no configuration at first: it
/// reports revision 0 and must refuse callers.
async fn poll(
    entry: (SocketAddr, SocketAddr),
    stop: Arc<AtomicBool>,
    restarts: Arc<AtomicUsize>,
) -> Result<Observations> {
    let (operators, callers) = entry;
    let mut seen = Observations::default();
    while !stop.load(Ordering::Relaxed) {
        let restarts_before = restarts.load(Ordering::SeqCst);
        let is_same_process = || restarts.load(Ordering::SeqCst) == restarts_before;
        seen.set_restarts(restarts_before);
        if let Ok(answer) = operate(operators, "GET", "/v1/status", &Value::Null).await
            && is_same_process()
        {
            let status = answer.json();
            match status["revision"].as_u64() {
                Some(0) => {
                    assert_eq!(status["ready"], json!(false), "ready without a configuration");
                    if let Ok(ready) = client::call(callers, "GET", "/readyz", &[], "").await
                        && ready.status.is_success()
                    {
                        // The configuration may have arrived between the two answers.
                        let again = operate(operators, "GET", "/v1/status", &Value::Null).await?;
                        assert_ne!(
                            again.json()["revision"],
                            json!(0),
                            "ready for callers without a configuration"
                        );
                    }
                }
                Some(revision) => seen.record_status(revision, Instant::now()),
                None => {}
            }
        }
        if seen.polls.is_multiple_of(4)
            && let Ok(answer) = operate(operators, "GET", "/v1/resources/pool", &Value::Null).await
            && let Some(revision) = answer.json()["revision"].as_u64()
            && is_same_process()
        {
            seen.check_order("listing", revision);
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    Ok(seen)
}

/// Polls all entry VMs in the background.
struct Poller {
    stop: Arc<AtomicBool>,
    /// Number of restarts of each entry VM.
    restarts: Vec<Arc<AtomicUsize>>,
    tasks: Vec<tokio::task::JoinHandle<Result<Observations>>>,
}

impl Poller {
    fn start(fleet: &Fleet) -> Poller {
        let stop = Arc::new(AtomicBool::new(false));
        let restarts: Vec<Arc<AtomicUsize>> =
            fleet.entries.iter().map(|_| Arc::default()).collect();
        let poll = |(entry, restarts): (&standin::fleet::Entry, &Arc<AtomicUsize>)| {
            let addresses = (entry.operators, entry.callers);
            tokio::spawn(poll(addresses, stop.clone(), restarts.clone()))
        };
        let tasks = fleet.entries.iter().zip(&restarts).map(poll).collect();
        Poller { stop, restarts, tasks }
    }

    async fn stop(self) -> Result<Vec<Observations>> {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Vec::new();
        for task in self.tasks {
            let seen = task.await??;
            assert!(seen.polls > 0, "an entry VM was never polled");
            assert_eq!(seen.reverted, [], "a revision lower than an earlier one");
            all.push(seen);
        }
        Ok(all)
    }
}

/// Accepted changes, each with its pool, the new class of the pool, the revision and the time of
/// acceptance.
type Accepted = Vec<(String, String, u64, Instant)>;

/// Makes changes through the given entry VMs until the number `changes` is accepted. Each writer
/// changes its own pools, and repeats a change with its operation id until it is accepted.
async fn write(entries: &[SocketAddr], changes: usize, run: &str, pause: Duration) -> Accepted {
    let remaining = Arc::new(AtomicUsize::new(changes));
    let writer = |writer: usize| {
        let (remaining, entries) = (remaining.clone(), entries.to_vec());
        async move {
            let mut accepted = Accepted::new();
            let mut number = 0;
            while remaining
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1))
                .is_ok()
            {
                number += 1;
                let (pool, class) =
                    (format!("{run}-{writer}-{}", number % 8), format!("c{number}"));
                let body = json!({ "operation": format!("{run}-{writer}-{number}"),
                    "resources": [{ "kind": "pool", "name": pool, "spec": { "class": class } }] });
                let (revision, at) = apply_until_accepted(&entries, writer + number, &body).await;
                accepted.push((pool, class, revision, at));
                tokio::time::sleep(pause).await;
            }
            accepted
        }
    };
    future::join_all((0..WRITERS).map(writer)).await.concat()
}

/// Repeats a change until an entry VM accepts it; returns its revision and the time of acceptance.
async fn apply_until_accepted(
    entries: &[SocketAddr],
    first: usize,
    body: &Value,
) -> (u64, Instant) {
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

/// Checks that the configuration holds the last accepted change of each pool.
async fn check_none_lost(fleet: &Fleet, accepted: &Accepted) -> Result {
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

/// Returns the sorted delays from the acceptance of each change until all entry VMs reported it.
fn delays(seen: &[Observations], accepted: &Accepted) -> Vec<Duration> {
    let until = |(_, _, revision, at): &(String, String, u64, Instant)| {
        let first = seen.iter().map(|seen| seen.first_at(*revision));
        let last = first.map(|first| first.unwrap_or(*at + Duration::from_secs(3_600))).max();
        last.map_or(Duration::ZERO, |last| last.saturating_duration_since(*at))
    };
    let mut delays: Vec<_> = accepted.iter().map(until).collect();
    delays.sort_unstable();
    delays
}

/// Checks that 99% of the changes were in effect on all entry VMs within the bound.
fn check_delays(name: &str, delays: &[Duration], bound: Duration) {
    let percentile = |part: usize| delays[(delays.len() * part / 100).min(delays.len() - 1)];
    let (p50, p99) = (percentile(50), percentile(99));
    println!("{name}: {} changes, p50 {p50:?}, p99 {p99:?}", delays.len());
    assert!(p99 <= bound, "{name}: p99 {p99:?} exceeds {bound:?}");
}

/// Guards against slow propagation of changes, first while all entry VMs are healthy, then while
/// one is cut off from the platform and has to receive changes from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn changes_take_effect_in_time() -> Result {
    let dir = tempfile::tempdir()?;
    let (fleet, proxy) = start(&dir).await?;
    let entries: Vec<_> = fleet.entries.iter().map(|entry| entry.operators).collect();
    for (name, cut, bound) in [("healthy", false, HEALTHY_BOUND), ("cut-off", true, CUT_OFF_BOUND)]
    {
        proxy.cut(cut).await?;
        let poller = Poller::start(&fleet);
        // The entry VM that is cut off can't accept changes.
        let accepted = write(&entries[..4], 200, name, Duration::from_millis(100)).await;
        tokio::time::sleep(bound).await;
        check_delays(name, &delays(&poller.stop().await?, &accepted), bound);
    }
    Ok(())
}

/// Guards against changes that revert or get lost while the platform fails in several ways, entry
/// VMs restart and one of them is repeatedly cut off from the platform.
#[tokio::test(flavor = "multi_thread")]
async fn changes_never_revert() -> Result {
    let dir = tempfile::tempdir()?;
    let (mut fleet, proxy) = start(&dir).await?;
    let entries: Vec<_> = fleet.entries.iter().map(|entry| entry.operators).collect();
    let poller = Poller::start(&fleet);
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
        proxy.cut(round % 3 == 1).await?;
        tokio::time::sleep(Duration::from_millis(700)).await;
        let index = 1 + round % 3;
        fleet.entries[index].process.kill();
        poller.restarts[index].fetch_add(1, Ordering::SeqCst);
        fleet.restart(index)?;
        tokio::time::sleep(Duration::from_millis(700)).await;
        round += 1;
    }
    let healthy = json!({ "lose_share": 0.0, "slow_ms": 0, "outage": false });
    fleet.control("POST", "/control/faults", &healthy).await?;
    proxy.cut(false).await?;
    let accepted = writing.await?;
    tokio::time::sleep(CUT_OFF_BOUND).await;
    let seen = poller.stop().await?;
    let revisions: std::collections::BTreeSet<_> = accepted.iter().map(|change| change.2).collect();
    assert_eq!(revisions.len(), CHANGES, "two accepted changes share a revision");
    check_none_lost(&fleet, &accepted).await?;
    let newest = revisions.last().copied();
    for seen in &seen {
        assert_eq!(
            seen.first.last().map(|(revision, _)| *revision),
            newest,
            "the last change is not in effect"
        );
    }
    println!("{CHANGES} changes, {round} rounds of faults");
    Ok(())
}

/// Guards against a starting entry VM that accepts requests without a configuration, and against
/// one that can't start during a platform outage although its peers have the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn starting_node_refuses_without_configuration() -> Result {
    let dir = tempfile::tempdir()?;
    let (mut fleet, _proxy) = start(&dir).await?;
    fleet.endpoint("engine", "engines", "dk-a", &[])?;
    fleet.register().await?;
    // The list of VMs is read every 500 ms.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.control("POST", "/control/faults", &json!({ "outage": true })).await?;
    fleet.entries[1].process.kill();
    fleet.restart(1)?;
    // The entry VM receives the configuration and the list of VMs from its peers.
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

/// Guards against concurrent changes of one resource by several operators of which more than one,
/// or none, is accepted.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_racing_operators_wins() -> Result {
    let dir = tempfile::tempdir()?;
    let (fleet, _proxy) = start(&dir).await?;
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
