//! Guards against goodput that falls when callers send more requests than the endpoints can serve.

mod common;

use std::time::{Duration, Instant};

use standin::fleet::Fleet;

type Result<T = ()> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

const CHAT_PATH: &str = "/v1/chat/completions";
/// Requests per second that two engines with 8 streams each complete, at 20 tokens of 10 ms per
/// request: about 80.
const CAPACITY_PER_S: f64 = 80.0;
const PHASE_DURATION: Duration = Duration::from_secs(6);
const DEADLINE_MS: &str = "1000";

/// Counts the outcomes of the requests of one phase.
#[derive(Debug, Default)]
struct Tally {
    in_time: usize,
    refused: usize,
    /// Requests that were not refused and have no complete answer by the deadline.
    late: usize,
    transport_errors: usize,
}

/// Sends requests at a fixed rate, regardless of the answers.
async fn run_phase(fleet: &Fleet, rate: f64) -> Tally {
    let started = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    let mut number = 0;
    while started.elapsed() < PHASE_DURATION {
        let entry = fleet.entries[number % 2].callers;
        let body = common::chat(&format!("question {number} at {rate}"), 20, true);
        tasks.spawn(async move {
            let sent = Instant::now();
            let headers = [("x-deadline-ms", DEADLINE_MS)];
            let answer = common::send(entry, "POST", CHAT_PATH, &headers, &body).await;
            (answer, sent.elapsed())
        });
        number += 1;
        let next = started + Duration::from_secs_f64(f64::from(number as u32) / rate);
        tokio::time::sleep_until(next.into()).await;
    }
    let mut tally = Tally::default();
    while let Some(Ok((answer, elapsed))) = tasks.join_next().await {
        match answer {
            Ok(answer) if answer.status == 200 => {
                let is_complete = common::events(&answer.text()).done;
                // The margin of 100 ms covers the time for the caller's own connection.
                if is_complete && elapsed < Duration::from_millis(1_100) {
                    tally.in_time += 1;
                } else {
                    tally.late += 1;
                }
            }
            Ok(answer) if answer.header("x-request-run") == "no" => tally.refused += 1,
            Ok(_) => tally.late += 1,
            Err(_) => tally.transport_errors += 1,
        }
    }
    tally
}

/// Guards against goodput below 0.95 of its maximum while callers send three times the capacity.
#[tokio::test(flavor = "multi_thread")]
async fn goodput_stays_flat() -> Result {
    let dir = tempfile::tempdir()?;
    let engine = ["--gap-ms", "10", "--batch", "8", "--slots", "8"];
    let fleet = common::start(&dir, 2, 2, &engine).await?;
    fleet.joined().await?;
    run_phase(&fleet, CAPACITY_PER_S * 0.5).await;
    let mut most = 0;
    for load in [1.0, 1.25] {
        let tally = run_phase(&fleet, CAPACITY_PER_S * load).await;
        println!("{load}x: {tally:?}");
        most = most.max(tally.in_time);
    }
    let overload = run_phase(&fleet, CAPACITY_PER_S * 3.0).await;
    println!("3x: {overload:?}");
    most = most.max(overload.in_time);
    let ratio = overload.in_time as f64 / most as f64;
    println!("goodput at 3x against its maximum: {ratio:.3}");
    assert!(ratio >= 0.95, "{ratio:.3}");
    Ok(())
}
