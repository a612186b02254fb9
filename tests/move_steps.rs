//! Guards against moves that stall, finish late or keep a bad version in use.

mod common;

use std::time::{Duration, Instant};

use serde_json::json;
use standin::client;
use standin::fleet::{Fleet, control};

type Result<T = ()> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

const CHAT: &str = "/v1/chat/completions";
const WITHIN_S: u64 = 25;

/// Starts two entry VMs and two versions of `chat` with two engines each.
async fn start(dir: &tempfile::TempDir) -> Result<Fleet> {
    let mut fleet = Fleet::start(common::programs(), dir.path())?;
    fleet.timing = json!({ "config_poll_ms": 300, "vm_poll_ms": 200, "heartbeat_ms": 200 });
    for pool in ["engines", "engines", "engines-2", "engines-2"] {
        fleet.endpoint("engine", pool, "dk-a", &["--gap-ms", "1"])?;
    }
    fleet.endpoint("service", "bookings", "dk-a", &[])?;
    fleet.register().await?;
    fleet.configure(&common::declarations()).await?;
    fleet.entry("dk-a")?;
    fleet.entry("dk-b")?;
    fleet.all_ready().await?;
    fleet.joined().await?;
    let declarations = json!([
        { "kind": "pool", "name": "engines-2", "class": "small" },
        { "kind": "version", "name": "chat-2", "service": "chat", "pool": "engines-2" },
        { "kind": "move", "name": "shift", "service": "chat", "from": "chat-1", "to": "chat-2",
          "within_s": WITHIN_S },
    ]);
    let answer = fleet.apply(0, &declarations).await?;
    assert!(answer.status.is_success(), "{}", answer.text());
    Ok(fleet)
}

/// Sends requests until the move ends; returns its progress, the number of requests sent and the
/// number that failed for the caller.
async fn send_until_ended(fleet: &Fleet) -> Result<(serde_json::Value, usize, usize)> {
    let deadline = Instant::now() + Duration::from_secs(WITHIN_S + 10);
    let (mut sent, mut failed) = (0, 0);
    while Instant::now() < deadline {
        let batch = (0..20).map(|number| {
            let entry = fleet.entries[number % 2].callers;
            let body = common::chat(&format!("question {number}"), 4, true);
            async move { common::send(entry, "POST", CHAT, &[], &body).await }
        });
        for answer in futures_util::future::join_all(batch).await {
            sent += 1;
            let is_complete = answer.is_ok_and(|answer| common::events(&answer.text()).done);
            failed += usize::from(!is_complete);
        }
        let progress = fleet.progress(1, "shift").await?;
        if !matches!(progress["phase"].as_str(), Some("in_progress") | None) {
            return Ok((progress, sent, failed));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("the move did not end: {}", fleet.progress(0, "shift").await?).into())
}

/// Returns the number of requests that the engines of a pool have received.
async fn count_requests(fleet: &Fleet, pool: &str) -> Result<u64> {
    let mut total = 0;
    for endpoint in fleet.endpoints.iter().filter(|endpoint| *endpoint.vm.pool == *pool) {
        let counters =
            client::call(endpoint.vm.address, "GET", "/control/counters", &[], "").await?;
        total += counters.json()["requests"].as_u64().ok_or("no request counter")?;
    }
    Ok(total)
}

/// Guards against a good version that does not take over by the deadline, or is reverted.
#[tokio::test(flavor = "multi_thread")]
async fn good_version_finishes_on_time() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = start(&dir).await?;
    let started_at = Instant::now();
    let (progress, _, failed) = send_until_ended(&fleet).await?;
    assert_eq!(progress["phase"], json!("done"), "{progress}\n{}", fleet.log("entry-1"));
    assert!(started_at.elapsed() < Duration::from_secs(WITHIN_S + 1), "{:?}", started_at.elapsed());
    assert_eq!(failed, 0);
    // A configuration is in effect on all nodes within 2 s.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = count_requests(&fleet, "engines").await?;
    for number in 0..20 {
        let body = common::chat(&format!("later {number}"), 4, true);
        common::send(fleet.entries[number % 2].callers, "POST", CHAT, &[], &body).await?;
    }
    assert_eq!(
        count_requests(&fleet, "engines").await?,
        before,
        "the old version still receives requests"
    );
    Ok(())
}

/// Guards against a failing version that fails requests of callers or gets more than 2% of them.
#[tokio::test(flavor = "multi_thread")]
async fn failing_version_is_reverted() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = start(&dir).await?;
    for endpoint in fleet.endpoints.iter().filter(|endpoint| *endpoint.vm.pool == *"engines-2") {
        let fault = json!({ "fail_share": 1.0 });
        control(endpoint.vm.address, "POST", "/control/faults", &fault).await?;
    }
    let (progress, sent, failed) = send_until_ended(&fleet).await?;
    assert_eq!(progress["phase"], json!("reverted"), "{progress}");
    assert_eq!(failed, 0, "callers saw failures of the new version");
    let exposed = count_requests(&fleet, "engines-2").await?;
    assert!(exposed * 50 <= sent as u64, "{exposed} of {sent} requests went to the bad version");
    Ok(())
}
