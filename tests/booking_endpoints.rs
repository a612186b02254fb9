//! Guards bookings against endpoints that drop connections, truncate responses or return the
//! response to another request.

mod common;
mod proof;

use proof::{Load, Result};
use serde_json::json;

/// Sends bookings while the endpoint faults are active all the time, then checks every outcome.
async fn with_faults(name: &'static str, keyed: bool, faults: serde_json::Value) -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = proof::fleet(&dir, 2, 2).await?;
    proof::set_endpoints(&fleet, &faults).await?;
    let load = Load { keyed, deadline_ms: 1_000, concurrency: 96, ..Load::new(name, 1_000) };
    let callers = proof::callers(&fleet);
    let outcomes = proof::drive(callers.clone(), load).await;
    let none = json!({ "drop_before": 0.0, "drop_after": 0.0, "truncate": 0.0, "wrong_id": 0.0 });
    proof::set_endpoints(&fleet, &none).await?;
    if keyed {
        proof::check_recorded(&callers, &outcomes).await;
    }
    let summary = proof::check(&outcomes, &proof::executions(&fleet).await?);
    assert!(summary.answered > 500, "too few answers for a proof: {summary:?}");
    assert!(summary.unknown > 20, "the fault had no effect: {summary:?}");
    Ok(())
}

/// Guards against a booking that runs twice after an endpoint closed the connection before it ran
/// the booking.
#[tokio::test(flavor = "multi_thread")]
async fn dropped_before_running() -> Result {
    with_faults("before", true, json!({ "drop_before": 0.1 })).await
}

/// Guards against a booking that runs twice after it ran and its response was lost.
#[tokio::test(flavor = "multi_thread")]
async fn dropped_after_running() -> Result {
    with_faults("after", true, json!({ "drop_after": 0.1 })).await
}

/// Guards against truncated responses that are relayed as complete, while other responses are lost.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_and_dropped() -> Result {
    with_faults("cut", true, json!({ "truncate": 0.1, "drop_after": 0.1 })).await
}

/// Guards against a response that reaches the caller of another request, and against a wrong run
/// state for a request to which an endpoint returned the response of another one.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers() -> Result {
    with_faults("crossed", true, json!({ "wrong_id": 0.1 })).await
}

/// Guards against an entry VM that retries a booking without an idempotency key.
#[tokio::test(flavor = "multi_thread")]
async fn unkeyed_booking_resent() -> Result {
    let faults = json!({ "drop_before": 0.05, "drop_after": 0.05, "wrong_id": 0.05 });
    with_faults("unkeyed", false, faults).await
}
