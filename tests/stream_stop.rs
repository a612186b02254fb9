//! Guards against requests that are cut by a planned stop, and streams lost with an entry VM.

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

/// Terminates an entry VM and checks its exit code and the bound of the stop.
async fn stop(fleet: &mut Fleet, index: usize, bound: Duration) -> Result {
    let process = &mut fleet.entries[index].process;
    let began = Instant::now();
    process.terminate();
    let code = process.wait(bound + Duration::from_secs(1)).await;
    println!("planned stop took {:?}", began.elapsed());
    assert_eq!(code, Some(0), "exit code of the stopped daemon");
    assert!(began.elapsed() < bound + Duration::from_millis(500), "the stop took too long");
    Ok(())
}

/// Guards against a stop that cuts a stream, a whole answer or a request that has just arrived, or
/// that hands over what it had time to finish.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_nothing() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 3, 3, &ENGINE, 20_000).await?;
    let load = callers::Load::start(&callers::Balancer::new(&fleet), 90, 500, 60, true);
    pause(1_500).await;
    stop(&mut fleet, 1, Duration::from_secs(20)).await?;
    let seen = load.finish().await?;
    callers::print("planned stop", &seen);
    assert_eq!(seen.len(), 500);
    for one in &seen {
        assert_eq!((one.resumes, one.resent), (0, 0), "a request was cut: {one:?}");
    }
    Ok(())
}

/// Guards against a stream or a whole answer that is lost because it lasts longer than the stop.
#[tokio::test(flavor = "multi_thread")]
async fn long_streams_are_handed_over() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 3, 3, &ENGINE, 5_000).await?;
    let load = callers::Load::start(&callers::Balancer::new(&fleet), 60, 60, 200, true);
    let slow = callers::Load::start(&callers::Balancer::new(&fleet), 30, 30, 350, true);
    pause(1_000).await;
    stop(&mut fleet, 1, Duration::from_secs(5)).await?;
    let mut seen = load.finish().await?;
    seen.extend(slow.finish().await?);
    callers::print("stop of long streams", &seen);
    callers::print_hand_overs(&fleet);
    assert_eq!(seen.len(), 90);
    assert!(fleet.log("entry-2").contains("handed over"), "no stream was handed over");
    assert!(seen.iter().any(|one| one.resumes > 0), "no stream was resumed");
    assert_eq!(seen.iter().map(|one| one.resent).sum::<usize>(), 0, "a request was cut");
    Ok(())
}

/// Guards against streams that are lost with the process of their entry VM: the prompt survives at
/// a peer in another failure domain, and a third entry VM serves the caller.
#[tokio::test(flavor = "multi_thread")]
async fn killed_entry_loses_no_stream() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 4, 3, &ENGINE, 20_000).await?;
    let load = callers::Load::start(&callers::Balancer::new(&fleet), 100, 600, 100, false);
    pause(1_200).await;
    fleet.entries[2].process.kill();
    // Time for the others to find the node dead and to copy again what it held.
    pause(3_500).await;
    fleet.entries[0].process.freeze();
    pause(2_500).await;
    fleet.entries[0].process.kill();
    let seen = load.finish().await?;
    callers::print("killed entry VMs", &seen);
    assert_eq!(seen.len(), 600);
    assert!(seen.iter().any(|one| one.resumes > 0), "no stream was cut by the kills");
    let mut copies = 0;
    let mut sent = 0;
    for index in [1, 3] {
        let operators = fleet.entries[index].operators;
        copies += callers::metric(operators, "pomelolink_copies_total{result=\"held\"}").await?;
        sent += callers::metric(operators, "pomelolink_peer_sent_bytes").await?;
    }
    let mut recomputed = 0;
    for index in [1, 3] {
        let operators = fleet.entries[index].operators;
        recomputed += callers::metric(operators, "pomelolink_recomputed_tokens_total").await?;
    }
    println!("recomputed tokens {recomputed}, copies held {copies}, bytes sent to peers {sent}");
    Ok(())
}

/// Guards against a caller that has an answer's beginning while no peer holds the prompt yet: the
/// peer that should hold it is frozen when the entry VM is killed.
#[tokio::test(flavor = "multi_thread")]
async fn begun_streams_have_a_copy() -> Result {
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
    while let Some(seen) = streams.join_next().await {
        seen??;
    }
    Ok(())
}

/// Guards against a stream whose caller meets three entry VMs in turn: one that accepts it, one
/// that dies while the caller resumes there, and a third one.
#[tokio::test(flavor = "multi_thread")]
async fn third_entry_goes_on() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 4, 2, &ENGINE, 20_000).await?;
    let (prompt, tokens) = ("a plan for four wardrobes".to_owned(), 250);
    let balancer = callers::Balancer::new(&fleet);
    let caller = tokio::spawn(callers::stream(balancer, 0, prompt, tokens));
    pause(800).await;
    fleet.entries[0].process.kill();
    pause(1_200).await;
    fleet.entries[1].process.kill();
    let seen = caller.await??;
    callers::print("third entry VM", std::slice::from_ref(&seen));
    assert!(seen.resumes >= 2, "the caller resumed only {} times", seen.resumes);
    assert!(seen.visited.contains(&fleet.entries[2].callers));
    Ok(())
}

/// Guards against a whole-answer caller of another workspace or an unknown id getting a stream.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_stream_is_gone() -> Result {
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
