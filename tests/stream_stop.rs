//! Guards against requests that a planned stop interrupts, and streams that are lost with an entry
//! VM.

mod callers;
mod common;

use std::time::{Duration, Instant};

use standin::client;
use standin::fleet::Fleet;

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

const ENGINE: [&str; 6] = ["--gap-ms", "12", "--batch", "128", "--slots", "512"];

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Terminates the daemon of an entry VM and checks its exit code and the duration of the stop.
async fn stop(fleet: &mut Fleet, index: usize, time_limit: Duration) -> Result {
    let process = &mut fleet.entries[index].process;
    let start = Instant::now();
    process.terminate();
    let code = process.wait(time_limit + Duration::from_secs(1)).await;
    println!("planned stop took {:?}", start.elapsed());
    assert_eq!(code, Some(0), "exit code of the stopped daemon");
    assert!(start.elapsed() < time_limit + Duration::from_millis(500), "the stop took too long");
    Ok(())
}

/// Guards against a stop that interrupts a streamed or complete response or a request that has just
/// arrived, or that hands over a stream which it had time to finish.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_interrupts_nothing() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 3, 3, &ENGINE, 20_000).await?;
    let load = callers::Load::start(&callers::Balancer::new(&fleet), 90, 500, 60, true);
    pause(1_500).await;
    stop(&mut fleet, 1, Duration::from_secs(20)).await?;
    let outcomes = load.finish().await?;
    callers::print("planned stop", &outcomes);
    assert_eq!(outcomes.len(), 500);
    for outcome in &outcomes {
        assert_eq!(
            (outcome.resumes, outcome.resent),
            (0, 0),
            "a request was interrupted: {outcome:?}"
        );
    }
    Ok(())
}

/// Guards against a streamed or complete response that is lost because it takes longer than the
/// stop.
#[tokio::test(flavor = "multi_thread")]
async fn long_streams_are_handed_over() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 3, 3, &ENGINE, 5_000).await?;
    let load = callers::Load::start(&callers::Balancer::new(&fleet), 60, 60, 200, true);
    let longer_load = callers::Load::start(&callers::Balancer::new(&fleet), 30, 30, 350, true);
    pause(1_000).await;
    stop(&mut fleet, 1, Duration::from_secs(5)).await?;
    let mut outcomes = load.finish().await?;
    outcomes.extend(longer_load.finish().await?);
    callers::print("stop of long streams", &outcomes);
    callers::print_hand_overs(&fleet);
    assert_eq!(outcomes.len(), 90);
    assert!(fleet.log("entry-2").contains("handed over"), "no stream was handed over");
    assert!(outcomes.iter().any(|outcome| outcome.resumes > 0), "no stream was resumed");
    assert_eq!(
        outcomes.iter().map(|outcome| outcome.resent).sum::<usize>(),
        0,
        "a request was interrupted"
    );
    Ok(())
}

/// Guards against streams that are lost because the daemon of their entry VM is killed. A peer in
/// another failure domain stores the prompt, and a third entry VM serves the caller.
#[tokio::test(flavor = "multi_thread")]
async fn killed_entry_loses_no_stream() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 4, 3, &ENGINE, 20_000).await?;
    let load = callers::Load::start(&callers::Balancer::new(&fleet), 100, 600, 100, false);
    pause(1_200).await;
    fleet.entries[2].process.kill();
    // Time for the others to detect the failure and to replace the copies that the node stored.
    pause(3_500).await;
    fleet.entries[0].process.freeze();
    pause(2_500).await;
    fleet.entries[0].process.kill();
    let outcomes = load.finish().await?;
    callers::print("killed entry VMs", &outcomes);
    assert_eq!(outcomes.len(), 600);
    assert!(
        outcomes.iter().any(|outcome| outcome.resumes > 0),
        "no stream was interrupted by the kills"
    );
    let mut copies = 0;
    let mut sent_bytes = 0;
    for index in [1, 3] {
        let operators = fleet.entries[index].operators;
        copies += callers::metric(operators, "pomelolink_copies_total{result=\"held\"}").await?;
        sent_bytes += callers::metric(operators, "pomelolink_peer_sent_bytes").await?;
    }
    let mut recomputed = 0;
    for index in [1, 3] {
        let operators = fleet.entries[index].operators;
        recomputed += callers::metric(operators, "pomelolink_recomputed_tokens_total").await?;
    }
    println!(
        "recomputed tokens {recomputed}, copies held {copies}, bytes sent to peers {sent_bytes}"
    );
    Ok(())
}

/// Guards against a response that starts before a peer stores the prompt: one peer is frozen while
/// the streams start, and then the entry VM is killed.
#[tokio::test(flavor = "multi_thread")]
async fn started_streams_have_copy() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 3, 3, &ENGINE, 20_000).await?;
    fleet.joined().await?;
    let balancer = callers::Balancer::new(&fleet);
    fleet.entries[1].process.freeze();
    let mut streams = tokio::task::JoinSet::new();
    for number in 0..16 {
        let prompt = format!("question {number} about a wok");
        streams.spawn(callers::stream(balancer.clone(), 0, prompt, 100));
    }
    pause(150).await;
    fleet.entries[0].process.kill();
    fleet.entries[1].process.resume();
    while let Some(outcome) = streams.join_next().await {
        outcome??;
    }
    Ok(())
}

/// Guards against a stream that is lost because two entry VMs die: the one that accepted it, and
/// then the one on which the caller resumed.
#[tokio::test(flavor = "multi_thread")]
async fn third_entry_continues_stream() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 4, 2, &ENGINE, 20_000).await?;
    let (prompt, tokens) = ("a plan for four wardrobes".to_owned(), 250);
    let balancer = callers::Balancer::new(&fleet);
    let caller = tokio::spawn(callers::stream(balancer, 0, prompt, tokens));
    pause(800).await;
    fleet.entries[0].process.kill();
    pause(1_200).await;
    fleet.entries[1].process.kill();
    let outcome = caller.await??;
    callers::print("third entry VM", std::slice::from_ref(&outcome));
    assert!(outcome.resumes >= 2, "the caller resumed only {} times", outcome.resumes);
    assert!(outcome.visited.contains(&fleet.entries[2].callers));
    Ok(())
}

/// Guards against a `Last-Event-ID` with an unknown or malformed stream id that is accepted.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_stream_is_rejected() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = callers::start(&dir, 2, 1, &ENGINE, 20_000).await?;
    let bearer = common::bearer();
    for (last, status) in [("entry-1~1-1.3", 410), ("nonsense", 400), ("entry-9~1-1.-1", 410)] {
        let headers = [("authorization", bearer.as_str()), ("last-event-id", last)];
        let chat = "/v1/chat/completions";
        let entry = fleet.entries[1].callers;
        let answer = client::call(entry, "POST", chat, &headers, "").await?;
        assert_eq!(answer.status, status, "{last}: {}", answer.text());
    }
    Ok(())
}
