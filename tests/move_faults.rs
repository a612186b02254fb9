//! Guards against moves that keep a bad version in use, or stall, when versions or parts of the
//! control plane fail in less simple ways. Runs real processes and counts at the endpoints.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use pomelolink::rollout::CANARY_PERMILLE;
use serde_json::{Value, json};
use standin::client;
use standin::fleet::{Fleet, control};
use standin::proxy;
use tokio::net::TcpListener;

type Result<T = ()> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

const WITHIN_S: u64 = 40;
/// A fault that shows only at a quarter of the requests needs a longer move: the steps that lead
/// there alone take more than 2% of the requests of a move of 40 s.
const LONG_WITHIN_S: u64 = 60;
/// Workers that send requests to each entry VM, one at a time each.
const WORKERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(20);
/// Failing responses after which a node stops using a version, and the bounds after that.
const FAILING: u64 = 20;
const OWN_NODE: Duration = Duration::from_secs(1);
const ALL_NODES: Duration = Duration::from_secs(3);

/// Starts three entry VMs and two versions of the services; the first entry VM reaches the platform
/// at the given address.
async fn start(dir: &tempfile::TempDir) -> Result<(Fleet, SocketAddr)> {
    start_with(dir, 2, "1").await
}

/// Starts with this number of engines of the new version, and milliseconds between tokens.
async fn start_with(
    dir: &tempfile::TempDir,
    new_engines: usize,
    gap_ms: &str,
) -> Result<(Fleet, SocketAddr)> {
    let mut fleet = Fleet::start(common::programs(), dir.path())?;
    fleet.timing = json!({ "config_poll_ms": 300, "vm_poll_ms": 200, "heartbeat_ms": 200,
        "lease_term_ms": 3_000 });
    for (pool, engines) in [("engines", 2), ("engines-2", new_engines)] {
        for _ in 0..engines {
            fleet.endpoint("engine", pool, "dk-a", &["--gap-ms", gap_ms])?;
        }
    }
    for pool in ["bookings", "bookings-2"] {
        fleet.endpoint("service", pool, "dk-a", &[])?;
    }
    fleet.register().await?;
    fleet.configure(&common::declarations()).await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let controls = TcpListener::bind("127.0.0.1:0").await?;
    let (path, faults) = (listener.local_addr()?, controls.local_addr()?);
    tokio::spawn(proxy::run(listener, controls, proxy::Options::to(fleet.platform)));
    fleet.entry_with("dk-a", path)?;
    // The first entry VM takes the lease before the others are there.
    fleet.ready(0).await?;
    holder(&fleet).await?;
    fleet.entry("dk-b")?;
    fleet.entry("dk-c")?;
    fleet.all_ready().await?;
    fleet.joined().await?;
    Ok((fleet, faults))
}

/// Starts the move of a service to its second version.
async fn shift(fleet: &Fleet, service: &str, pool: &str) -> Result {
    shift_within(fleet, service, pool, WITHIN_S).await
}

async fn shift_within(fleet: &Fleet, service: &str, pool: &str, within_s: u64) -> Result {
    let version = format!("{service}-2");
    let declarations = json!([
        { "kind": "pool", "name": pool, "class": "small" },
        { "kind": "service", "name": "booking", "protocol": "plain", "version": "booking-1",
          "routes": [{ "method": "POST", "path": "/slots", "idempotent": true },
                     { "method": "POST", "path": "/status", "idempotent": true }] },
        { "kind": "version", "name": version, "service": service, "pool": pool },
        { "kind": "move", "name": "shift", "service": service, "from": format!("{service}-1"),
          "to": version, "within_s": within_s },
    ]);
    let answer = fleet.apply(1, &declarations).await?;
    assert!(answer.status.is_success(), "{}", answer.text());
    Ok(())
}

/// Sets faults of all endpoints of a pool.
async fn fail(fleet: &Fleet, pool: &str, faults: Value) -> Result {
    for endpoint in fleet.endpoints.iter().filter(|endpoint| *endpoint.vm.pool == *pool) {
        control(endpoint.vm.address, "POST", "/control/faults", &faults).await?;
    }
    Ok(())
}

/// Gives the index of the entry VM that holds the lease.
async fn holder(fleet: &Fleet) -> Result<usize> {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        for index in 0..fleet.entries.len() {
            let status = fleet.operate(index, "GET", "/v1/status", &Value::Null).await?.json();
            if status["leases"][0]["left_ms"].is_u64() {
                return Ok(index);
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err("no entry VM holds the lease".into())
}

/// Gives the move as an entry VM sees it, without the platform: phase and share.
async fn seen(fleet: &Fleet, index: usize) -> Result<(String, u64)> {
    let status = fleet.operate(index, "GET", "/v1/status", &Value::Null).await?.json();
    let phase = status["moves"][0]["phase"].as_str().unwrap_or_default().to_owned();
    Ok((phase, status["moves"][0]["share_permille"].as_u64().unwrap_or(0)))
}

/// Waits until an entry VM has seen the move end; gives its phase.
async fn ended(fleet: &Fleet, index: usize) -> Result<String> {
    let end = Instant::now() + Duration::from_secs(LONG_WITHIN_S + 10);
    while Instant::now() < end {
        let (phase, _) = seen(fleet, index).await?;
        if phase == "done" || phase == "reverted" {
            return Ok(phase);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("the move did not end\n{}", fleet.log(&fleet.entries[index].name)).into())
}

/// Waits until the entry VMs have a share of at least this in effect.
async fn reached(fleet: &Fleet, entries: &[usize], share: u64) -> Result {
    let end = Instant::now() + Duration::from_secs(WITHIN_S);
    for &index in entries {
        while seen(fleet, index).await?.1 < share {
            assert!(Instant::now() < end, "share {share} not reached");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// Counts the requests that the endpoints of a pool have seen.
async fn requests(fleet: &Fleet, pool: &str) -> Result<u64> {
    let mut total = 0;
    for endpoint in fleet.endpoints.iter().filter(|endpoint| *endpoint.vm.pool == *pool) {
        let address = endpoint.vm.address;
        total += match pool.starts_with("engines") {
            true => {
                client::call(address, "GET", "/control/counters", &[], "").await?.json()["requests"]
                    .as_u64()
                    .ok_or("no request counter")?
            }
            false => {
                let all = client::call(address, "GET", "/control/executions", &[], "").await?;
                let all = all.json();
                let counts = all.as_object().ok_or("no executions")?.values();
                counts.filter_map(Value::as_u64).sum()
            }
        };
    }
    Ok(total)
}

/// Sends requests to entry VMs in the background.
struct Load {
    /// Tells which entry VMs get requests.
    enabled: Vec<Arc<AtomicBool>>,
    sent: Arc<AtomicUsize>,
    failed: Arc<AtomicUsize>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Drop for Load {
    fn drop(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

impl Load {
    fn start(fleet: &Fleet, service: &'static str) -> Load {
        let (sent, failed) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let mut load = Load { enabled: Vec::new(), sent, failed, tasks: Vec::new() };
        for entry in &fleet.entries {
            let enabled = Arc::new(AtomicBool::new(true));
            load.enabled.push(enabled.clone());
            for worker in 0..WORKERS {
                let (enabled, callers) = (enabled.clone(), entry.callers);
                let (sent, failed) = (load.sent.clone(), load.failed.clone());
                load.tasks.push(tokio::spawn(async move {
                    for number in 0.. {
                        tokio::time::sleep(PAUSE).await;
                        if enabled.load(Ordering::SeqCst) {
                            let whole = request(callers, service, worker, number).await;
                            // A killed or frozen entry VM is no fault of a version.
                            if enabled.load(Ordering::SeqCst) {
                                sent.fetch_add(1, Ordering::SeqCst);
                                failed.fetch_add(usize::from(!whole), Ordering::SeqCst);
                            }
                        }
                    }
                }));
            }
        }
        load
    }

    fn only(&self, entries: &[usize]) {
        for (index, enabled) in self.enabled.iter().enumerate() {
            enabled.store(entries.contains(&index), Ordering::SeqCst);
        }
    }

    /// Checks that callers noticed nothing and that the bad version got at most 2%.
    async fn check(&self, fleet: &Fleet, pool: &str) -> Result {
        let (exposed, sent) = (requests(fleet, pool).await?, self.sent.load(Ordering::SeqCst));
        println!("{exposed} of {sent} requests went to the bad version");
        assert!(exposed >= FAILING / 2, "{exposed} requests can't show that a version is bad");
        assert_eq!(self.failed.load(Ordering::SeqCst), 0, "callers saw failures");
        assert!(exposed * 50 <= sent as u64, "{exposed} of {sent} requests went to it");
        Ok(())
    }
}

async fn request(callers: SocketAddr, service: &str, worker: usize, number: u64) -> bool {
    if service == "chat" {
        let body = common::chat(&format!("question {worker} {number}"), 4, true);
        let answer = common::send(callers, "POST", "/v1/chat/completions", &[], &body).await;
        return answer.is_ok_and(|answer| common::events(&answer.text()).done);
    }
    let path = if number.is_multiple_of(4) { "/booking/slots" } else { "/booking/status" };
    // The service counts only requests that change something.
    let body = json!({ "operation": format!("{worker}-{number}") }).to_string();
    let answer = common::send(callers, "POST", path, &[], &body).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

/// Runs a move to a version with faults from the start.
async fn bad_version(service: &'static str, pool: &str, faults: Value) -> Result {
    let dir = tempfile::tempdir()?;
    let (fleet, _) = start(&dir).await?;
    shift(&fleet, service, pool).await?;
    fail(&fleet, pool, faults).await?;
    let load = Load::start(&fleet, service);
    assert_eq!(ended(&fleet, 1).await?, "reverted");
    println!("{}", fleet.progress(1, "shift").await?);
    load.check(&fleet, pool).await
}

/// Guards against a version that is trusted for good because it began well.
#[tokio::test(flavor = "multi_thread")]
async fn fails_only_later() -> Result {
    let faults = json!({ "fail_share": 1.0, "scope": { "after": 15 } });
    bad_version("chat", "engines-2", faults).await
}

/// Guards against a version that answers everything, but too slowly.
#[tokio::test(flavor = "multi_thread")]
async fn is_only_slow() -> Result {
    bad_version("chat", "engines-2", json!({ "slow": 150.0 })).await
}

/// Guards against a version whose fault shows only once it gets a larger share.
#[tokio::test(flavor = "multi_thread")]
async fn fails_only_under_load() -> Result {
    let dir = tempfile::tempdir()?;
    // With 60 ms per answer, a quarter of the requests are more than one at a time on one engine.
    let (fleet, _) = start_with(&dir, 1, "15").await?;
    shift_within(&fleet, "chat", "engines-2", LONG_WITHIN_S).await?;
    let faults = json!({ "fail_share": 1.0, "scope": { "above": 1 } });
    fail(&fleet, "engines-2", faults).await?;
    let load = Load::start(&fleet, "chat");
    assert_eq!(ended(&fleet, 1).await?, "reverted");
    println!("{}", fleet.progress(1, "shift").await?);
    load.check(&fleet, "engines-2").await
}

/// Guards against a fault on a quarter of the requests that the other routes hide.
#[tokio::test(flavor = "multi_thread")]
async fn fails_on_one_route() -> Result {
    // The wrong id is found after the operation has run, so that the executions count requests.
    let faults = json!({ "wrong_id": 1.0, "scope": { "route": "/slots" } });
    bad_version("booking", "bookings-2", faults).await
}

/// Guards against marks that need the platform: it goes silent just before the version turns bad.
#[tokio::test(flavor = "multi_thread")]
async fn marks_act_without_platform() -> Result {
    let dir = tempfile::tempdir()?;
    let (fleet, _) = start(&dir).await?;
    shift(&fleet, "chat", "engines-2").await?;
    let load = Load::start(&fleet, "chat");
    reached(&fleet, &[0, 1, 2], 250).await?;
    load.only(&[1]);
    fleet.control("POST", "/control/faults", &json!({ "outage": true, "mode": "hang" })).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    // Counted before the fault is set: the node may stop at its 20th failing response, the ones
    // that arrive while the fault is set on the endpoints included.
    let before = requests(&fleet, "engines-2").await?;
    fail(&fleet, "engines-2", json!({ "fail_share": 1.0 })).await?;
    let end = Instant::now() + Duration::from_secs(20);
    while requests(&fleet, "engines-2").await? < before + FAILING {
        assert!(Instant::now() < end, "the new version gets no requests");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let proven = Instant::now();
    tokio::time::sleep_until((proven + OWN_NODE).into()).await;
    let after = requests(&fleet, "engines-2").await?;
    println!("{} requests after the fault", after - before);
    tokio::time::sleep_until((proven + ALL_NODES).into()).await;
    assert_eq!(requests(&fleet, "engines-2").await?, after, "the node still uses the version");
    load.only(&[0, 1, 2]);
    let sent = load.sent.load(Ordering::SeqCst);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(load.sent.load(Ordering::SeqCst) > sent + 50, "no load");
    assert_eq!(requests(&fleet, "engines-2").await?, after, "other nodes still use the version");
    fleet.control("POST", "/control/faults", &json!({ "outage": false })).await?;
    assert_eq!(ended(&fleet, 0).await?, "reverted");
    assert_eq!(load.failed.load(Ordering::SeqCst), 0, "callers saw failures");
    Ok(())
}

/// Tells the share in permille, the fence and the entry VM of a step.
type Step = (u64, u64, usize);

/// Lists the steps in the logs of all entry VMs; a revert counts as more than the whole share.
fn steps(fleet: &Fleet) -> Vec<Step> {
    let mut steps = Vec::new();
    for (index, entry) in fleet.entries.iter().enumerate() {
        let log = fleet.log(&entry.name);
        let parse = |line: &str| {
            let (_, rest) = line.split_once(" at ")?;
            let (share, rest) = rest.split_once("% (lease fence ")?;
            let (fence, _) = rest.split_once(')')?;
            let share = match line.contains("move is reverted") {
                true => 200.0,
                false => share.parse::<f64>().ok()?,
            };
            Some(((share * 10.0) as u64, fence.parse().ok()?, index))
        };
        steps.extend(log.lines().filter(|line| line.contains("move is")).filter_map(parse));
    }
    steps.sort_unstable();
    steps
}

/// Checks that no share was written twice and that no step has a lower fence than one before.
fn check_steps(fleet: &Fleet) -> Vec<Step> {
    let steps = steps(fleet);
    println!("steps (share, fence, entry VM): {steps:?}");
    assert!(steps.windows(2).all(|pair| pair[0].0 < pair[1].0), "{steps:?}");
    assert!(steps.windows(2).all(|pair| pair[0].1 <= pair[1].1), "{steps:?}");
    steps
}

/// Waits until another entry VM than this one holds the lease; the frozen one is not asked.
async fn successor(fleet: &Fleet, first: usize) -> Result<usize> {
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        for index in (0..3).filter(|&index| index != first) {
            let status = fleet.operate(index, "GET", "/v1/status", &Value::Null).await?.json();
            if status["leases"][0]["left_ms"].is_u64() {
                return Ok(index);
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err("no other entry VM took the lease".into())
}

/// Guards against a frozen holder that writes a step when it is resumed, and against a move that
/// does not end because its holder is frozen between two steps.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_holder_writes_no_step() -> Result {
    let dir = tempfile::tempdir()?;
    let (fleet, _) = start(&dir).await?;
    shift(&fleet, "chat", "engines-2").await?;
    let began = Instant::now();
    let load = Load::start(&fleet, "chat");
    reached(&fleet, &[0, 1, 2], 50).await?;
    let first = holder(&fleet).await?;
    let rest: Vec<usize> = (0..3).filter(|&index| index != first).collect();
    load.only(&rest);
    fleet.entries[first].process.freeze();
    let own = |steps: &[Step]| steps.iter().filter(|step| step.2 == first).count();
    let before = own(&steps(&fleet));
    let second = successor(&fleet, first).await?;
    fleet.entries[first].process.resume();
    let phase = ended(&fleet, second).await?;
    assert!(began.elapsed() < Duration::from_secs(WITHIN_S + 2), "{:?}", began.elapsed());
    println!("{phase}: {}", fleet.progress(second, "shift").await?);
    let steps = check_steps(&fleet);
    assert_eq!(own(&steps), before, "the resumed holder wrote a step: {steps:?}");
    assert!(steps.iter().any(|step| step.2 == second), "the successor wrote no step: {steps:?}");
    assert_eq!(load.failed.load(Ordering::SeqCst), 0, "callers saw failures");
    Ok(())
}

/// Guards against a good version that is not in use on time because the holder was killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_holder_is_replaced() -> Result {
    let dir = tempfile::tempdir()?;
    let (mut fleet, _) = start(&dir).await?;
    shift(&fleet, "chat", "engines-2").await?;
    let began = Instant::now();
    let load = Load::start(&fleet, "chat");
    reached(&fleet, &[0, 1, 2], CANARY_PERMILLE.into()).await?;
    let first = holder(&fleet).await?;
    let rest: Vec<usize> = (0..3).filter(|&index| index != first).collect();
    load.only(&rest);
    fleet.entries[first].process.kill();
    let phase = ended(&fleet, rest[0]).await?;
    check_steps(&fleet);
    assert_eq!(phase, "done", "{}", fleet.progress(rest[0], "shift").await?);
    assert!(began.elapsed() < Duration::from_secs(WITHIN_S + 1), "{:?}", began.elapsed());
    assert_eq!(load.failed.load(Ordering::SeqCst), 0, "callers saw failures");
    Ok(())
}

/// Guards against a node that raises a share although its writes reach the platform too late, or
/// not at all, and against a move that stalls because of it.
#[tokio::test(flavor = "multi_thread")]
async fn holder_is_cut_off() -> Result {
    let dir = tempfile::tempdir()?;
    let (fleet, faults) = start(&dir).await?;
    assert_eq!(holder(&fleet).await?, 0, "the first entry VM holds the lease");
    shift(&fleet, "chat", "engines-2").await?;
    let began = Instant::now();
    let load = Load::start(&fleet, "chat");
    reached(&fleet, &[1], CANARY_PERMILLE.into()).await?;
    control(faults, "POST", "/faults", &json!({ "delay_ms": 2_000 })).await?;
    tokio::time::sleep(Duration::from_secs(6)).await;
    control(faults, "POST", "/faults", &json!({ "delay_ms": 0, "cut": true })).await?;
    reached(&fleet, &[0, 1, 2], 50).await?;
    control(faults, "POST", "/faults", &json!({ "cut": false })).await?;
    assert_eq!(ended(&fleet, 0).await?, "done");
    assert!(began.elapsed() < Duration::from_secs(WITHIN_S + 2), "{:?}", began.elapsed());
    let steps = check_steps(&fleet);
    assert!(steps.iter().all(|step| step.2 != 0 || step.0 <= CANARY_PERMILLE.into()), "{steps:?}");
    assert_eq!(load.failed.load(Ordering::SeqCst), 0, "callers saw failures");
    Ok(())
}
