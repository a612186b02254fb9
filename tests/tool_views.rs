//! Guards against output of `move`, `get`, `describe`, `watch`, `status` and `replay` that omits
//! the state of a move or a revision.

mod workdir;

use std::time::Duration;

use pomelolink::trace;
use pomelolink::trace::generate::{self, Generator};
use workdir::tool::Workdir;

const MOVE: [&str; 10] =
    ["move", "chat", "--from", "chat-1", "--to", "chat-2", "--within", "600", "--name", "upgrade"];

#[tokio::test]
async fn moves() {
    let workdir = Workdir::start().await;
    workdir.apply_service().await;
    let accepted = workdir.run(&MOVE).await.expect_success();
    assert_eq!(accepted, "move/upgrade created\nrevision 2\n");
    let same_name = workdir.run(&MOVE).await;
    assert_eq!(same_name.code, 3, "{same_name:#?}");
    let second = workdir.run(&[&MOVE[..9], &["other"]].concat()).await;
    assert_eq!(second.code, 1);
    let line = "command line:1: service: \"upgrade\" is still in progress for this service";
    assert!(second.stderr.contains(line), "{second:#?}");

    let shown = workdir.run(&["describe", "move/upgrade"]).await.expect_success();
    assert!(shown.contains("condition: in_progress since 2"), "{shown}");
    let reverted = workdir.run(&["delete", "move", "upgrade"]).await.expect_success();
    assert_eq!(reverted, "move/upgrade reverted\nrevision 3\n");
    let shown = workdir.run(&["get", "move"]).await.expect_success();
    assert!(shown.contains("reverted 0.0%: reverted by operator wanda"), "{shown}");
    let deleted = workdir.run(&["delete", "move/upgrade"]).await.expect_success();
    assert_eq!(deleted, "move/upgrade deleted\nrevision 4\n");
    let missing = workdir.run(&["describe", "move/upgrade"]).await;
    assert!(missing.code == 1 && missing.stderr.contains("not_found"), "{missing:#?}");
}

#[tokio::test]
async fn watch() {
    let workdir = Workdir::start().await;
    workdir.apply_service().await;
    let arguments = ["watch", "--since", "1", "--limit", "1", "--json"];
    let change = async {
        // The order does not matter: a watch that starts late receives the whole configuration.
        tokio::task::yield_now().await;
        workdir.run(&MOVE).await.expect_success();
    };
    let (watched, ()) = tokio::join!(workdir.run(&arguments), change);
    let line = watched.json();
    assert_eq!(line["revision"], 2);
    let changes = line["changes"].as_array().unwrap();
    let change = changes.iter().find(|change| change["name"] == "upgrade").unwrap();
    assert_eq!(change["resource"]["status"]["conditions"][0]["type"], "in_progress");
    let whole = workdir.run(&["watch", "--limit", "1"]).await.expect_success();
    assert!(whole.starts_with("revision 2 (whole configuration)\n"), "{whole}");
}

#[tokio::test]
async fn status() {
    let workdir = Workdir::start().await;
    let before = workdir.run(&["status"]).await.expect_success();
    assert_eq!(before, "node-1 in a: revision 0, not ready: no configuration yet\n");
    workdir.apply_service().await;
    workdir.run(&MOVE).await.expect_success();
    workdir.run(&["watch", "--since", "1", "--limit", "1"]).await.expect_success();
    let servers = format!("{},127.0.0.1:9", workdir.server);
    let after =
        workdir.run_with(workdir::tool::READER, &servers, &["status"]).await.expect_success();
    assert!(after.starts_with("node-1 in a: revision 2, ready\n"), "{after}");
    assert!(after.contains("move upgrade: chat chat-1 -> chat-2 in_progress at 0.0%"), "{after}");
    assert!(after.contains("127.0.0.1:9: "), "{after}");
    let none = workdir.run_with(workdir::tool::READER, "127.0.0.1:9", &["status"]).await;
    assert_eq!(none.code, 4, "{none:#?}");
}

#[tokio::test]
async fn replay() {
    let workdir = Workdir::start().await;
    let length = Duration::from_secs(120);
    let company = generate::jernhjem();
    let start = Duration::from_secs(13 * 3_600);
    let mut text = Vec::new();
    let mut count = 0;
    for record in Generator::new(company, 7, start, length) {
        trace::write(&mut text, &record).unwrap();
        count += 1;
    }
    workdir.write("good.trace", &String::from_utf8(text).unwrap());
    let arguments = ["replay", "good.trace", "--workers", "18", "--json"];
    let report = workdir.run(&arguments).await.json();
    assert_eq!((&report["requests"], &report["lost"]), (&count.into(), &0.into()));
    assert_eq!(workdir.run(&arguments).await.json(), report, "one seed has one outcome");
    workdir.write("bad.trace", "{\"at\": 1}\n{\"at\":\n");
    let bad = workdir.run(&["replay", "bad.trace"]).await;
    assert_eq!(bad.code, 1);
    assert!(bad.stderr.contains("bad.trace:1:") && bad.stderr.contains("bad.trace:2:"), "{bad:#?}");
    assert_eq!(workdir.run(&["replay", "good.trace", "--nodes", "0"]).await.code, 2);
}
