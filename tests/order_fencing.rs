//! Guards against orders without a lease, from a former holder, or repeated with effect.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::extract::State;
use axum::routing::{get, post};
use axum::{Json, Router};
use http::StatusCode;
use pomelolink::lease::{Duty, Holder, Keeper};
use pomelolink::order::{Action, Answer, Desk, Kind, Order, SETTLE, Sender};
use pomelolink::platform::{Client, Query, Row, Transaction, Verdict};
use pomelolink::{error, lease};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn holder(fence: u64) -> Option<Holder> {
    Some(Holder { fence, until: seconds(20), predecessor_end: seconds(6) })
}

fn next(desk: &mut Desk, checks_fencing: bool, holder: Option<Holder>, now: u64) -> Action {
    desk.next(&"endpoint".into(), checks_fencing, &"id".into(), &Kind::Drain, holder, seconds(now))
}

#[test]
fn order_needs_time_left_for_its_answer() {
    let mut desk = Desk::default();
    assert_eq!(next(&mut desk, true, None, 1), Action::NotHolder);
    assert_eq!(next(&mut desk, true, holder(3), 19), Action::NotHolder);
    assert!(matches!(next(&mut desk, true, holder(3), 18), Action::Send(_)));
}

#[test]
fn endpoint_without_fencing_waits_and_is_read_first() {
    let mut desk = Desk::default();
    assert_eq!(next(&mut desk, false, holder(3), 1), Action::Wait(seconds(6) + SETTLE));
    assert_eq!(next(&mut desk, false, holder(3), 8), Action::ReadState);
    desk.state_read(&"endpoint".into(), 2);
    assert_eq!(next(&mut desk, false, holder(3), 8), Action::ReadState, "read under an old lease");
    desk.state_read(&"endpoint".into(), 3);
    assert!(matches!(next(&mut desk, false, holder(3), 8), Action::Send(_)));
    assert_eq!(next(&mut desk, false, holder(4), 8), Action::ReadState, "a new lease reads again");
}

#[test]
fn fenced_holder_stops_until_it_has_a_new_lease() {
    let mut desk = Desk::default();
    assert!(matches!(next(&mut desk, true, holder(3), 8), Action::Send(_)));
    assert!(!desk.answered(&"endpoint".into(), 3, Answer::Fenced, seconds(8)));
    assert_eq!(next(&mut desk, true, holder(3), 9), Action::NotHolder);
    assert!(matches!(next(&mut desk, true, holder(5), 9), Action::Send(_)));
    assert!(!desk.answered(&"endpoint".into(), 3, Answer::Fenced, seconds(9)));
    assert!(matches!(next(&mut desk, true, holder(5), 9), Action::Send(_)), "a late rejection");
}

/// Runs a table and an endpoint that loses the answer to the first order.
#[derive(Default)]
struct Peer {
    rows: Mutex<Vec<Row>>,
    version: AtomicU64,
    highest_fence: AtomicU64,
    applied: Mutex<Vec<Arc<str>>>,
    posts: AtomicUsize,
}

async fn transact(State(peer): State<Arc<Peer>>, Json(wanted): Json<Transaction>) -> Json<Verdict> {
    let mut rows = peer.rows.lock().unwrap();
    let known = rows.iter().position(|row| row.key == wanted.conditions[0].key);
    let committed = known.map(|index| rows[index].version) == wanted.conditions[0].version;
    let version = peer.version.fetch_add(1, Ordering::Relaxed) + 1;
    if committed {
        let key = wanted.writes[0].key.clone();
        let row = Row { key, version, value: wanted.writes[0].value.clone().unwrap() };
        rows.retain(|known| known.key != row.key);
        rows.push(row);
    }
    Json(Verdict { committed, version, rows: rows.clone() })
}

async fn read(State(peer): State<Arc<Peer>>, Json(query): Json<Query>) -> Json<Vec<Row>> {
    let rows = peer.rows.lock().unwrap();
    Json(rows.iter().filter(|row| query.keys.contains(&row.key)).cloned().collect())
}

async fn order(State(peer): State<Arc<Peer>>, Json(order): Json<Order>) -> StatusCode {
    if order.fence < peer.highest_fence.fetch_max(order.fence, Ordering::Relaxed) {
        return StatusCode::CONFLICT;
    }
    let mut applied = peer.applied.lock().unwrap();
    if !applied.contains(&order.id) {
        applied.push(order.id);
    }
    match peer.posts.fetch_add(1, Ordering::Relaxed) {
        0 => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::OK,
    }
}

async fn start() -> (SocketAddr, Arc<Peer>) {
    let peer = Arc::new(Peer::default());
    let router = Router::new()
        .route("/table/transact", post(transact))
        .route("/table/read", post(read))
        .route("/orders", post(order))
        .route("/load", get(async || Json(serde_json::json!({ "running": 0, "queued": 0 }))))
        .with_state(peer.clone());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    (address, peer)
}

fn keeper(address: SocketAddr, process: &str, start: Instant) -> Arc<Keeper> {
    let client = Client::new(address, seconds(5));
    let clock = Arc::new(move || start.elapsed());
    // A long term keeps slow machines from losing the lease within the test.
    Arc::new(Keeper::new(client, Duty::new("orders", "a"), process.into(), seconds(60), clock))
}

async fn hold(keeper: &Arc<Keeper>) -> tokio::task::JoinHandle<()> {
    let running = keeper.clone();
    let run = tokio::spawn(async move { running.run().await });
    for _ in 0..3_000 {
        if keeper.holder(Duration::ZERO).is_some() {
            return run;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the lease was not acquired in 30 s");
}

#[tokio::test]
async fn orders_pass_between_holders_without_repeats() {
    let (address, peer) = start().await;
    let begin = Instant::now();
    let first = keeper(address, "first", begin);
    let run = hold(&first).await;
    let sender = Sender::default();
    let kind = Kind::LoadVersion { version: "v2".into() };
    let load = |id: &str, keeper| {
        let (id, kind, sender) = (Arc::from(id), kind.clone(), &sender);
        async move { sender.send(address, true, id, kind, keeper, seconds(30)).await }
    };
    load("load-1", &*first).await.unwrap();
    assert_eq!(peer.posts.load(Ordering::Relaxed), 2, "an unknown outcome is sent again");
    assert_eq!(peer.applied.lock().unwrap().len(), 1, "and has effect once");

    first.release();
    run.await.unwrap();
    let refused = load("load-2", &*first).await.unwrap_err();
    assert_eq!(refused.kind, error::Kind::Conflict);

    let second = keeper(address, "second", begin);
    let run = hold(&second).await;
    assert_eq!(second.holder(Duration::ZERO).map(|holder| holder.fence), Some(2));
    load("load-3", &*second).await.unwrap();
    peer.highest_fence.store(9, Ordering::Relaxed);
    assert_eq!(load("load-4", &*second).await.unwrap_err().kind, error::Kind::Conflict);
    let row = lease::read(&Client::new(address, seconds(5)), &Duty::new("orders", "a")).await;
    assert_eq!(row.unwrap().map(|row| row.holder), Some("second".into()));
    second.release();
    run.await.unwrap();
}

#[test]
fn order_has_the_shape_that_engines_read() {
    let kind = Kind::LoadVersion { version: "v2".into() };
    let order = Order { id: "a-1".into(), fence: 7, kind };
    let expected = r#"{"id":"a-1","fence":7,"kind":"load_version","version":"v2"}"#;
    assert_eq!(serde_json::to_string(&order).unwrap(), expected);
}
