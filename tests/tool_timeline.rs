//! Guards against `timeline` output that omits nodes, batches or gaps without a note.

mod workdir;

use std::sync::atomic::Ordering;

use pomelolink::timeline::{Buffer, Draft, Flusher, Subject};
use workdir::tool::{READER, Workdir, now_ms, start_server};

fn draft(text: &str, move_name: &str) -> Draft {
    let subject = Subject { move_name: Some(move_name.into()), ..Subject::default() };
    Draft { part: "test", subject, text: text.to_owned(), ..Draft::default() }
}

#[tokio::test]
async fn merged_timeline() {
    let workdir = Workdir::start().await;
    let (second, other) = start_server("node-2", workdir.client.clone()).await;
    workdir.apply_service().await;
    let now = now_ms();
    let sent = workdir.timeline.record(now, draft("share raised", "m"));
    other.observe(now, sent);
    other.record(now, draft("share seen", "m"));
    other.record(now, draft("another move", "n"));
    // A node that is not queried appears through its batches, with its lost events as a gap.
    let third = Buffer::new("node-3".into(), now, 2);
    let mut flusher = Flusher::default();
    third.record(now, draft("before the outage", "m"));
    flusher.write_pending(&third, &workdir.client).await.unwrap();
    for _ in 0..5 {
        third.record(now, draft("during the outage", "m"));
    }
    flusher.write_pending(&third, &workdir.client).await.unwrap();

    let servers = format!("{},{second},127.0.0.1:9", workdir.server);
    let output = workdir.run_with(READER, &servers, &["timeline", "--move", "m"]).await;
    assert!(output.stderr.contains("latest events of a server are missing: 127.0.0.1:9"));
    let output = output.expect_success();
    let position = |text: &str| output.find(text).unwrap_or_else(|| panic!("{text}: {output}"));
    assert!(
        position("node-1 test: share raised move=m") < position("node-2 test: share seen move=m")
    );
    assert!(position("before the outage") < position("node-3 GAP: missing 3 events"), "{output}");
    assert!(!output.contains("another move") && !output.contains("service/chat"), "{output}");

    let all = workdir.run(&["timeline", "--since", "1h", "--json"]).await.expect_success();
    assert!(all.contains("service/chat created by wanda"), "{all}");
    workdir.platform.down.store(true, Ordering::SeqCst);
    let partial = workdir.run(&["timeline", "--since", "90"]).await;
    assert!(partial.stderr.contains("events of other nodes and older ones are missing"));
    assert!(partial.expect_success().contains("share raised"));
    assert_eq!(workdir.run(&["timeline", "--since", "soon"]).await.code, 2);
}
