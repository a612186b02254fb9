//! Guards bookings against networks that cut connections or silently drop their data at any point.

mod common;
mod proof;

use proof::{Load, Result, proxied};
use serde_json::json;

const OPERATIONS: usize = 1_200;

fn load(name: &'static str) -> Load {
    Load { rate: 300, concurrency: 300, deadline_ms: 1_000, ..Load::new(name, OPERATIONS) }
}

/// Guards against a booking that runs twice or is refused wrongly when connections to endpoints are
/// cut during the request or in the middle of the response.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_connections_cut() -> Result {
    let dir = tempfile::tempdir()?;
    let mut proxied = proxied::start(&dir, 2, 2).await?;
    // Each booking takes long enough for its connection to be cut.
    proof::set_endpoints(&proxied.fleet, &json!({ "delay_ms": 20 })).await?;
    let callers = proof::callers(&proxied.fleet);
    let driver = tokio::spawn(proof::drive(callers.clone(), load("cut")));
    for round in 0..8 {
        proof::pause(250).await;
        proxied.endpoint(round % 2, &json!({ "cut": true })).await?;
        proof::pause(100).await;
        proxied.endpoint(round % 2, &json!({ "cut": false })).await?;
        let bytes = json!({ "truncate_after": 3_000 });
        proxied.endpoint((round + 1) % 2, &bytes).await?;
        proof::pause(100).await;
        let none = json!({ "truncate_after": null });
        proxied.endpoint((round + 1) % 2, &none).await?;
    }
    let mut outcomes = driver.await?;
    proof::finish(&callers, &mut outcomes).await;
    proof::check_recorded(&callers, &outcomes).await;
    proxied.reach_directly();
    let summary = proof::check(&outcomes, &proof::executions(&proxied.fleet).await?);
    assert!(summary.answered + summary.unknown >= 800, "refused for good: {summary:?}");
    assert!(summary.unknown > 5, "the fault had no effect: {summary:?}");
    Ok(())
}

/// Guards against a booking that runs twice or is refused wrongly when the entry VMs lose the
/// platform one after the other, through cut or silent connections, and callers go to the other
/// entry VMs.
#[tokio::test(flavor = "multi_thread")]
async fn platform_cut() -> Result {
    let dir = tempfile::tempdir()?;
    let mut proxied = proxied::start(&dir, 3, 2).await?;
    let callers = proof::callers(&proxied.fleet);
    let driver = tokio::spawn(proof::drive(callers.clone(), load("apart")));
    for round in 0..6 {
        let (fault, recovered) = match round % 2 {
            0 => (json!({ "cut": true }), json!({ "cut": false })),
            _ => (
                json!({ "silent": true, "silent_new": true }),
                json!({ "silent": false, "silent_new": false }),
            ),
        };
        proxied.platform(round % 3, &fault).await?;
        proof::pause(600).await;
        proxied.platform(round % 3, &recovered).await?;
    }
    let mut outcomes = driver.await?;
    proof::finish(&callers, &mut outcomes).await;
    proof::check_recorded(&callers, &outcomes).await;
    proxied.reach_directly();
    let summary = proof::check(&outcomes, &proof::executions(&proxied.fleet).await?);
    assert!(summary.answered + summary.unknown >= 800, "refused for good: {summary:?}");
    assert!(summary.refused_not_run > 5, "the fault had no effect: {summary:?}");
    Ok(())
}

/// Guards against a booking that runs twice or is refused wrongly when connections to endpoints go
/// silent and the platform is unreachable.
#[tokio::test(flavor = "multi_thread")]
async fn silent_endpoints_platform_cut() -> Result {
    let dir = tempfile::tempdir()?;
    let mut proxied = proxied::start(&dir, 3, 2).await?;
    let callers = proof::callers(&proxied.fleet);
    let driver = tokio::spawn(proof::drive(callers.clone(), load("silent-apart")));
    for round in 0..5 {
        proof::pause(300).await;
        proxied.endpoints(&json!({ "silent": true })).await?;
        proxied.platform(round % 3, &json!({ "cut": true })).await?;
        proof::pause(400).await;
        proxied.platform(round % 3, &json!({ "cut": false })).await?;
    }
    let mut outcomes = driver.await?;
    proof::finish(&callers, &mut outcomes).await;
    proof::check_recorded(&callers, &outcomes).await;
    proxied.reach_directly();
    let summary = proof::check(&outcomes, &proof::executions(&proxied.fleet).await?);
    assert!(summary.answered + summary.unknown >= 800, "refused for good: {summary:?}");
    assert!(summary.refused_not_run > 5, "the fault had no effect: {summary:?}");
    Ok(())
}

/// Guards against a booking that runs twice or is refused wrongly when half of the endpoints and an
/// entry VM are reclaimed together and die before their notice ends. The proxy cuts off a reclaimed
/// endpoint instead of killing it, so that its executions can still be counted.
#[tokio::test(flavor = "multi_thread")]
async fn reclaim_wave() -> Result {
    let dir = tempfile::tempdir()?;
    let mut proxied = proxied::start(&dir, 3, 4).await?;
    proof::set_endpoints(&proxied.fleet, &json!({ "delay_ms": 120 })).await?;
    let callers = proof::callers(&proxied.fleet);
    let driver = tokio::spawn(proof::drive(callers.clone(), load("wave")));
    proof::pause(1_000).await;
    for endpoint in [0, 1] {
        let vm = proxied.fleet.endpoints[endpoint].vm.id.clone();
        let notice = json!({ "vm": vm, "left_ms": 2_000 });
        proxied.fleet.control("POST", "/control/reclaim", &notice).await?;
    }
    proxied.fleet.entries[0].process.terminate();
    proof::pause(60).await;
    proxied.fleet.entries[0].process.kill();
    for endpoint in [0, 1] {
        proxied.endpoint(endpoint, &json!({ "cut": true })).await?;
    }
    let mut outcomes = driver.await?;
    proof::finish(&callers[1..], &mut outcomes).await;
    proof::check_recorded(&callers[1..], &outcomes).await;
    proxied.reach_directly();
    let summary = proof::check(&outcomes, &proof::executions(&proxied.fleet).await?);
    assert!(summary.answered + summary.unknown >= 800, "refused for good: {summary:?}");
    assert!(summary.unknown > 20, "the wave had no effect: {summary:?}");
    Ok(())
}
