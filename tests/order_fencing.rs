//! Guards against orders that are sent without a lease or by a former holder, or that an endpoint
//! runs twice.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::extract::State;
use axum::routing::{get, post};
use axum::{Json, Router};
use http::StatusCode;
use pomelolink::lease::{Duty, Grant, Keeper};
use pomelolink::order::{Action, Answer, Kind, MAX_ORDER_DELAY, Order, Scheduler, Sender};
use pomelolink::platform::{Client, Query, Row, Transaction, TransactionResponse};
use pomelolink::{error, lease};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn grant(fence: u64) -> Option<Grant> {
    Some(Grant { fence, until: seconds(20), predecessor_end: seconds(6) })
}

fn next(scheduler: &mut Scheduler, checks_fencing: bool, grant: Option<Grant>, now: u64) -> Action {
    scheduler.next_action(
        &"endpoint".into(),
        checks_fencing,
        &"id".into(),
        &Kind::Drain,
        grant,
        seconds(now),
    )
}

/// Guards against an order whose answer can arrive after the lease has expired.
#[test]
fn order_near_lease_expiry() {
    let mut scheduler = Scheduler::default();
    assert_eq!(next(&mut scheduler, true, None, 1), Action::NotHolder);
    assert_eq!(next(&mut scheduler, true, grant(3), 19), Action::NotHolder);
    assert!(matches!(next(&mut scheduler, true, grant(3), 18), Action::Send(_)));
}

/// Guards against orders to an endpoint without fencing while an order of the previous holder can
/// still arrive, or before the endpoint's state was read under the current lease.
#[test]
fn unfenced_endpoint_not_read() {
    let mut scheduler = Scheduler::default();
    assert_eq!(
        next(&mut scheduler, false, grant(3), 1),
        Action::Wait(seconds(6) + MAX_ORDER_DELAY)
    );
    assert_eq!(next(&mut scheduler, false, grant(3), 8), Action::ReadState);
    scheduler.record_state_read(&"endpoint".into(), 2);
    assert_eq!(
        next(&mut scheduler, false, grant(3), 8),
        Action::ReadState,
        "the state was read under an old lease"
    );
    scheduler.record_state_read(&"endpoint".into(), 3);
    assert!(matches!(next(&mut scheduler, false, grant(3), 8), Action::Send(_)));
    assert_eq!(
        next(&mut scheduler, false, grant(4), 8),
        Action::ReadState,
        "the state must be read again under a new lease"
    );
}

/// Guards against a former holder that keeps sending orders, and against a new holder that stops
/// because of a late rejection of an order sent under its earlier lease.
#[test]
fn fenced_holder_keeps_sending() {
    let mut scheduler = Scheduler::default();
    assert!(matches!(next(&mut scheduler, true, grant(3), 8), Action::Send(_)));
    assert!(!scheduler.handle_answer(&"endpoint".into(), 3, Answer::Fenced, seconds(8)));
    assert_eq!(next(&mut scheduler, true, grant(3), 9), Action::NotHolder);
    assert!(matches!(next(&mut scheduler, true, grant(5), 9), Action::Send(_)));
    assert!(!scheduler.handle_answer(&"endpoint".into(), 3, Answer::Fenced, seconds(9)));
    assert!(matches!(next(&mut scheduler, true, grant(5), 9), Action::Send(_)), "a late rejection");
}

/// Fake platform table and endpoint; the endpoint runs the first order but answers it with an
/// error.
#[derive(Default)]
struct Backend {
    rows: Mutex<Vec<Row>>,
    version: AtomicU64,
    highest_fence: AtomicU64,
    run_orders: Mutex<Vec<Arc<str>>>,
    post_count: AtomicUsize,
}

async fn transact(
    State(backend): State<Arc<Backend>>,
    Json(wanted): Json<Transaction>,
) -> Json<TransactionResponse> {
    let mut rows = backend.rows.lock().unwrap();
    let index = rows.iter().position(|row| row.key == wanted.conditions[0].key);
    let committed = index.map(|index| rows[index].version) == wanted.conditions[0].version;
    let version = backend.version.fetch_add(1, Ordering::Relaxed) + 1;
    if committed {
        let key = wanted.writes[0].key.clone();
        let row = Row { key, version, value: wanted.writes[0].value.clone().unwrap() };
        rows.retain(|known| known.key != row.key);
        rows.push(row);
    }
    Json(TransactionResponse { committed, version, rows: rows.clone() })
}

async fn read(State(backend): State<Arc<Backend>>, Json(query): Json<Query>) -> Json<Vec<Row>> {
    let rows = backend.rows.lock().unwrap();
    Json(rows.iter().filter(|row| query.keys.contains(&row.key)).cloned().collect())
}

async fn order(State(backend): State<Arc<Backend>>, Json(order): Json<Order>) -> StatusCode {
    if order.fence < backend.highest_fence.fetch_max(order.fence, Ordering::Relaxed) {
        return StatusCode::CONFLICT;
    }
    let mut run_orders = backend.run_orders.lock().unwrap();
    if !run_orders.contains(&order.id) {
        run_orders.push(order.id);
    }
    match backend.post_count.fetch_add(1, Ordering::Relaxed) {
        0 => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::OK,
    }
}

async fn start_backend() -> (SocketAddr, Arc<Backend>) {
    let backend = Arc::new(Backend::default());
    let router = Router::new()
        .route("/table/transact", post(transact))
        .route("/table/read", post(read))
        .route("/orders", post(order))
        .route("/load", get(async || Json(serde_json::json!({ "running": 0, "queued": 0 }))))
        .with_state(backend.clone());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    (address, backend)
}

fn keeper(address: SocketAddr, process: &str, start: Instant) -> Arc<Keeper> {
    let client = Client::new(address, seconds(5));
    let clock = Arc::new(move || start.elapsed());
    // The long term keeps the lease from expiring during the test on a slow machine.
    Arc::new(Keeper::new(client, Duty::new("orders", "a"), process.into(), seconds(60), clock))
}

async fn acquire(keeper: &Arc<Keeper>) -> tokio::task::JoinHandle<()> {
    let running = keeper.clone();
    let task = tokio::spawn(async move { running.run().await });
    for _ in 0..3_000 {
        if keeper.grant(Duration::ZERO).is_some() {
            return task;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the lease was not acquired in 30 s");
}

/// Guards against an order that an endpoint runs twice after a lost answer, and against orders that
/// a former holder sends after another process has acquired the lease.
#[tokio::test]
async fn repeated_or_fenced_orders() {
    let (address, backend) = start_backend().await;
    let start = Instant::now();
    let first = keeper(address, "first", start);
    let task = acquire(&first).await;
    let sender = Sender::default();
    let kind = Kind::LoadVersion { version: "v2".into() };
    let send = |id: &str, keeper| {
        let (id, kind, sender) = (Arc::from(id), kind.clone(), &sender);
        async move { sender.send(address, true, id, kind, keeper, seconds(30)).await }
    };
    send("load-1", &*first).await.unwrap();
    assert_eq!(
        backend.post_count.load(Ordering::Relaxed),
        2,
        "an order with an unknown outcome is sent again"
    );
    assert_eq!(
        backend.run_orders.lock().unwrap().len(),
        1,
        "the endpoint runs a repeated order once"
    );

    first.release();
    task.await.unwrap();
    let refused = send("load-2", &*first).await.unwrap_err();
    assert_eq!(refused.kind, error::Kind::Conflict);

    let second = keeper(address, "second", start);
    let task = acquire(&second).await;
    assert_eq!(second.grant(Duration::ZERO).map(|grant| grant.fence), Some(2));
    send("load-3", &*second).await.unwrap();
    backend.highest_fence.store(9, Ordering::Relaxed);
    assert_eq!(send("load-4", &*second).await.unwrap_err().kind, error::Kind::Conflict);
    let row = lease::read(&Client::new(address, seconds(5)), &Duty::new("orders", "a")).await;
    assert_eq!(row.unwrap().map(|row| row.holder), Some("second".into()));
    second.release();
    task.await.unwrap();
}

/// Guards against a change of the JSON format in which endpoints receive orders.
#[test]
fn order_json_format() {
    let kind = Kind::LoadVersion { version: "v2".into() };
    let order = Order { id: "a-1".into(), fence: 7, kind };
    let expected = r#"{"id":"a-1","fence":7,"kind":"load_version","version":"v2"}"#;
    assert_eq!(serde_json::to_string(&order).unwrap(), expected);
}
