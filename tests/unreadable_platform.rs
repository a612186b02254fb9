//! Answers of the daemon's platform that can't be read in full.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::Uri;
use pomelolink::platform::Client;
use pomelolink::revision::{self, commit};
use serde_json::{Value, json};
use tokio::net::TcpListener;

type Answer = Arc<Mutex<Value>>;

/// Starts a platform that gives one answer to each call, and returns a client of it.
async fn platform(answer: Value) -> (Client, Answer) {
    let answer: Answer = Arc::new(Mutex::new(answer));
    let respond =
        async |State(answer): State<Answer>, _: Uri| answer.lock().expect("no panic").to_string();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let router = Router::new().fallback(respond).with_state(answer.clone());
    tokio::spawn(async move { axum::serve(listener, router).await });
    (Client::new(address, Duration::from_secs(1)), answer)
}

fn vm(id: &str) -> Value {
    json!({
        "id": id, "address": "127.0.0.1:9000", "region": "r", "failure_domain": "a", "pool": "p",
        "class": "c", "reclaimable": true, "leaving": true,
    })
}

/// Guards against one entry of the VM list that hides the leaving of another VM, or is used although it can't be read.
#[tokio::test]
async fn unreadable_vm_hides_none() {
    let mut spoiled = vm("spoiled");
    spoiled["reclaimable"] = json!("yes");
    let (client, answer) = platform(json!([spoiled, vm("leaving"), 7])).await;
    let vms = client.vms().await.expect("a list");
    assert_eq!(vms.iter().map(|vm| &*vm.id).collect::<Vec<_>>(), ["leaving"]);
    assert!(vms[0].leaving);
    *answer.lock().expect("no panic") = json!({ "vms": [] });
    assert!(client.vms().await.is_err(), "an answer that is no list says nothing of any VM");
}

/// Guards against one notice that hides the others, and against a time that is refused by its form.
#[tokio::test]
async fn unreadable_notice_hides_none() {
    let notices = json!([
        { "vm": "one", "left_ms": 2.5e3 }, { "vm": "two", "left_ms": "soon" }, { "vm": "three", "left_ms": 900 },
    ]);
    let (client, _) = platform(notices).await;
    let notices = client.notices().await.expect("a list");
    let notices: Vec<_> = notices.iter().map(|it| (&*it.vm, it.left_ms)).collect();
    assert_eq!(notices, [("one", 2_500), ("three", 900)]);
}

/// Guards against a revision that can't be read and counts as no news, or from which the next change counts on.
#[tokio::test]
async fn unreadable_revision_is_a_failure() {
    let head = |value: Value| json!([{ "key": "config/head", "version": 5, "value": value }]);
    let (client, answer) = platform(head(json!(7.0))).await;
    let catalog = revision::fetch(&client, 6).await.expect("a read").expect("a newer revision");
    assert_eq!(catalog.revision, 7);
    for value in [json!("seven"), Value::Null, json!(-1)] {
        *answer.lock().expect("no panic") = head(value.clone());
        let failure = revision::fetch(&client, 6).await.expect_err("no revision");
        assert!(failure.to_string().contains("config/head"), "{failure}");
        assert!(commit::read_base(&client).await.is_err(), "{value}");
    }
    *answer.lock().expect("no panic") = json!([]);
    assert!(revision::fetch(&client, 6).await.expect("a read").is_none(), "no configuration yet");
}
