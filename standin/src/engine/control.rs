//! Orders to the engine, and the control routes for tests.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};

use axum::Json;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

use super::Engine;
use crate::fault;

type Shared = State<Arc<Engine>>;

/// Tells the engine to load something or to change its role; further fields are kept as they are.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Order {
    id: String,
    #[serde(default)]
    fence: u64,
    kind: String,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

#[derive(Debug, Default)]
pub(super) struct Orders {
    highest: u64,
    applied: Vec<Order>,
    by_id: HashMap<String, usize>,
    repeated: u64,
    rejected: u64,
    /// Orders that were applied although a higher fencing number had been seen.
    outdated: u64,
}

impl Engine {
    fn orders(&self) -> MutexGuard<'_, Orders> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub(super) async fn order(State(engine): Shared, Json(order): Json<Order>) -> Response {
    let mut orders = engine.orders();
    if orders.by_id.contains_key(&order.id) {
        orders.repeated += 1;
        return Json(json!({ "id": order.id, "repeated": true })).into_response();
    }
    let outdated = order.fence < orders.highest;
    if outdated && engine.options.check_fencing {
        orders.rejected += 1;
        let body = json!({ "error": "outdated fencing number", "highest": orders.highest });
        return (StatusCode::CONFLICT, Json(body)).into_response();
    }
    orders.outdated += u64::from(outdated);
    orders.highest = orders.highest.max(order.fence);
    let answer = json!({ "id": order.id, "repeated": false });
    let position = orders.applied.len();
    orders.by_id.insert(order.id.clone(), position);
    orders.applied.push(order);
    Json(answer).into_response()
}

pub(super) async fn orders(State(engine): Shared) -> Json<Vec<Order>> {
    Json(engine.orders().applied.clone())
}

pub(super) async fn set_faults(State(engine): Shared, Json(patch): Json<Value>) -> Response {
    let mut faults = engine.faults();
    let response = fault::update(&mut *faults, patch);
    engine.frozen.store(faults.freeze, Ordering::Release);
    drop(faults);
    for stream in engine.scheduler().streams() {
        stream.wake.notify_one();
    }
    response
}

pub(super) async fn counters(State(engine): Shared) -> Json<Value> {
    let (totals, (running, queued), last_ended) = {
        let scheduler = engine.scheduler();
        (scheduler.totals, scheduler.load(), scheduler.last_ended())
    };
    let orders = engine.orders();
    Json(json!({
        "requests": engine.requests.load(Ordering::Relaxed),
        "failed": engine.failed.load(Ordering::Relaxed),
        "completed": engine.completed.load(Ordering::Relaxed),
        "resume_mismatches": engine.mismatches.load(Ordering::Relaxed),
        "running": running,
        "queued": queued,
        "last_ended": last_ended.as_deref(),
        "prompt_tokens": totals.prompt,
        "cached_tokens": totals.cached,
        "recomputed_tokens": totals.recomputed,
        "orders": orders.applied.len(),
        "orders_repeated": orders.repeated,
        "orders_rejected": orders.rejected,
        "orders_outdated": orders.outdated,
    }))
}
