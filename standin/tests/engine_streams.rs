//! Guards against an engine stand-in whose resumed streams differ or whose cache does not count.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Answer, get, listener, post, send};
use http::Method;
use serde_json::{Value, json};
use standin::engine;

async fn start(options: engine::Options) -> SocketAddr {
    let (listener, address) = listener().await;
    tokio::spawn(engine::run(listener, options));
    address
}

fn fast() -> engine::Options {
    engine::Options { gap_ms: 0.0, prefill_ms: 0.0, ..engine::Options::default() }
}

fn words(count: usize) -> String {
    (0..count).map(|word| format!("w{word} ")).collect()
}

fn request(prompt: &str, max_tokens: u64) -> Value {
    let messages = json!([{ "role": "user", "content": prompt }]);
    json!({ "model": "m", "messages": messages, "stream": true, "max_tokens": max_tokens })
}

async fn complete(to: SocketAddr, id: &str, body: Value) -> Answer {
    let headers = [("x-request-id", id)];
    let path = "/v1/chat/completions";
    send(to, Method::POST, path, &headers, body).await.expect("answer")
}

fn contents(answer: &Answer) -> Vec<String> {
    let events = answer.events();
    let content =
        |event: &Value| event["choices"][0]["delta"]["content"].as_str().map(str::to_owned);
    events.iter().filter_map(content).filter(|content| !content.is_empty()).collect()
}

#[tokio::test]
async fn a_resumed_stream_continues_identically_on_another_engine() {
    let (one, two) = (start(fast()).await, start(fast()).await);
    let prompt = words(40);
    let whole = complete(one, "r-1", request(&prompt, 200)).await;
    assert_eq!(whole.headers["x-request-id"], "r-1");
    assert_eq!(whole.headers["x-load"], "0,0");
    let tokens = contents(&whole);
    assert_eq!(tokens.len(), 200);
    let mut rest = request(&prompt, 200);
    rest["resume"] = json!({ "offset": 150, "tokens": &tokens[..150] });
    let resumed = complete(two, "r-1", rest).await;
    assert_eq!(contents(&resumed), tokens[150..]);
    let events = resumed.events();
    assert_eq!((&events[0]["index"], &events[0]["id"]), (&json!(150), &json!("r-1")));
    let last = events.last().expect("last chunk");
    assert_eq!(last["choices"][0]["finish_reason"], "stop");
    assert_eq!(last["usage"]["recomputed_tokens"], 190);
    assert_eq!(get(two, "/control/counters").await.json()["resume_mismatches"], 0);
}

#[tokio::test]
async fn a_shared_prefix_is_cached_until_it_is_evicted() {
    let to = start(engine::Options { cache_blocks: 4, ..fast() }).await;
    let cached = async |prompt: &str| {
        let answer = complete(to, "r", request(prompt, 1)).await;
        answer.events().last().expect("last chunk")["usage"]["cached_tokens"].clone()
    };
    assert_eq!(cached(&words(40)).await, 0);
    assert_eq!(cached(&(words(32) + "another end")).await, 32);
    assert_eq!(cached(&"x ".repeat(64)).await, 0);
    assert_eq!(cached(&words(40)).await, 0);
    let events = get(to, "/events?since=2").await.json();
    assert_eq!(events["events"][0]["sequence"], 3);
    let removed = |event: &&Value| event["change"] == "removed";
    assert!(events["events"].as_array().expect("list").iter().any(|event| removed(&event)));
}

#[tokio::test]
async fn imported_state_spares_the_prefill_of_a_resumed_stream() {
    let (one, two) = (start(fast()).await, start(fast()).await);
    let prompt = words(40);
    let tokens = contents(&complete(one, "r-1", request(&prompt, 10)).await);
    let state = get(one, "/state/r-1").await.json();
    let path = "/state/r-1";
    let stored = send(two, Method::PUT, path, &[], state).await.expect("answer");
    assert_eq!(stored.status, 200);
    let mut rest = request(&prompt, 20);
    rest["resume"] = json!({ "offset": 10, "tokens": tokens });
    let resumed = complete(two, "r-1", rest).await;
    assert_eq!(resumed.events().last().expect("last chunk")["usage"]["recomputed_tokens"], 0);
    assert_eq!(get(two, "/state/unknown").await.status, 404);
}

#[tokio::test]
async fn a_cancelled_stream_ends_and_frees_its_slot() {
    let to = start(engine::Options { gap_ms: 3_600_000.0, slots: 1, ..fast() }).await;
    let first = tokio::spawn(complete(to, "r-1", request("a b", 5)));
    while get(to, "/control/counters").await.json()["running"] != 1 {
        tokio::task::yield_now().await;
    }
    assert_eq!(post(to, "/cancel/r-1", Value::Null).await.json()["cancelled"], 1);
    let answer = first.await.expect("task");
    let events = answer.events();
    let last = events.last().expect("last chunk");
    assert_eq!(last["choices"][0]["finish_reason"], "cancelled");
}

#[tokio::test]
async fn an_outdated_order_is_rejected_only_by_engines_that_check() {
    for (check_fencing, status) in [(true, 409), (false, 200)] {
        let to = start(engine::Options { check_fencing, ..fast() }).await;
        let order = |id: &str, fence: u64| json!({ "id": id, "fence": fence, "kind": "load" });
        assert_eq!(post(to, "/orders", order("o-1", 5)).await.status, 200);
        assert_eq!(post(to, "/orders", order("o-1", 5)).await.json()["repeated"], true);
        assert_eq!(post(to, "/orders", order("o-2", 4)).await.status, status);
        let counters = get(to, "/control/counters").await.json();
        assert_eq!(counters["orders"], if check_fencing { 1 } else { 2 });
    }
}

#[tokio::test]
async fn faults_fail_truncate_and_cross_answers() {
    let to = start(fast()).await;
    post(to, "/control/faults", json!({ "fail_share": 1.0, "scope": { "model": "m" } })).await;
    assert_eq!(complete(to, "r", request("a", 4)).await.status, 500);
    post(to, "/control/faults", json!({ "fail_share": 0.0, "truncate_after": 2 })).await;
    assert_eq!(complete(to, "r", request("a", 4)).await.events().len(), 2);
    post(to, "/control/faults", json!({ "truncate_abort": true })).await;
    assert!(complete(to, "r", request("a", 4)).await.body.is_none());
    post(to, "/control/faults", json!({ "truncate_after": null, "wrong_id": true })).await;
    let crossed = complete(to, "r", request("a", 4)).await;
    assert_ne!(crossed.headers["x-request-id"], "r");
    assert_ne!(crossed.events()[0]["id"], "r");
}

#[tokio::test]
async fn a_frozen_engine_sends_nothing_until_it_thaws() {
    let to = start(fast()).await;
    post(to, "/control/faults", json!({ "freeze": true })).await;
    let mut stream = tokio::spawn(complete(to, "r", request("a", 4)));
    let quiet = tokio::time::timeout(Duration::from_millis(50), &mut stream).await;
    assert!(quiet.is_err());
    post(to, "/control/faults", json!({ "freeze": false })).await;
    assert_eq!(contents(&stream.await.expect("task")).len(), 4);
}

#[tokio::test]
async fn a_more_important_request_leaves_the_queue_first() {
    let to = start(engine::Options { gap_ms: 3_600_000.0, slots: 1, ..fast() }).await;
    let running = async |running: u64, queued: u64| {
        loop {
            let counters = get(to, "/control/counters").await.json();
            if (&counters["running"], &counters["queued"]) == (&json!(running), &json!(queued)) {
                return;
            }
        }
    };
    let send = |id: &'static str, priority: i64| {
        let mut body = request("a", 1);
        body["max_tokens"] = json!(if id == "first" { 2 } else { 1 });
        body["priority"] = json!(priority);
        tokio::spawn(complete(to, id, body))
    };
    let mut streams = vec![send("first", 0)];
    running(1, 0).await;
    streams.push(send("low", -1));
    running(1, 1).await;
    streams.push(send("high", 1));
    running(1, 2).await;
    post(to, "/cancel/first", Value::Null).await;
    for stream in streams {
        stream.await.expect("task");
    }
    // Equal prompts and lengths: only the state that ended last tells the order.
    let ended = get(to, "/control/counters").await.json()["last_ended"].clone();
    assert_eq!(ended, "low");
}

#[tokio::test]
async fn lost_events_are_the_same_on_each_read() {
    let to = start(engine::Options { event_loss: 0.5, ..fast() }).await;
    complete(to, "r", request(&words(16 * 40), 1)).await;
    let events = get(to, "/events").await.json();
    let count = events["events"].as_array().expect("list").len();
    assert!((1..40).contains(&count));
    assert_eq!((&events["next"], get(to, "/events").await.json()), (&json!(40), events.clone()));
}

#[tokio::test]
async fn streams_above_the_batch_size_share_the_token_rate() {
    let to = start(engine::Options { gap_ms: 5.0, batch: 1, prefill_ms: 0.0, ..fast() }).await;
    let began = std::time::Instant::now();
    let streams = [0; 4].map(|_| tokio::spawn(complete(to, "r", request("a", 10))));
    for stream in streams {
        assert_eq!(contents(&stream.await.expect("task")).len(), 10);
    }
    // Four streams of nine gaps of 5 ms need 180 ms together; unshared they would need 45 ms.
    assert!(began.elapsed() >= Duration::from_millis(120));
}

#[tokio::test]
async fn the_end_of_the_task_closes_open_streams() {
    let (listener, to) = listener().await;
    let options = engine::Options { gap_ms: 3_600_000.0, ..fast() };
    let engine = tokio::spawn(engine::run(listener, options));
    let stream = tokio::spawn(complete(to, "r", request("a", 4)));
    while get(to, "/control/counters").await.json()["running"] != 1 {
        tokio::task::yield_now().await;
    }
    engine.abort();
    // The server may be gone before or after it has sent the headers.
    let answer = stream.await;
    assert!(answer.map_or(true, |answer| answer.body.is_none()));
}
