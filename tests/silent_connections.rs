//! Guards requests against open connections that stop delivering data for good while new
//! connections work.

mod common;
mod proof;

use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use proof::{Load, Result, proxied};
use serde_json::json;

/// Guards against bookings that run twice or are refused wrongly when connections go silent while
/// bookings are in flight. `idle_connections_silenced` counts lost bookings.
#[tokio::test(flavor = "multi_thread")]
async fn in_flight_bookings_silenced() -> Result {
    let dir = tempfile::tempdir()?;
    let mut proxied = proxied::start(&dir, 2, 2).await?;
    let callers = proof::callers(&proxied.fleet);
    let load = Load { rate: 250, deadline_ms: 2_000, ..Load::new("silent", 1_200) };
    let driver = tokio::spawn(proof::drive(callers.clone(), load));
    for _ in 0..4 {
        proof::pause(900).await;
        proxied.endpoints(&json!({ "silent": true })).await?;
    }
    let mut outcomes = driver.await?;
    proof::finish(&callers, &mut outcomes).await;
    proof::check_recorded(&callers, &outcomes).await;
    proxied.reach_directly();
    let summary = proof::check(&outcomes, &proof::executions(&proxied.fleet).await?);
    assert!(summary.answered + summary.unknown >= 800, "refused for good: {summary:?}");
    assert!(summary.answered >= 1_150, "bookings were lost on silent connections: {summary:?}");
    Ok(())
}

/// Guards against bookings that are sent on idle connections which have just gone silent. No
/// booking was in flight at that time, so none may be lost.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_silenced() -> Result {
    let dir = tempfile::tempdir()?;
    let mut proxied = proxied::start(&dir, 1, 2).await?;
    let callers = proof::callers(&proxied.fleet);
    let mut outcomes = Vec::new();
    for name in ["burst-a", "burst-b", "burst-c", "burst-d"] {
        let load = Load { deadline_ms: 3_000, concurrency: 48, ..Load::new(name, 250) };
        outcomes.extend(proof::drive(callers.clone(), load).await);
        proxied.endpoints(&json!({ "silent": true })).await?;
    }
    proxied.reach_directly();
    let summary = proof::check(&outcomes, &proof::executions(&proxied.fleet).await?);
    assert_eq!(summary.unknown, 0, "bookings were put on silent connections: {summary:?}");
    assert!(summary.answered > 900, "{summary:?}");
    Ok(())
}

/// Guards against lookups that wait on a silent connection until their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn lookups_silenced() -> Result {
    let dir = tempfile::tempdir()?;
    let proxied = proxied::start(&dir, 1, 4).await?;
    let entry = proxied.fleet.entries[0].callers;
    let mut slow = Vec::new();
    for round in 0..6 {
        let calls = (0..250).map(|number| async move {
            let began = Instant::now();
            let path = format!("/booking/orders/order-{number}");
            let headers = [("x-deadline-ms", "4000")];
            let answer = common::send(entry, "GET", &path, &headers, "").await?;
            assert_eq!(answer.status, 200, "{}", answer.text());
            assert_eq!(answer.json()["id"], json!(format!("order-{number}")));
            Ok::<_, std::io::Error>(began.elapsed())
        });
        let times: Vec<_> = stream::iter(calls).buffer_unordered(16).collect().await;
        for time in times {
            let time = time?;
            if round > 0 && time > Duration::from_secs(2) {
                slow.push(time);
            }
        }
        proxied.endpoints(&json!({ "silent": true })).await?;
        if round % 2 == 0 {
            // Longer than the idle time after which a connection is probed before it is used again.
            proof::pause(600).await;
        }
    }
    assert!(slow.is_empty(), "{} lookups waited on silent connections", slow.len());
    Ok(())
}
