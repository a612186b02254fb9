//! Guards against writes of claim rows that are lost, too large or endlessly retried, and against
//! claim rows that are never removed.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use pomelolink::claim::batch::{Batcher, Put, Reply};
use pomelolink::claim::{Answer, Row, State, attempt, retain};
use pomelolink::platform::{Client, Outcome, Query, Transaction};
use serde_json::json;
use standin::{client, fleet, platform};
use tokio::net::TcpListener;
use tokio::time::Instant;

type Result<T = ()> = std::result::Result<T, Box<dyn std::error::Error>>;

const WINDOW: Duration = Duration::from_millis(5);

async fn start() -> Result<(SocketAddr, Client, Batcher)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(platform::run(listener, platform::Options::default()));
    let client = Client::new(address, Duration::from_millis(500));
    Ok((address, client.clone(), Batcher::start(client, WINDOW)))
}

async fn transactions(platform: SocketAddr) -> Result<u64> {
    let answer = client::call(platform, "GET", "/control/counters", &[], "").await?;
    Ok(answer.json()["transactions"].as_u64().unwrap_or_default())
}

fn attempt(key: &str, id: &str, timeout: Duration) -> attempt::Attempt {
    attempt::Attempt {
        key: format!("claim/w/s/{key}"),
        id: id.into(),
        digest: "same".into(),
        deadline: Instant::now() + timeout,
    }
}

fn put(key: &str, version: Option<u64>, text: &str) -> Put {
    let deadline = Instant::now() + Duration::from_secs(5);
    Put { key: key.to_owned(), version, value: json!(text), deadline }
}

/// Guards against a batch that is retried endlessly because the row of one of its writes was
/// deleted.
#[tokio::test(flavor = "multi_thread")]
async fn deleted_row() -> Result {
    let (_, _, batcher) = start().await?;
    let puts = ["a", "b", "c"].map(|key| batcher.put(put(key, None, "new")));
    let gone = batcher.put(put("gone", Some(77), "old"));
    let (replies, gone) =
        futures_util::future::join(futures_util::future::join_all(puts), gone).await;
    assert!(replies.iter().all(|reply| matches!(reply, Reply::Done(_))), "{replies:?}");
    assert_eq!(gone, Reply::Conflict(None));
    Ok(())
}

/// Guards against a batch of large recorded answers that exceeds the platform's size limit.
#[tokio::test(flavor = "multi_thread")]
async fn large_answers() -> Result {
    let (address, client, batcher) = start().await?;
    let text = "x".repeat(400 << 10);
    let keys: Vec<String> = (0..40).map(|number| format!("large-{number}")).collect();
    let puts = keys.iter().map(|key| batcher.put(put(key, None, &text)));
    let replies = futures_util::future::join_all(puts).await;
    assert!(replies.iter().all(|reply| matches!(reply, Reply::Done(_))), "{replies:?}");
    assert!(transactions(address).await? >= 20, "a transaction holds at most 1 MiB");
    let query = Query { keys: keys[20..22].to_vec(), prefixes: Vec::new() };
    assert_eq!(client.read(&query).await?.len(), 2);
    Ok(())
}

/// Guards against a key that stays claimed after the request was refused because the answer to the
/// claim's write was lost.
#[tokio::test(flavor = "multi_thread")]
async fn key_released_after_outage() -> Result {
    let (address, client, batcher) = start().await?;
    // The claim takes effect, but the answers to it and to the reads arrive after the client's
    // timeout.
    let faults = json!({ "slow_ms": 700 });
    fleet::control(address, "POST", "/control/faults", &faults).await?;
    let first = attempt("k", "one", Duration::from_millis(1_200));
    let refused = attempt::claim(&client, &batcher, first).await;
    assert!(refused.is_err(), "{refused:?}");
    fleet::control(address, "POST", "/control/faults", &json!({ "slow_ms": 0 })).await?;
    // If the key were not released, the claim would expire 5 s after the attempt's deadline.
    let second = attempt("k", "two", Duration::from_millis(3_500));
    let claim = attempt::claim(&client, &batcher, second).await;
    assert!(matches!(claim, Ok(attempt::Claim::Started(_))), "{claim:?}");
    Ok(())
}

/// Guards against a put that returns long after its deadline because a transaction hangs.
#[tokio::test(flavor = "multi_thread")]
async fn put_exceeds_deadline() -> Result {
    let (address, _, _) = start().await?;
    let batcher = Batcher::start(Client::new(address, Duration::from_secs(8)), WINDOW);
    let faults = json!({ "outage": true, "mode": "hang" });
    fleet::control(address, "POST", "/control/faults", &faults).await?;
    let mut late = put("k", None, "v");
    late.deadline = Instant::now() + Duration::from_millis(100);
    let started_at = Instant::now();
    assert_eq!(batcher.put(late).await, Reply::Unknown);
    assert!(started_at.elapsed() < Duration::from_secs(6), "{:?}", started_at.elapsed());
    Ok(())
}

fn row(state: State, until_ms: u64) -> Result<serde_json::Value> {
    let row = Row { state, attempt: "a".into(), digest: "d".into(), until_ms };
    Ok(serde_json::to_value(row)?)
}

/// Guards against claim rows that are never removed, are removed too early, or take one transaction
/// each.
#[tokio::test(flavor = "multi_thread")]
async fn expired_rows_removed() -> Result {
    let (address, client, _) = start().await?;
    let now_ms = attempt::unix_ms();
    let old_ms = now_ms - u64::try_from(retain::RETENTION.as_millis())? - 60_000;
    let answer = Answer { status: 201, headers: Vec::new(), body: "00".to_owned() };
    let mut transaction = Transaction::default();
    for number in 0..1_000 {
        let until_ms = if number % 4 == 0 { now_ms } else { old_ms };
        let state = match number % 3 {
            0 => State::Done(answer.clone()),
            1 => State::Started,
            _ => State::Claimed,
        };
        transaction.put(&format!("claim/w/s/{number:04}"), None, row(state, until_ms)?);
    }
    transaction.put("claim/w/s/broken", None, json!("not a claim"));
    assert!(matches!(client.transact(&transaction).await, Outcome::Done(_)));
    let before = transactions(address).await?;
    let swept = retain::sweep(&client, "claim/w/s/", now_ms).await?;
    assert_eq!(swept, retain::Sweep { rows: 1_001, removed: 750 });
    assert_eq!(transactions(address).await? - before, 1);
    let again = retain::sweep(&client, "claim/w/s/", now_ms).await?;
    assert_eq!(again, retain::Sweep { rows: 251, removed: 0 });
    assert_eq!(transactions(address).await? - before, 1);
    Ok(())
}

/// Guards against slices that grow without bound, or that alternate between two sizes.
#[test]
fn slice_size_converges() {
    let converge = |total: u64| {
        let mut digits = 4;
        for _ in 0..16 {
            let rows = usize::try_from(total >> (4 * digits)).unwrap_or(usize::MAX);
            digits = retain::next_digits(digits, rows);
        }
        (digits, total >> (4 * digits))
    };
    assert_eq!(converge(10), (0, 10));
    for total in [1_000, 5_000, 70_000, 1_000_000, 26_000_000, 900_000_000] {
        let (digits, rows) = converge(total);
        assert!((32..=1_024).contains(&rows), "{total} rows: {rows} with {digits} digits");
    }
}

/// Guards against two attempts that take over the same expired claim and both start the request.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_takeover() -> Result {
    let (_, client, _) = start().await?;
    // Each attempt of a key has its own batcher, as on different nodes.
    let batchers: Vec<Batcher> = (0..5).map(|_| Batcher::start(client.clone(), WINDOW)).collect();
    let mut expired = Transaction::default();
    for number in 0..200 {
        let row = Row {
            state: State::Claimed,
            attempt: "dead".into(),
            digest: "same".into(),
            until_ms: 0,
        };
        expired.put(&format!("claim/w/s/race-{number}"), None, serde_json::to_value(row)?);
    }
    assert!(matches!(client.transact(&expired).await, Outcome::Done(_)));
    let keys = stream::iter(0..200).map(|number| {
        let (client, batchers) = (client.clone(), batchers.clone());
        async move {
            let claims = batchers.iter().enumerate().map(|(node, batcher)| {
                let id = format!("{number}-{node}");
                let timeout = Duration::from_millis(2_000);
                let attempt = attempt(&format!("race-{number}"), &id, timeout);
                attempt::claim(&client, batcher, attempt)
            });
            let claims = futures_util::future::join_all(claims).await;
            claims.iter().filter(|claim| matches!(claim, Ok(attempt::Claim::Started(_)))).count()
        }
    });
    let started: Vec<usize> = keys.buffer_unordered(100).collect().await;
    assert!(started.iter().all(|&count| count == 1), "starts per key: {started:?}");
    Ok(())
}
