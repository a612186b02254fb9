//! Guards against a platform stand-in that hides the outcomes which pomelolink has to handle.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{get, listener, post, send};
use http::Method;
use pomelolink::platform::{Client, Outcome, Query, Start, Transaction, Vm};
use serde_json::json;
use standin::platform;

async fn start() -> (SocketAddr, Client) {
    let (listener, address) = listener().await;
    tokio::spawn(platform::run(listener, platform::Options::default()));
    (address, Client::new(address, Duration::from_secs(2)))
}

fn put(key: &str, version: Option<u64>, value: u64) -> Transaction {
    let mut transaction = Transaction::default();
    transaction.put(key, version, json!(value));
    transaction
}

#[tokio::test]
async fn a_failed_condition_writes_nothing_and_shows_the_row() {
    let (address, client) = start().await;
    assert_eq!(client.transact(&put("a/1", None, 1)).await, Outcome::Done(1));
    assert_eq!(client.transact(&put("a/2", None, 2)).await, Outcome::Done(2));
    let mut both = put("a/1", Some(1), 9);
    both.put("a/2", None, json!(9));
    let Outcome::Rejected(rows) = client.transact(&both).await else { panic!("not rejected") };
    assert_eq!(rows.iter().map(|row| row.version).collect::<Vec<_>>(), [2]);
    let query = Query { keys: vec!["b".to_owned()], prefixes: vec!["a/".to_owned()] };
    let rows = client.read(&query).await.expect("read");
    let values: Vec<_> = rows.values().map(|row| row.value.clone()).collect();
    assert_eq!(values, [json!(1), json!(2)]);
    let counters = get(address, "/control/counters").await.json();
    assert_eq!((&counters["rejected"], &counters["rows_written"]), (&json!(1), &json!(2)));
}

#[tokio::test]
async fn a_lost_answer_takes_effect_and_an_outage_does_not() {
    let (address, client) = start().await;
    post(address, "/control/faults", json!({ "lose_answers": 1 })).await;
    assert_eq!(client.transact(&put("a", None, 1)).await, Outcome::Unknown);
    assert_eq!(client.read_row("a").await.expect("read").map(|row| row.version), Some(1));
    post(address, "/control/faults", json!({ "outage": true })).await;
    assert_eq!(client.transact(&put("a", Some(1), 2)).await, Outcome::NotRun);
    post(address, "/control/faults", json!({ "outage": false })).await;
    assert_eq!(client.transact(&put("a", Some(1), 2)).await, Outcome::Done(2));
    let wrong = post(address, "/control/faults", json!({ "outge": true })).await;
    assert_eq!(wrong.status, 400);
}

#[tokio::test]
async fn a_hanging_platform_gives_no_answer() {
    let (address, _) = start().await;
    let client = Client::new(address, Duration::from_millis(100));
    post(address, "/control/faults", json!({ "outage": true, "mode": "hang" })).await;
    assert_eq!(client.transact(&put("a", None, 1)).await, Outcome::Unknown);
}

#[tokio::test]
async fn objects_keep_their_body_and_are_listed_by_prefix() {
    let (_, client) = start().await;
    client.put_object("draft/1/request", "one".into()).await.expect("put");
    client.put_object("timeline/a/1", "two".into()).await.expect("put");
    assert_eq!(client.get_object("draft/1/request").await.expect("get"), Some("one".into()));
    assert_eq!(client.get_object("draft/2/request").await.expect("get"), None);
    assert_eq!(client.list_objects("draft/").await.expect("list"), ["draft/1/request"]);
}

#[tokio::test]
async fn the_vm_list_lags_behind_a_reclaim_but_the_notice_does_not() {
    let (address, client) = start().await;
    let vm = Vm {
        id: "vm-1".into(),
        address: address.to_string().parse().expect("address"),
        region: "milan".into(),
        failure_domain: "milan-1".into(),
        pool: "assistant".into(),
        class: "small".into(),
        reclaimable: true,
        leaving: false,
    };
    send(address, Method::PUT, "/control/vms", &[], json!([vm])).await.expect("answer");
    post(address, "/control/faults", json!({ "list_lag_ms": 3_600_000 })).await;
    let notice = json!({ "vm": "vm-1", "left_ms": 60_000 });
    assert_eq!(post(address, "/control/reclaim", notice).await.status, 200);
    assert_eq!(client.vms().await.expect("list"), [vm]);
    let notices = client.notices().await.expect("notices");
    assert_eq!(notices.len(), 1);
    assert!((50_000..=60_000).contains(&notices[0].left_ms));
    post(address, "/control/faults", json!({ "list_lag_ms": 0 })).await;
    assert!(client.vms().await.expect("list")[0].leaving);
    client.stop("vm-1").await.expect("stop");
    assert!(client.vms().await.expect("list").is_empty());
}

#[tokio::test]
async fn a_repeated_start_gives_the_same_vm_and_a_refused_start_none() {
    let (address, client) = start().await;
    let mut start = Start {
        operation: "op-1".into(),
        failure_domain: "turin-1".into(),
        pool: "assistant".into(),
        class: "small".into(),
        reclaimable: true,
    };
    let first = client.start(&start).await.expect("start");
    assert!(first.is_some());
    post(address, "/control/faults", json!({ "refuse_starts": true })).await;
    assert_eq!(client.start(&start).await.expect("start"), first);
    start.operation = "op-2".into();
    assert_eq!(client.start(&start).await.expect("start"), None);
    assert_eq!(client.vms().await.expect("list").len(), 1);
}

#[tokio::test]
async fn the_weight_store_refuses_fetches_above_its_rate() {
    let (address, _) = start().await;
    let mut refused = 0;
    for _ in 0..20 {
        let answer = post(address, "/weights/fetch", json!({ "name": "large" })).await;
        refused += u32::from(answer.status == 429);
    }
    assert!(refused > 0);
}
