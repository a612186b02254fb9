//! Guards bookings against a platform that is down, hangs, is slow or loses responses.

mod common;
mod proof;

use proof::{Load, Result};
use serde_json::{Value, json};

/// Switches platform faults on and off while bookings are sent, then checks every outcome.
async fn with_faults(name: &'static str, faults: Value, endpoint: Value) -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = proof::fleet(&dir, 3, 2).await?;
    let callers = proof::callers(&fleet);
    // Bookings are sent throughout all faults, and each fault lasts longer than the deadline of a
    // booking.
    let load = Load { rate: 250, concurrency: 500, ..Load::new(name, 1_200) };
    let load = Load { deadline_ms: 600, pause_ms: 700, ..load };
    let driver = tokio::spawn(proof::drive(callers.clone(), load));
    let platform_ok = json!({ "outage": false, "slow_ms": 0, "lose_share": 0.0 });
    let endpoints_ok = json!({ "drop_before": 0.0, "drop_after": 0.0, "truncate": 0.0 });
    for _ in 0..4 {
        proof::pause(600).await;
        proof::set_platform(&fleet, &faults).await?;
        proof::set_endpoints(&fleet, &endpoint).await?;
        proof::pause(800).await;
        proof::set_platform(&fleet, &platform_ok).await?;
        proof::set_endpoints(&fleet, &endpoints_ok).await?;
    }
    let mut outcomes = driver.await?;
    proof::finish(&callers, &mut outcomes).await;
    proof::check_recorded(&callers, &outcomes).await;
    let summary = proof::check(&outcomes, &proof::executions(&fleet).await?);
    // Two thirds of the bookings are repeated; each of these receives its answer unless the answer
    // was lost.
    assert!(summary.answered + summary.unknown >= 800, "refused for good: {summary:?}");
    assert!(summary.answered >= 600, "too few answers for a proof: {summary:?}");
    let lost = proof::platform_counter(&fleet, "answers_lost").await?;
    let affected = lost + summary.refused_not_run as u64;
    assert!(affected > 10, "the fault had no effect: {lost} answers lost, {summary:?}");
    Ok(())
}

/// Guards against bookings that run or are refused wrongly while the platform responds with 503.
#[tokio::test(flavor = "multi_thread")]
async fn platform_outage() -> Result {
    with_faults("outage", json!({ "outage": true, "mode": "refuse" }), json!({})).await
}

/// Guards against bookings that run after they were refused because a write took effect late.
#[tokio::test(flavor = "multi_thread")]
async fn platform_hangs() -> Result {
    with_faults("hang", json!({ "outage": true, "mode": "hang" }), json!({})).await
}

/// Guards against slow responses that are treated as failures. The delay is longer than the timeout
/// of the client, so writes take effect after the client has timed out.
#[tokio::test(flavor = "multi_thread")]
async fn platform_slow() -> Result {
    with_faults("slow", json!({ "slow_ms": 600 }), json!({})).await
}

/// Guards against a write that took effect and is treated as one that did not.
#[tokio::test(flavor = "multi_thread")]
async fn table_answers_lost() -> Result {
    with_faults("lost", json!({ "lose_share": 0.3 }), json!({})).await
}

/// Guards against bookings that run twice or are refused wrongly when responses of the table are
/// lost and endpoints drop connections.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_and_drops() -> Result {
    let endpoint = json!({ "drop_before": 0.1, "drop_after": 0.1, "truncate": 0.1 });
    with_faults("both", json!({ "lose_share": 0.2 }), endpoint).await
}
