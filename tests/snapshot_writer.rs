//! Who writes the snapshot of the nodes' counters after a loss of all nodes, against a store in memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::Node;
use pomelolink::gateway::catalog::{Quota, Tenant};
use pomelolink::gateway::platform::{CallFuture, HeaderCodec, Platform, Rows};
use pomelolink::gateway::recall::Snapshot;
use pomelolink::gateway::settings::Settings;
use pomelolink::gateway::{clock, duties, recall};
use pomelolink::platform::{Failure, Outcome, Row, Transaction};

const EXAMPLE: &str = include_str!("../deploy/example/gateway.json");
/// Age of a snapshot whose units, and those assumed for its lag, have left the window.
const OLD_MS: i64 = 9_500;
/// Units that a node which starts assumes for the lag of a snapshot: 1.2 s of the quota.
const MAX_ASSUMED: u64 = 120_000;
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Rows of the store. The lease stays with a holder that is gone: its writes are refused.
#[derive(Debug, Default)]
struct Store {
    rows: RefCell<BTreeMap<String, Row>>,
    version: Cell<u64>,
    snapshot_writes: Cell<u32>,
}

impl Store {
    /// Returns a store with a snapshot that a lost node wrote when tenant `a` had used nothing.
    fn with_snapshot(age_ms: i64) -> Rc<Store> {
        let store = Store::default();
        let true_ms = (clock::wall_ms() - age_ms).unsigned_abs();
        let snapshot = Snapshot { true_ms, parts: 1, ..Snapshot::default() };
        let value = serde_json::to_value(snapshot).expect("a snapshot in JSON");
        let row = Row { key: recall::part_key(0), version: 0, value };
        store.rows.borrow_mut().insert(row.key.clone(), row);
        Rc::new(store)
    }

    fn read(&self, prefix: &str) -> Vec<Row> {
        let rows = self.rows.borrow();
        rows.values().filter(|row| row.key.starts_with(prefix)).cloned().collect()
    }

    fn transact(&self, transaction: Transaction) -> Outcome {
        if transaction.writes.iter().any(|write| write.key.starts_with("lease/")) {
            return Outcome::NotRun;
        }
        let mut rows = self.rows.borrow_mut();
        let version = |key: &str| rows.get(key).map(|row| row.version);
        if transaction.conditions.iter().any(|it| version(&it.key) != it.version) {
            return Outcome::Rejected(Vec::new());
        }
        self.version.set(self.version.get() + 1);
        for write in transaction.writes {
            if write.key == recall::part_key(0) {
                self.snapshot_writes.set(self.snapshot_writes.get() + 1);
            }
            let value = write.value.expect("no row is deleted");
            let row = Row { key: write.key.clone(), version: self.version.get(), value };
            rows.insert(write.key, row);
        }
        Outcome::Done(self.version.get())
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot::join(&self.read(&recall::part_key(0))).expect("a snapshot")
    }
}

fn refuse<T: 'static>() -> CallFuture<T> {
    Box::pin(async { Err(Failure::NotRun("not part of the test".to_owned())) })
}

/// Returns a node that starts again after the loss of all nodes and that hears no other node.
fn new_node(name: &str, store: &Rc<Store>) -> Rc<Node> {
    let settings = EXAMPLE.replace("edge-a-1", name);
    let settings = settings.replace("\"first_start\": true", "\"first_start\": false");
    let settings = Settings::parse("gateway.json", &settings).expect("valid settings");
    let (read, written) = (store.clone(), store.clone());
    let platform = Platform {
        declarations: Box::new(|_| refuse()),
        endpoints: Box::new(|_| refuse()),
        rows: Box::new(move |prefix| {
            let rows = Rows { rows: read.read(&prefix), now_ms: 0 };
            Box::pin(async move { Ok(rows) })
        }),
        transact: Box::new(move |transaction| {
            let outcome = written.transact(transaction);
            Box::pin(async move { Ok(outcome) })
        }),
        usage: Box::new(|_| refuse()),
        order: Box::new(|_| refuse()),
        transfer: Box::new(|_| refuse()),
        progress: Box::new(|_| refuse()),
    };
    let codec = HeaderCodec {
        parse_request: |_| Ok(Default::default()),
        rewrite_request: |_, _| {},
        parse_reply: |_, _| Default::default(),
        rewrite_reply: |_| {},
    };
    let node = Node::new(settings, platform, codec);
    node.listed_at.set(Some(clock::now().saturating_sub(Duration::from_secs(5))));
    node
}

fn configure(node: &Node) {
    let quota = Quota { rate: 1e5, burst: 1e5, counts_tokens: true, default_tokens: 200 };
    let tenant = Tenant { name: "a".into(), keys: Vec::new(), priority: None, quota: Some(quota) };
    node.quotas.borrow_mut().configure(&[Arc::new(tenant)], clock::now());
}

fn admit(node: &Node, units: u64) {
    let admitted = node.quotas.borrow_mut().admit("a", units, clock::now());
    assert_eq!(admitted, Ok(()), "little of the quota was used");
    node.usage.borrow_mut().record(node.report_window(), &"a".into());
}

fn start(node: &Rc<Node>) {
    tokio::task::spawn_local(recall::restore(node.clone()));
    tokio::task::spawn_local(duties::run(node.clone()));
}

/// Returns the units of the tenant that a node knows which starts after the second loss.
async fn restored_units(store: &Rc<Store>) -> u64 {
    let node = new_node("edge-a-9", store);
    configure(&node);
    recall::restore(node.clone()).await;
    node.quotas.borrow().usage("a").0
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Guards against a quota that is used twice, and usage that is lost, when all nodes are lost twice before
/// another one holds the lease of the duties.
#[test]
fn units_survive_second_loss() {
    run(async {
        let store = Store::with_snapshot(OLD_MS);
        let node = new_node("edge-a-1", &store);
        configure(&node);
        let began = clock::now();
        start(&node);
        tokio::time::sleep(Duration::from_millis(300)).await;
        admit(&node, 500_000);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let units = restored_units(&store).await;
        assert!(units >= 500_000, "{units} of 500000 units are known after the second loss");
        let usage = store.snapshot().usage;
        let counts = usage.iter().filter_map(|(.., counts)| counts.get("a"));
        assert_eq!(counts.sum::<u64>(), 1, "requests in the usage windows");
        let allowed =
            1 + clock::now().saturating_sub(began).div_duration_f64(WRITE_INTERVAL) as u32;
        assert!(
            store.snapshot_writes.get() <= allowed,
            "more than a write each {WRITE_INTERVAL:?}"
        );
    });
}

/// Guards against two nodes that don't hear each other and replace each other's units in the snapshot, or
/// count them again with each write.
#[test]
fn two_writers_lose_no_units() {
    run(async {
        let store = Store::with_snapshot(OLD_MS);
        let nodes = ["edge-a-1", "edge-a-2"].map(|name| new_node(name, &store));
        for node in &nodes {
            configure(node);
            start(node);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        admit(&nodes[0], 300_000);
        admit(&nodes[1], 200_000);
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        let units = restored_units(&store).await;
        let expected = 500_000..=500_000 + MAX_ASSUMED;
        assert!(expected.contains(&units), "{units} units are known, 500000 admitted");
        let usage = store.snapshot().usage;
        let counts = usage.iter().filter_map(|(.., counts)| counts.get("a"));
        assert_eq!(counts.sum::<u64>(), 2, "requests in the usage windows");
    });
}

/// Guards against a node without the history that replaces the snapshot by its own empty counters.
#[test]
fn node_without_history_writes_nothing() {
    run(async {
        let store = Store::with_snapshot(1_000);
        // Without quotas declared the node can't apply the snapshot.
        let node = new_node("edge-a-1", &store);
        start(&node);
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        assert_eq!(store.snapshot_writes.get(), 0);
    });
}
