//! Guards against moves that keep a bad version in use, or stall, when a version fails only later,
//! partly or by being slow, or when the control plane fails. Runs real processes and counts
//! requests at the endpoints.

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
/// Deadline for a fault that occurs only at a quarter of the requests: in a move of 40 s, the steps
/// up to that share alone take more than 2% of the requests.
const LONG_WITHIN_S: u64 = 60;
/// Workers per entry VM, each of which sends one request at a time.
const WORKERS: usize = 4;
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// Failing responses after which a node stops using a version, and the time within which that node
/// and all nodes must have stopped.
const FAILING_RESPONSES: u64 = 20;
const OWN_NODE_LIMIT: Duration = Duration::from_secs(1);
const ALL_NODES_LIMIT: Duration = Duration::from_secs(3);

/// Starts three entry VMs and two versions of the services; the first entry VM reaches the platform
/// through a proxy, whose fault control address is returned.
async fn start(dir: &tempfile::TempDir) -> Result<(Fleet, SocketAddr)> {
    start_with(dir, 2, "1").await
}

/// Starts the fleet with this number of engines of the new version and this token gap in
/// milliseconds.
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
    let (proxy_address, faults) = (listener.local_addr()?, controls.local_addr()?);
    tokio::spawn(proxy::run(listener, controls, proxy::Options::to(fleet.platform)));
    fleet.entry_with("dk-a", proxy_address)?;
    // The first entry VM takes the lease before the others start.
    fleet.ready(0).await?;
    lease_holder(&fleet).await?;
    fleet.entry("dk-b")?;
    fleet.entry("dk-c")?;
    fleet.all_ready().await?;
    fleet.joined().await?;
    Ok((fleet, faults))
}

/// Starts the move of a service to its second version.
async fn start_move(fleet: &Fleet, service: &str, pool: &str) -> Result {
    start_move_within(fleet, service, pool, WITHIN_S).await
}

async fn start_move_within(fleet: &Fleet, service: &str, pool: &str, within_s: u64) -> Result {
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
async fn set_faults(fleet: &Fleet, pool: &str, faults: Value) -> Result {
    for endpoint in fleet.endpoints.iter().filter(|endpoint| *endpoint.vm.pool == *pool) {
        control(endpoint.vm.address, "POST", "/control/faults", &faults).await?;
    }
    Ok(())
}

/// Waits until an entry VM holds the lease; returns its index.
async fn lease_holder(fleet: &Fleet) -> Result<usize> {
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
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

/// Returns the phase and share of the move from the status of an entry VM, without the platform.
async fn move_status(fleet: &Fleet, index: usize) -> Result<(String, u64)> {
    let status = fleet.operate(index, "GET", "/v1/status", &Value::Null).await?.json();
    let phase = status["moves"][0]["phase"].as_str().unwrap_or_default().to_owned();
    Ok((phase, status["moves"][0]["share_permille"].as_u64().unwrap_or(0)))
}

/// Waits until the move has ended in the status of an entry VM; returns its phase.
async fn wait_for_end(fleet: &Fleet, index: usize) -> Result<String> {
    let deadline = Instant::now() + Duration::from_secs(LONG_WITHIN_S + 10);
    while Instant::now() < deadline {
        let (phase, _) = move_status(fleet, index).await?;
        if phase == "done" || phase == "reverted" {
            return Ok(phase);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("the move did not end\n{}", fleet.log(&fleet.entries[index].name)).into())
}

/// Waits until a share of at least this many permille is in effect on the entry VMs.
async fn wait_for_share(fleet: &Fleet, entries: &[usize], share: u64) -> Result {
    let deadline = Instant::now() + Duration::from_secs(WITHIN_S);
    for &index in entries {
        while move_status(fleet, index).await?.1 < share {
            assert!(Instant::now() < deadline, "a share of {share} permille was not reached");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// Returns the number of requests that the endpoints of a pool have received.
async fn count_requests(fleet: &Fleet, pool: &str) -> Result<u64> {
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
                let executions =
                    client::call(address, "GET", "/control/executions", &[], "").await?;
                let executions = executions.json();
                let counts = executions.as_object().ok_or("no executions")?.values();
                counts.filter_map(Value::as_u64).sum()
            }
        };
    }
    Ok(total)
}

/// Sends requests to entry VMs in the background.
struct Load {
    /// Whether each entry VM receives requests.
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
                        tokio::time::sleep(REQUEST_PAUSE).await;
                        if enabled.load(Ordering::SeqCst) {
                            let is_complete = send_request(callers, service, worker, number).await;
                            // Failures at a killed or frozen entry VM are not caused by a version.
                            if enabled.load(Ordering::SeqCst) {
                                sent.fetch_add(1, Ordering::SeqCst);
                                failed.fetch_add(usize::from(!is_complete), Ordering::SeqCst);
                            }
                        }
                    }
                }));
            }
        }
        load
    }

    /// Sends requests only to these entry VMs from now on.
    fn restrict_to(&self, entries: &[usize]) {
        for (index, enabled) in self.enabled.iter().enumerate() {
            enabled.store(entries.contains(&index), Ordering::SeqCst);
        }
    }

    /// Checks that no caller saw a failure and that the bad version got at most 2% of the requests.
    async fn check(&self, fleet: &Fleet, pool: &str) -> Result {
        let (exposed, sent) =
            (count_requests(fleet, pool).await?, self.sent.load(Ordering::SeqCst));
        println!("{exposed} of {sent} requests went to the bad version");
        assert!(
            exposed >= FAILING_RESPONSES / 2,
            "{exposed} requests are too few to show that a version is bad"
        );
        assert_eq!(self.failed.load(Ordering::SeqCst), 0, "callers saw failures");
        assert!(
            exposed * 50 <= sent as u64,
            "{exposed} of {sent} requests went to the bad version"
        );
        Ok(())
    }
}

async fn send_request(callers: SocketAddr, service: &str, worker: usize, number: u64) -> bool {
    if service == "chat" {
        let body = common::chat(&format!("question {worker} {number}"), 4, true);
        let answer = common::send(callers, "POST", "/v1/chat/completions", &[], &body).await;
        return answer.is_ok_and(|answer| common::events(&answer.text()).done);
    }
    let path = if number.is_multiple_of(4) { "/booking/slots" } else { "/booking/status" };
    // The service counts only requests that run an operation.
    let body = json!({ "operation": format!("{worker}-{number}") }).to_string();
    let answer = common::send(callers, "POST", path, &[], &body).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

/// Runs a move to a version that has these faults from the start and checks that it is reverted.
async fn check_reverted(service: &'static str, pool: &str, faults: Value) -> Result {
    let dir = tempfile::tempdir()?;
    let (fleet, _) = start(&dir).await?;
    start_move(&fleet, service, pool).await?;
    set_faults(&fleet, pool, faults).await?;
    let load = Load::start(&fleet, service);
    assert_eq!(wait_for_end(&fleet, 1).await?, "reverted");
    println!("{}", fleet.progress(1, "shift").await?);
    load.check(&fleet, pool).await
}

/// Guards against a version that is never reverted because its first responses were good.
#[tokio::test(flavor = "multi_thread")]
async fn late_failures_revert() -> Result {
    let faults = json!({ "fail_share": 1.0, "scope": { "after": 15 } });
    check_reverted("chat", "engines-2", faults).await
}

/// Guards against a version that stays in use although it is slow, because no request fails.
#[tokio::test(flavor = "multi_thread")]
async fn slow_version_reverts() -> Result {
    check_reverted("chat", "engines-2", json!({ "slow": 150.0 })).await
}

/// Guards against a version whose fault occurs only at a larger share.
#[tokio::test(flavor = "multi_thread")]
async fn failures_under_load_revert() -> Result {
    let dir = tempfile::tempdir()?;
    // At 60 ms per response, a quarter of the requests exceeds one concurrent request on one
    // engine.
    let (fleet, _) = start_with(&dir, 1, "15").await?;
    start_move_within(&fleet, "chat", "engines-2", LONG_WITHIN_S).await?;
    let faults = json!({ "fail_share": 1.0, "scope": { "above": 1 } });
    set_faults(&fleet, "engines-2", faults).await?;
    let load = Load::start(&fleet, "chat");
    assert_eq!(wait_for_end(&fleet, 1).await?, "reverted");
    println!("{}", fleet.progress(1, "shift").await?);
    load.check(&fleet, "engines-2").await
}

/// Guards against a fault on one route, with a quarter of the requests, that is masked by the
/// others.
#[tokio::test(flavor = "multi_thread")]
async fn single_route_failures_revert() -> Result {
    // The wrong id is detected after the operation has run, so the executions count all requests.
    let faults = json!({ "wrong_id": 1.0, "scope": { "route": "/slots" } });
    check_reverted("booking", "bookings-2", faults).await
}

/// Guards against nodes that need the platform to stop using a bad version: the platform stops
/// responding just before the version turns bad.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_stops_without_platform() -> Result {
    let dir = tempfile::tempdir()?;
    let (fleet, _) = start(&dir).await?;
    start_move(&fleet, "chat", "engines-2").await?;
    let load = Load::start(&fleet, "chat");
    wait_for_share(&fleet, &[0, 1, 2], 250).await?;
    load.restrict_to(&[1]);
    fleet.control("POST", "/control/faults", &json!({ "outage": true, "mode": "hang" })).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let is_marked = || fleet.log(&fleet.entries[1].name).contains("chat-2 is marked bad");
    assert!(!is_marked(), "the new version was marked bad before it failed");
    // Counted before the fault is set: the node may stop at its 20th failing response, and
    // responses fail already while the fault is being set on the endpoints.
    let before = count_requests(&fleet, "engines-2").await?;
    set_faults(&fleet, "engines-2", json!({ "fail_share": 1.0 })).await?;
    let deadline = Instant::now() + Duration::from_secs(20);
    // The lease holder needs fewer failing responses to mark the version, and tells its peers.
    while count_requests(&fleet, "engines-2").await? < before + FAILING_RESPONSES && !is_marked() {
        assert!(Instant::now() < deadline, "the new version receives no requests");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let detectable_at = Instant::now();
    tokio::time::sleep_until((detectable_at + OWN_NODE_LIMIT).into()).await;
    let after = count_requests(&fleet, "engines-2").await?;
    println!("{} requests after the fault", after - before);
    assert!(after > before, "the version was marked bad without a failing response");
    tokio::time::sleep_until((detectable_at + ALL_NODES_LIMIT).into()).await;
    assert_eq!(
        count_requests(&fleet, "engines-2").await?,
        after,
        "the node still uses the version"
    );
    load.restrict_to(&[0, 1, 2]);
    let sent = load.sent.load(Ordering::SeqCst);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(load.sent.load(Ordering::SeqCst) > sent + 50, "too few requests were sent");
    assert_eq!(
        count_requests(&fleet, "engines-2").await?,
        after,
        "other nodes still use the version"
    );
    fleet.control("POST", "/control/faults", &json!({ "outage": false })).await?;
    assert_eq!(wait_for_end(&fleet, 0).await?, "reverted");
    assert_eq!(load.failed.load(Ordering::SeqCst), 0, "callers saw failures");
    Ok(())
}

/// Share in permille, lease fence and entry VM index of a step.
type Step = (u64, u64, usize);

/// Returns the steps in the logs of all entry VMs, sorted by share; a revert counts as 200%, so
/// that it comes last.
fn logged_steps(fleet: &Fleet) -> Vec<Step> {
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

/// Checks that no share was written twice and that the fences of the steps never decrease.
fn check_steps(fleet: &Fleet) -> Vec<Step> {
    let steps = logged_steps(fleet);
    println!("steps (share, fence, entry VM): {steps:?}");
    assert!(steps.windows(2).all(|pair| pair[0].0 < pair[1].0), "{steps:?}");
    assert!(steps.windows(2).all(|pair| pair[0].1 <= pair[1].1), "{steps:?}");
    steps
}

/// Waits until an entry VM other than the frozen one holds the lease; returns its index.
async fn wait_for_successor(fleet: &Fleet, frozen: usize) -> Result<usize> {
    let deadline = Instant::now() + Duration::from_secs(15);
    while Instant::now() < deadline {
        for index in (0..3).filter(|&index| index != frozen) {
            let status = fleet.operate(index, "GET", "/v1/status", &Value::Null).await?.json();
            if status["leases"][0]["left_ms"].is_u64() {
                return Ok(index);
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err("no other entry VM took the lease".into())
}

/// Guards against a lease holder that is frozen between two steps and writes a step when it
/// resumes, and against a move that does not end because of it.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_holder_writes_no_step() -> Result {
    let dir = tempfile::tempdir()?;
    let (fleet, _) = start(&dir).await?;
    start_move(&fleet, "chat", "engines-2").await?;
    let started_at = Instant::now();
    let load = Load::start(&fleet, "chat");
    wait_for_share(&fleet, &[0, 1, 2], 50).await?;
    let first = lease_holder(&fleet).await?;
    let others: Vec<usize> = (0..3).filter(|&index| index != first).collect();
    load.restrict_to(&others);
    fleet.entries[first].process.freeze();
    let count_own = |steps: &[Step]| steps.iter().filter(|step| step.2 == first).count();
    let before = count_own(&logged_steps(&fleet));
    let second = wait_for_successor(&fleet, first).await?;
    fleet.entries[first].process.resume();
    let phase = wait_for_end(&fleet, second).await?;
    assert!(started_at.elapsed() < Duration::from_secs(WITHIN_S + 2), "{:?}", started_at.elapsed());
    println!("{phase}: {}", fleet.progress(second, "shift").await?);
    let steps = check_steps(&fleet);
    assert_eq!(count_own(&steps), before, "the resumed holder wrote a step: {steps:?}");
    assert!(steps.iter().any(|step| step.2 == second), "the successor wrote no step: {steps:?}");
    assert_eq!(load.failed.load(Ordering::SeqCst), 0, "callers saw failures");
    Ok(())
}

/// Guards against a good version that does not take over by the deadline because the lease holder
/// was killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_holder_is_replaced() -> Result {
    let dir = tempfile::tempdir()?;
    let (mut fleet, _) = start(&dir).await?;
    start_move(&fleet, "chat", "engines-2").await?;
    let started_at = Instant::now();
    let load = Load::start(&fleet, "chat");
    wait_for_share(&fleet, &[0, 1, 2], CANARY_PERMILLE.into()).await?;
    let first = lease_holder(&fleet).await?;
    let others: Vec<usize> = (0..3).filter(|&index| index != first).collect();
    load.restrict_to(&others);
    fleet.entries[first].process.kill();
    let phase = wait_for_end(&fleet, others[0]).await?;
    check_steps(&fleet);
    assert_eq!(phase, "done", "{}", fleet.progress(others[0], "shift").await?);
    assert!(started_at.elapsed() < Duration::from_secs(WITHIN_S + 1), "{:?}", started_at.elapsed());
    assert_eq!(load.failed.load(Ordering::SeqCst), 0, "callers saw failures");
    Ok(())
}

/// Guards against a lease holder that raises a share although its writes reach the platform late or
/// not at all, and against a move that stalls because of it.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_holder_raises_nothing() -> Result {
    let dir = tempfile::tempdir()?;
    let (fleet, faults) = start(&dir).await?;
    assert_eq!(lease_holder(&fleet).await?, 0, "the first entry VM holds the lease");
    start_move(&fleet, "chat", "engines-2").await?;
    let started_at = Instant::now();
    let load = Load::start(&fleet, "chat");
    wait_for_share(&fleet, &[1], CANARY_PERMILLE.into()).await?;
    control(faults, "POST", "/faults", &json!({ "delay_ms": 2_000 })).await?;
    tokio::time::sleep(Duration::from_secs(6)).await;
    control(faults, "POST", "/faults", &json!({ "delay_ms": 0, "cut": true })).await?;
    wait_for_share(&fleet, &[0, 1, 2], 50).await?;
    control(faults, "POST", "/faults", &json!({ "cut": false })).await?;
    assert_eq!(wait_for_end(&fleet, 0).await?, "done");
    assert!(started_at.elapsed() < Duration::from_secs(WITHIN_S + 2), "{:?}", started_at.elapsed());
    let steps = check_steps(&fleet);
    assert!(steps.iter().all(|step| step.2 != 0 || step.0 <= CANARY_PERMILLE.into()), "{steps:?}");
    assert_eq!(load.failed.load(Ordering::SeqCst), 0, "callers saw failures");
    Ok(())
}
