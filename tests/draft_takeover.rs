//! Guards against drafts that are lost, run by two nodes or refused with a wrong run state.

mod callers;
mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use standin::client;
use standin::fleet::Fleet;

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

const ENGINE: [&str; 6] = ["--gap-ms", "12", "--batch", "128", "--slots", "512"];
const CHAT: &str = "/v1/chat/completions";
const ASYNC: (&str, &str) = ("prefer", "respond-async");

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

fn prompt(number: usize) -> String {
    format!("workshop report {number} on a cast iron pan")
}

/// Sends drafts and returns their numbers and locations.
async fn send(
    entry: SocketAddr,
    numbers: std::ops::Range<usize>,
    tokens: u32,
) -> std::result::Result<Vec<(usize, String)>, Box<dyn std::error::Error>> {
    let mut sent = Vec::new();
    for number in numbers {
        let body = common::chat(&prompt(number), tokens, false);
        let answer = common::send(entry, "POST", CHAT, &[ASYNC], &body).await?;
        assert_eq!(answer.status, 202, "{}", answer.text());
        sent.push((number, answer.header("location").to_owned()));
    }
    Ok(sent)
}

/// Requests every draft until it is complete and checks its content.
async fn fetch(entry: SocketAddr, drafts: &[(usize, String)], tokens: u64) -> Result {
    let deadline = Instant::now() + Duration::from_secs(25);
    for (number, location) in drafts {
        loop {
            let answer = common::send(entry, "GET", location, &[], "").await?;
            if answer.status == 200 {
                let content = &answer.json()["choices"][0]["message"]["content"];
                let expected = callers::expected(&prompt(*number), tokens);
                assert_eq!(*content, json!(expected), "draft {location}");
                break;
            }
            assert_eq!(answer.status, 202, "{location}: {}", answer.text());
            assert!(Instant::now() < deadline, "draft {location} did not complete in time");
            pause(100).await;
        }
    }
    Ok(())
}

/// Counts how often each draft was taken over.
fn takeovers(fleet: &Fleet) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for entry in &fleet.entries {
        for line in fleet.log(&entry.name).lines() {
            let Some((_, rest)) = line.split_once("stream: ") else { continue };
            if let Some((id, _)) = rest.split_once(" taken over") {
                *counts.entry(id.to_owned()).or_default() += 1;
            }
        }
    }
    counts
}

/// Guards against a draft without a location and against one that only the node that accepted it
/// can return.
#[tokio::test(flavor = "multi_thread")]
async fn draft_readable_anywhere() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = callers::start(&dir, 2, 2, &ENGINE, 20_000).await?;
    let (first, other) = (fleet.entries[0].callers, fleet.entries[1].callers);
    let drafts = send(first, 0..5, 250).await?;
    let early = common::send(other, "GET", &drafts[0].1, &[], "").await?;
    assert_eq!(early.status, 202, "{}", early.text());
    assert_eq!(early.json()["status"], json!("in_progress"));
    fetch(other, &drafts, 250).await?;
    fetch(first, &drafts, 250).await?;
    assert!(takeovers(&fleet).is_empty(), "a draft was taken over although its node was alive");
    for location in ["/v1/drafts/entry-1~1-1", "/v1/drafts/nonsense"] {
        let answer = common::send(other, "GET", location, &[], "").await?;
        assert_eq!(answer.status, 404, "{location}: {}", answer.text());
    }
    let anonymous = client::call(other, "GET", &drafts[0].1, &[], "").await?;
    assert_eq!(anonymous.status, 401);
    Ok(())
}

/// Guards against a draft that is lost with its node or taken over by more than one other node. All
/// answers must be stored without further requests by callers.
#[tokio::test(flavor = "multi_thread")]
async fn one_node_takes_over() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 4, 3, &ENGINE, 20_000).await?;
    pause(500).await;
    let drafts = send(fleet.entries[0].callers, 0..30, 150).await?;
    fleet.entries[0].process.kill();
    // Callers request the drafts from two other nodes at once while the membership detects the
    // death.
    let reads = futures_util::future::join_all(drafts.iter().flat_map(|(_, location)| {
        [1, 2].map(|index| common::send(fleet.entries[index].callers, "GET", location, &[], ""))
    }));
    for answer in reads.await {
        let answer = answer?;
        assert!(matches!(answer.status.as_u16(), 200 | 202), "{}", answer.text());
    }
    pause(6_000).await;
    let mut stored = 0;
    for (_, location) in &drafts {
        let id = location.trim_start_matches("/v1/drafts/");
        let key = format!("/objects/draft/{id}/answer");
        stored +=
            usize::from(client::call(fleet.platform, "GET", &key, &[], "").await?.status == 200);
    }
    println!("answers stored without further requests: {stored} of {}", drafts.len());
    assert_eq!(stored, drafts.len());
    fetch(fleet.entries[3].callers, &drafts, 150).await?;
    let counts = takeovers(&fleet);
    println!("drafts taken over: {}", counts.len());
    assert_eq!(counts.len(), drafts.len());
    assert!(counts.values().all(|&count| count == 1), "taken over twice: {counts:?}");
    Ok(())
}

/// Guards against a draft that is lost in a planned stop or run by a second node besides the one to
/// which it was handed over.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_loses_draft() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 3, 3, &ENGINE, 4_500).await?;
    pause(500).await;
    let drafts = send(fleet.entries[0].callers, 0..20, 300).await?;
    fleet.entries[0].process.terminate();
    let code = fleet.entries[0].process.wait(Duration::from_secs(6)).await;
    assert_eq!(code, Some(0));
    fetch(fleet.entries[1].callers, &drafts, 300).await?;
    fetch(fleet.entries[2].callers, &drafts, 300).await?;
    let counts = takeovers(&fleet);
    assert_eq!(counts.len(), drafts.len());
    assert!(counts.values().all(|&count| count == 1), "taken over twice: {counts:?}");
    Ok(())
}

/// Guards against a draft that is accepted although it was not stored, an error with a wrong run
/// state, and an accepted draft that is lost in an outage.
#[tokio::test(flavor = "multi_thread")]
async fn outage_refuses_drafts() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = callers::start(&dir, 2, 2, &ENGINE, 20_000).await?;
    let entry = fleet.entries[0].callers;
    let drafts = send(entry, 0..3, 100).await?;
    // The accepted drafts have to reach their engines before the outage begins.
    pause(500).await;
    let before = engine_requests(&fleet).await?;
    fleet.control("POST", "/control/faults", &json!({ "outage": true })).await?;
    let body = common::chat(&prompt(100), 20, false);
    for _ in 0..5 {
        let answer = common::send(entry, "POST", CHAT, &[ASYNC], &body).await?;
        assert_eq!(answer.status, 503, "{}", answer.text());
        assert_eq!(answer.header("x-request-run"), "no");
        assert_eq!(answer.json()["error"]["kind"], json!("platform_down"));
    }
    let chat = common::send(entry, "POST", CHAT, &[], &body).await?;
    assert_eq!(chat.status, 200, "a chat needs no platform: {}", chat.text());
    pause(2_000).await;
    fleet.control("POST", "/control/faults", &json!({ "outage": false })).await?;
    fetch(fleet.entries[1].callers, &drafts, 100).await?;
    assert_eq!(engine_requests(&fleet).await?, before + 1, "a refused draft was run");
    Ok(())
}

async fn engine_requests(fleet: &Fleet) -> std::io::Result<u64> {
    let mut sum = 0;
    for endpoint in fleet.endpoints.iter().filter(|endpoint| &*endpoint.vm.pool == "engines") {
        sum += callers::counter(endpoint.vm.address, "requests").await?;
    }
    Ok(sum)
}
