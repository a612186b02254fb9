//! Runs the operator tool against real daemons: guards against an accepted change that does not
//! reach every entry VM, and against a killed entry VM that hides events or blocks the operator.

mod common;

use std::process::{Output, Stdio};

use serde_json::Value;
use standin::fleet::{Fleet, OPERATOR_TOKEN};
use tokio::process::Command;

async fn run(fleet: &Fleet, servers: &[usize], args: &[&str]) -> Output {
    let servers = servers.iter().map(|&index| fleet.entries[index].operators.to_string());
    Command::new(env!("CARGO_BIN_EXE_pomelolink"))
        .args(args)
        .current_dir(&fleet.dir)
        .env("POMELOLINK_SERVER", servers.collect::<Vec<_>>().join(","))
        .env("POMELOLINK_TOKEN", OPERATOR_TOKEN)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output()
        .await
        .unwrap()
}

/// Runs the tool and returns its output; panics if it fails.
async fn run_ok(fleet: &Fleet, servers: &[usize], args: &[&str]) -> String {
    let output = run(fleet, servers, args).await;
    assert!(output.status.success(), "{args:?}: {output:?}");
    String::from_utf8(output.stdout).unwrap()
}

#[tokio::test]
async fn changes_reach_all_nodes() {
    let dir = tempfile::tempdir().unwrap();
    let mut fleet = common::start(&dir, 2, 1, &[]).await.unwrap();
    let version = r#"{"kind": "version", "name": "chat-2", "service": "chat", "pool": "engines"}"#;
    std::fs::write(fleet.dir.join("version.json"), version).unwrap();
    run_ok(&fleet, &[0], &["apply", "-f", "version.json"]).await;
    let args = ["move", "chat", "--from", "chat-1", "--to", "chat-2", "--within", "600"];
    run_ok(&fleet, &[0], &[&args[..], &["--name", "m"]].concat()).await;

    // The other entry VM lists the move once the revision is in effect there.
    let watch_args = ["watch", "--json", "--limit", "1", "--since", "2"];
    let line: Value = serde_json::from_str(&run_ok(&fleet, &[1], &watch_args).await).unwrap();
    let changes = line["changes"].as_array().unwrap();
    assert!(changes.iter().any(|change| change["name"] == "m"), "{line}");

    // The tool tries the next server when the first one has been killed.
    fleet.entries[0].process.kill();
    let reverted = run_ok(&fleet, &[0, 1], &["delete", "move/m"]).await;
    assert!(reverted.starts_with("move/m reverted\n"), "{reverted}");
    let description = run_ok(&fleet, &[0, 1], &["describe", "move/m"]).await;
    assert!(description.contains("reverted by operator"), "{description}");
    let status = run_ok(&fleet, &[0, 1], &["status"]).await;
    assert!(status.contains("Connection refused") && status.contains(", ready"), "{status}");
    let unreachable = run(&fleet, &[0], &["status"]).await;
    assert_eq!(unreachable.status.code(), Some(4), "{unreachable:?}");

    let events = run_ok(&fleet, &[0, 1], &["timeline", "--move", "m"]).await;
    assert!(events.contains("move/m reverted by"), "{events}");
    fleet.restart(0).unwrap();
    fleet.all_ready().await.unwrap();
    let status = run_ok(&fleet, &[0, 1], &["status"]).await;
    assert_eq!(status.matches(", ready").count(), 2, "{status}");
}

/// Guards against members that are printed as raw JSON or in misaligned columns.
#[tokio::test]
async fn member_table_is_aligned() {
    let dir = tempfile::tempdir().unwrap();
    let fleet = common::start(&dir, 3, 1, &[]).await.unwrap();
    fleet.joined().await.unwrap();
    let status = run_ok(&fleet, &[0], &["status"]).await;
    let lines: Vec<&str> = status.lines().collect();
    let header = lines.iter().position(|line| line.trim_start().starts_with("MEMBER")).unwrap();
    let column = lines[header].find("FAILURE DOMAIN").unwrap();
    for entry in &fleet.entries {
        let rows = &mut lines[header..].iter();
        let row = rows.find(|line| line.trim_start().starts_with(&entry.name)).unwrap();
        assert!(row[column..].starts_with(&entry.failure_domain), "{status}");
    }
    assert!(!status.contains('{'), "{status}");
}
