//! Guards against concurrent commits that lose updates, take effect twice or skip revisions.

mod workdir;

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use pomelolink::operator::edit::{self, Upsert};
use pomelolink::platform::{self, Client};
use pomelolink::resource::{self, Catalog, Id, Kind, Phase, Progress, Spec};
use pomelolink::revision::commit::{self, Base, Committed, Failure};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const RACES: u64 = 1_000;
/// Number of platforms on which the races run in parallel.
const SHARDS: u64 = 4;

fn items(text: &str, expected: Option<u64>) -> Vec<Upsert> {
    let declared = resource::parse("test.json", text).unwrap();
    declared
        .into_iter()
        .map(|found| Upsert {
            id: found.id,
            spec: found.spec,
            expected,
            file: found.file,
            line: found.line,
        })
        .collect()
}

async fn apply(client: &Client, operation: &str, items: Vec<Upsert>) -> Result<Committed, Failure> {
    let edit = |base: &Base| edit::apply(base, &items, 1_000);
    commit::commit(client, &workdir::operation(operation), &edit).await
}

fn pool(name: &str, concurrency: u64) -> String {
    format!(r#"{{"kind": "pool", "name": "{name}", "class": "l4", "concurrency": {concurrency}}}"#)
}

fn concurrency(catalog: &Catalog, name: &str) -> u32 {
    catalog.pool(name).unwrap().concurrency
}

/// Guards against lost updates: of several operators who change one row version, exactly one
/// succeeds, and the others get a conflict that shows its change.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn racing_operators() {
    let shard = |number| race(number * RACES / SHARDS..(number + 1) * RACES / SHARDS);
    let shards: Vec<_> = (0..SHARDS).map(|number| tokio::spawn(shard(number))).collect();
    for shard in shards {
        shard.await.unwrap();
    }
}

async fn race(seeds: Range<u64>) {
    let (platform, client) = workdir::start_platform().await;
    let mut accepted = 0;
    for name in ["shared", "other-0", "other-1", "other-2"] {
        apply(&client, &format!("start-{name}"), items(&pool(name, 1), None)).await.unwrap();
        accepted += 1;
    }
    for seed in seeds {
        let mut random = StdRng::seed_from_u64(seed);
        let base = commit::read_base(&client).await.unwrap();
        let version = base.versions[&Id::new(Kind::Pool, "shared")];
        let rivals = random.random_range(2..=3);
        platform.responses_to_lose.store(u32::from(random.random_bool(0.25)), Ordering::SeqCst);
        // Each rival changes the shared pool, in half of the races along with an unrelated change.
        let mut tasks = Vec::new();
        for rival in 0..rivals {
            let concurrency = 2 + (seed * 3 + rival) % 4_000;
            let wanted = items(&pool("shared", concurrency), Some(version));
            let client = client.clone();
            tasks.push(tokio::spawn(async move {
                (concurrency, apply(&client, &format!("race-{seed}-{rival}"), wanted).await)
            }));
        }
        let unrelated = random.random_bool(0.5).then(|| {
            let name = format!("other-{}", random.random_range(0..3));
            let wanted = items(&pool(&name, 2 + seed), None);
            let client = client.clone();
            tokio::spawn(
                async move { apply(&client, &format!("other-{seed}"), wanted).await.unwrap() },
            )
        });
        let mut winners = Vec::new();
        let mut losers = Vec::new();
        for task in tasks {
            match task.await.unwrap() {
                (concurrency, Ok(_)) => winners.push(concurrency),
                (_, Err(Failure::Conflict(conflicts))) => losers.push(conflicts),
                (_, other) => panic!("seed {seed}: {other:?}"),
            }
        }
        assert_eq!(winners.len(), 1, "seed {seed}");
        for conflicts in losers {
            let (current, _) = conflicts[0].current.clone().unwrap();
            let Spec::Pool(current) = current.spec else { panic!("seed {seed}") };
            assert_eq!(u64::from(current.concurrency), winners[0], "seed {seed}");
        }
        accepted += 1;
        if let Some(unrelated) = unrelated {
            accepted += u64::from(!unrelated.await.unwrap().changes.is_empty());
        }
        let after = commit::read_base(&client).await.unwrap().catalog;
        assert_eq!(u64::from(concurrency(&after, "shared")), winners[0], "seed {seed}");
        assert_eq!(after.revision, accepted, "seed {seed}");
    }
}

/// Guards against a write that takes effect again when it is repeated after its answer was lost.
#[tokio::test]
async fn lost_answer_applies_once() {
    let (platform, client) = workdir::start_platform().await;
    platform.responses_to_lose.store(1, Ordering::SeqCst);
    let first = apply(&client, "op", items(&pool("a", 1), None)).await.unwrap();
    assert!(first.repeated, "the outcome was not read back");
    apply(&client, "next", items(&pool("a", 2), None)).await.unwrap();
    let again = apply(&client, "op", items(&pool("a", 1), None)).await.unwrap();
    assert_eq!(again, first);
    let base = commit::read_base(&client).await.unwrap();
    assert_eq!((base.catalog.revision, concurrency(&base.catalog, "a")), (2, 2));

    let mut other = workdir::operation("op");
    other.digest = "another request".into();
    let edit = |base: &Base| Ok(base.catalog.clone());
    assert_eq!(commit::commit(&client, &other, &edit).await, Err(Failure::Mismatch));
}

/// Guards against a change that is not reported as not applied while the platform refuses writes.
#[tokio::test]
async fn outage_applies_nothing() {
    let (platform, client) = workdir::start_platform().await;
    platform.down.store(true, Ordering::SeqCst);
    let refused = apply(&client, "op", items(&pool("a", 1), None)).await;
    assert!(matches!(refused, Err(Failure::NotApplied(_))), "{refused:?}");
    platform.down.store(false, Ordering::SeqCst);
    assert_eq!(commit::read_base(&client).await.unwrap().catalog, Catalog::default());
}

/// Guards against operation rows that grow without bound, by changes or by requests without effect.
#[tokio::test]
async fn operation_rows_are_bounded() {
    let (_, client) = workdir::start_platform().await;
    for number in 0..1_100_u64 {
        let wanted = items(&pool("a", 1 + number / 2), None);
        apply(&client, &format!("op-{number}"), wanted).await.unwrap();
    }
    let prefixes = vec![commit::OPERATION_PREFIX.to_owned()];
    let kept = client.read(&platform::Query { keys: Vec::new(), prefixes }).await.unwrap();
    assert!(kept.len() <= commit::MAX_OPERATION_ROWS, "{} rows", kept.len());
    for number in 200..1_100 {
        assert!(kept.contains_key(&commit::operation_key(&format!("op-{number}"))), "{number}");
    }
}

/// Guards against the progress of a move that counts as a change of its spec, or that overrides an
/// operator who has reverted the move.
#[tokio::test]
async fn progress_keeps_generation() {
    let (platform, client) = workdir::start_platform().await;
    apply(&client, "service", items(workdir::SERVICE, None)).await.unwrap();
    let shift = r#"{"kind": "move", "name": "m", "service": "chat", "from": "chat-1",
        "to": "chat-2", "within_s": 60}"#;
    apply(&client, "move", items(shift, None)).await.unwrap();
    let id = Id::new(Kind::Move, "m");
    let second = shift.replace("\"m\"", "\"n\"");
    let refused = apply(&client, "second", items(&second, None)).await;
    assert!(matches!(refused, Err(Failure::Refused(_))), "{refused:?}");
    let changed = apply(&client, "changed", items(&shift.replace("60", "90"), None)).await;
    assert!(matches!(changed, Err(Failure::Refused(_))), "{changed:?}");

    let base = commit::read_base(&client).await.unwrap().catalog;
    let accepted = base.resources[&id].status.progress.clone().unwrap();
    assert_eq!((accepted.phase, accepted.share_permille), (Phase::InProgress, 0));
    let canary = Progress { share_permille: 10, reason: "canary".into(), ..accepted.clone() };
    platform.responses_to_lose.store(1, Ordering::SeqCst);
    commit::record_progress(&client, None, &id, &accepted, &canary, None).await.unwrap();
    let done = Progress { phase: Phase::Done, share_permille: 1_000, ..canary.clone() };
    let late = commit::record_progress(&client, None, &id, &accepted, &done, None).await;
    assert!(matches!(late, Err(Failure::Conflict(_))), "{late:?}");
    let serving: Arc<str> = "chat-2".into();
    commit::record_progress(&client, None, &id, &canary, &done, Some(&serving)).await.unwrap();

    let after = commit::read_base(&client).await.unwrap().catalog;
    assert_eq!(after.revision, base.revision + 2);
    assert_eq!(after.resources[&id].generation, 1);
    assert_eq!(after.get(Kind::Service, "chat").unwrap().generation, 1);
    assert_eq!(after.serving_version("chat"), Some(serving));

    let back = shift.replace("\"m\"", "\"back\"").replace("-1", "-x").replace("-2", "-1");
    let back = back.replace("-x", "-2");
    apply(&client, "back", items(&back, None)).await.unwrap();
    let id = Id::new(Kind::Move, "back");
    let edit = |base: &Base| edit::delete(base, &id, None, "test", 2_000);
    let aborted = commit::commit(&client, &workdir::operation("abort"), &edit).await.unwrap();
    assert_eq!(aborted.changes[0].action, commit::Action::Reverted);
    let late = commit::record_progress(&client, None, &id, &accepted, &canary, None).await;
    assert!(matches!(late, Err(Failure::Conflict(_))), "{late:?}");
}
