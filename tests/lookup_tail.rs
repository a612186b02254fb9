//! Guards the tail latency of lookups against one slow endpoint among many.

mod common;
mod proof;

use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use proof::Result;
use serde_json::json;
use standin::fleet;

const SERVICES: usize = 24;
const DELAY_MS: u64 = 400;

/// Guards against lookups that wait for a slow endpoint although other endpoints respond at once.
/// About 4 in 100 lookups are sent to the slow endpoint, but fewer than 2 in 100 may take as long
/// as its delay.
#[tokio::test(flavor = "multi_thread")]
async fn one_slow_endpoint() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = proof::fleet(&dir, 1, SERVICES).await?;
    let slow = fleet.endpoints[0].vm.address;
    let entry = fleet.entries[0].callers;
    let send_lookups = |count: usize| {
        stream::iter(0..count)
            .map(move |number| async move {
                let began = Instant::now();
                let path = format!("/booking/orders/order-{number}");
                let answer = common::send(entry, "GET", &path, &[], "").await?;
                assert_eq!(answer.json()["id"], json!(format!("order-{number}")));
                Ok::<_, std::io::Error>(began.elapsed())
            })
            .buffer_unordered(1)
            .collect::<Vec<_>>()
    };
    send_lookups(500).await;
    fleet::control(slow, "POST", "/control/faults", &json!({ "delay_ms": DELAY_MS })).await?;
    let mut times = send_lookups(1_000).await.into_iter().collect::<std::io::Result<Vec<_>>>()?;
    times.sort();
    let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    let late = times.iter().filter(|time| **time >= Duration::from_millis(DELAY_MS)).count();
    println!("p50 {:?}, p98 {:?}, p99 {:?}", quantile(0.5), quantile(0.98), quantile(0.99));
    println!("{late} of {} took the delay or longer", times.len());
    assert!(late * 50 < times.len(), "{late} lookups waited for the slow endpoint");
    Ok(())
}
