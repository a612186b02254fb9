//! Tests the commands `apply`, `diff` and `delete`: guards against partly applied sets of
//! declarations, lost updates, operations applied twice, and errors that do not show what to
//! correct.

mod workdir;

use std::sync::atomic::Ordering;

use pomelolink::revision::commit;
use workdir::tool::{READER, WRITER, Workdir};

async fn revision(workdir: &Workdir) -> u64 {
    commit::read_base(&workdir.client).await.unwrap().catalog.revision
}

#[tokio::test]
async fn repeated_apply() {
    let workdir = Workdir::start().await;
    workdir.apply_service().await;
    let again = workdir.run(&["apply", "-f", "service.json"]).await.expect_success();
    assert_eq!(again, "revision 1 (no change)\n");

    workdir.write(
        "service.json",
        &workdir::SERVICE.replace("\"concurrency\": 8", "\"concurrency\": 9"),
    );
    let diff = workdir.run(&["diff", "-f", "service.json"]).await.expect_success();
    assert_eq!(diff, "pool/l4 changed\n  ~ concurrency: 8 -> 9\n");
    assert_eq!(revision(&workdir).await, 1, "diff must not apply anything");
    let applied = workdir.run(&["apply", "--json", "-f", "."]).await.json();
    assert_eq!(applied["revision"], 2);
    let found = workdir.run(&["get", "pool/l4", "--json"]).await.json();
    assert_eq!((&found["generation"], &found["spec"]["concurrency"]), (&2.into(), &9.into()));
    assert_eq!(found["resource_version"], applied["changes"][0]["resource_version"]);
}

#[tokio::test]
async fn lost_updates() {
    let workdir = Workdir::start().await;
    workdir.apply_service().await;
    let version =
        workdir.run(&["get", "pool/l4", "--json"]).await.json()["resource_version"].clone();
    let expect = format!("pool/l4={version}");
    let pool = |concurrency| {
        format!(r#"{{"kind": "pool", "name": "l4", "class": "l4", "concurrency": {concurrency}}}"#)
    };
    workdir.write("first.json", &pool(10));
    workdir.write("second.json", &pool(11));
    workdir.run(&["apply", "-f", "first.json", "--expect", &expect]).await.expect_success();
    let conflict = workdir.run(&["apply", "-f", "second.json", "--expect", &expect]).await;
    assert_eq!(conflict.code, 3, "{conflict:#?}");
    assert!(
        conflict.stderr.contains("pool/l4 is now:")
            && conflict.stderr.contains("\"concurrency\": 10")
    );
    let conflict =
        workdir.run(&["delete", "pool/l4", "--expect", &version.to_string(), "--json"]).await;
    assert_eq!((conflict.code, &conflict.json()["exit_code"]), (3, &3.into()));
    assert_eq!(conflict.json()["conflicts"][0]["current"]["spec"]["concurrency"], 10);
    assert_eq!(revision(&workdir).await, 2);
}

#[tokio::test]
async fn retry_unknown_outcome() {
    let workdir = Workdir::start().await;
    workdir.write("service.json", workdir::SERVICE);
    workdir.platform.down_after_commit.store(true, Ordering::SeqCst);
    let arguments = ["apply", "-f", "service.json", "--operation", "op-1"];
    let unknown = workdir.run(&arguments).await;
    assert_eq!(unknown.code, 1, "{unknown:#?}");
    assert!(unknown.stderr.contains("outcome_unknown (502)"), "{unknown:#?}");
    assert!(unknown.stderr.contains("`--operation op-1` repeats"), "{unknown:#?}");
    assert!(!unknown.stderr.contains("applied nothing"), "{unknown:#?}");
    workdir.platform.down.store(false, Ordering::SeqCst);
    for _ in 0..2 {
        let repeated = workdir.run(&[&arguments[..], &["--json"]].concat()).await.json();
        assert_eq!((&repeated["revision"], &repeated["repeated"]), (&1.into(), &true.into()));
    }
    workdir.write("service.json", &workdir::SERVICE.replace("8", "9"));
    let other = workdir.run(&arguments).await;
    assert_eq!(other.code, 1, "{other:#?}");
    assert!(other.stderr.contains("key_mismatch"), "{other:#?}");
    assert_eq!(revision(&workdir).await, 1);
}

#[tokio::test]
async fn platform_down() {
    let workdir = Workdir::start().await;
    workdir.apply_service().await;
    workdir.platform.down.store(true, Ordering::SeqCst);
    let refused = workdir.run(&["delete", "pool/l4"]).await;
    assert_eq!(refused.code, 1);
    assert!(refused.stderr.contains("applied nothing"), "{refused:#?}");
    let shown = workdir.run(&["get", "service"]).await;
    assert!(shown.stdout.contains("service/chat"), "{shown:#?}");
    assert!(shown.stderr.contains("shown as in effect on the node"), "{shown:#?}");
}

#[tokio::test]
async fn mistake_locations() {
    let workdir = Workdir::start().await;
    workdir.write(
        "a.json",
        "[\n{\"kind\": \"pool\", \"name\": \"P\", \"class\": \"l4\",\n\"size\": 1}]",
    );
    workdir.write("b.json", "{\"kind\": \"version\",\n\"name\": \"v\"}");
    let local = workdir.run(&["apply", "-f", "a.json", "-f", "b.json"]).await;
    assert_eq!(local.code, 1);
    for line in [
        "a.json:2: [0].name: expected lower-case",
        "a.json:3: [0].size: is not a known field",
        "b.json:1: service: is required",
        "b.json:1: pool: is required",
    ] {
        assert!(local.stderr.contains(line), "{line}: {local:#?}");
    }
    workdir.write("a.json", "// pools\n{\"kind\": \"pool\", \"name\": \"p\", \"class\": \"l4\"}");
    workdir.write(
        "b.json",
        "[\n\n{\"kind\": \"version\", \"name\": \"v\", \"service\": \"s\", \"pool\": \"q\"}]",
    );
    let remote = workdir.run(&["apply", "-f", "a.json", "-f", "b.json"]).await;
    assert_eq!(remote.code, 1);
    for line in
        ["b.json:3: service: there is no service \"s\"", "b.json:3: pool: there is no pool \"q\""]
    {
        assert!(remote.stderr.contains(line), "{line}: {remote:#?}");
    }
    assert_eq!(revision(&workdir).await, 0, "a rejected set must not be applied in part");

    workdir.apply_service().await;
    let referenced = workdir.run(&["delete", "pool/l4"]).await;
    assert_eq!(referenced.code, 1);
    let line = "configuration version/chat-1:1: pool: there is no pool \"l4\"";
    assert!(referenced.stderr.contains(line), "{referenced:#?}");
    let switch = workdir::SERVICE.replace("\"version\": \"chat-1\"", "\"version\": \"chat-2\"");
    workdir.write("service.json", &switch);
    let switch = workdir.run(&["apply", "-f", "service.json"]).await;
    assert!(
        switch.stderr.contains("service.json:3: version: \"chat-1\" is serving"),
        "{switch:#?}"
    );
}

#[tokio::test]
async fn roles_and_servers() {
    let workdir = Workdir::start().await;
    workdir.write("service.json", workdir::SERVICE);
    let server = workdir.server.to_string();
    let apply = ["apply", "-f", "service.json"];
    let refused = workdir.run_with(READER, &server, &apply).await;
    assert!(refused.code == 1 && refused.stderr.contains("forbidden"), "{refused:#?}");
    let refused = workdir.run_with(READER, &server, &["delete", "pool/l4"]).await;
    assert!(refused.code == 1 && refused.stderr.contains("forbidden"), "{refused:#?}");
    let refused = workdir.run_with("guess", &server, &["get"]).await;
    assert!(refused.code == 1 && refused.stderr.contains("unauthorized"), "{refused:#?}");
    assert_eq!(workdir.run_with("", &server, &["get"]).await.code, 2);
    workdir.run_with(READER, &server, &["get"]).await.expect_success();
    assert_eq!(revision(&workdir).await, 0);

    // Port 9 refuses connections, so the tool must try the next server.
    let servers = format!("127.0.0.1:9,{server}");
    workdir.run_with(WRITER, &servers, &apply).await.expect_success();
    let missing = workdir.run_with(WRITER, "127.0.0.1:9", &apply).await;
    assert_eq!(missing.code, 4, "{missing:#?}");
    assert_eq!(workdir.run(&["apply"]).await.code, 2);
    assert_eq!(workdir.run(&["serve"]).await.code, 2);
    assert_eq!(workdir.run(&["delete", "pool"]).await.code, 2);
    workdir.run(&["--help"]).await.expect_success();
}
