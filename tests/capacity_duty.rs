//! Guards the capacity duty against duplicate starts after a lost response, calls by a node without
//! the lease, and stops of VMs that were not drained first. The platform is the stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use pomelolink::config::Settings;
use pomelolink::daemon::capacity;
use pomelolink::node::Node;
use pomelolink::platform;
use pomelolink::resource::{self, Catalog, Resource, Status};
use pomelolink::routing::Endpoint;
use serde_json::{Value, json};
use standin::client;
use tokio::net::TcpListener;

/// Proxy to the stand-in that loses the responses of the next starts.
struct Proxy {
    upstream: SocketAddr,
    http: Client<HttpConnector, Body>,
    responses_to_lose: AtomicU32,
}

async fn forward(State(proxy): State<Arc<Proxy>>, mut request: Request) -> Response {
    let path = request.uri().path_and_query().unwrap().clone();
    *request.uri_mut() = format!("http://{}{path}", proxy.upstream).parse().unwrap();
    let response = proxy.http.request(request).await.unwrap();
    let decrement = |remaining: u32| remaining.checked_sub(1);
    if path == "/cloud/start"
        && proxy
            .responses_to_lose
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok()
    {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    response.map(Body::new)
}

/// Starts the stand-in and a proxy that loses the responses of the next `responses_to_lose` starts.
/// Returns the address of the proxy and that of the stand-in.
async fn start_platform(responses_to_lose: u32) -> (SocketAddr, SocketAddr) {
    let bind = || TcpListener::bind("127.0.0.1:0");
    let (listener, upstream) = (bind().await.unwrap(), bind().await.unwrap());
    let (address, direct) = (listener.local_addr().unwrap(), upstream.local_addr().unwrap());
    tokio::spawn(standin::platform::run(upstream, standin::platform::Options::default()));
    let http = Client::builder(TokioExecutor::new()).build_http();
    let proxy =
        Proxy { upstream: direct, http, responses_to_lose: AtomicU32::new(responses_to_lose) };
    let router = axum::Router::new().fallback(forward).with_state(Arc::new(proxy));
    tokio::spawn(async move { axum::serve(listener, router).await });
    (address, direct)
}

async fn call(address: SocketAddr, method: &str, path: &str, body: Value) -> Value {
    let body = if body.is_null() { String::new() } else { body.to_string() };
    let headers = [("content-type", "application/json")];
    client::call(address, method, path, &headers, body).await.unwrap().json()
}

fn offers(floor: u32) -> Value {
    let offer = |domain: &str, price: f64| json!({ "failure_domain": domain, "class": "small", "reclaimable": true, "price": price });
    json!({
        "starts_per_hour": 3600, "starts_at_once": 20, "warm_s": 0,
        "floors": [{ "service": "chat", "vms": floor }],
        "pools": [{ "pool": "engines", "unit": "tokens", "per_vm": 400.0,
            "offers": [offer("dk-a", 1.0), offer("dk-b", 1.1), offer("dk-c", 1.2)] }],
    })
}

fn new_node(name: &str, platform: SocketAddr) -> Arc<Node> {
    let settings = json!({
        "node": name, "region": "dk", "failure_domain": "dk-a", "platform": platform.to_string(),
        "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
        "peer_keys": ["0123456789abcdef"], "timing": { "lease_term_ms": 3000 },
        "capacity": { "enabled": true },
    });
    let settings = Settings::parse("settings.json", &settings.to_string()).unwrap();
    assert!(settings.capacity.enabled);
    let node = Arc::new(Node::new(settings));
    let declared = json!([
        { "kind": "pool", "name": "engines", "class": "small" },
        { "kind": "service", "name": "chat", "protocol": "model", "version": "chat-1" },
        { "kind": "version", "name": "chat-1", "service": "chat", "pool": "engines" },
    ]);
    let declared = resource::parse("chat.json", &declared.to_string()).unwrap();
    let resources = declared.into_iter().map(|declared| {
        (declared.id, Resource { spec: declared.spec, generation: 1, status: Status::default() })
    });
    assert!(node.revision.apply(Catalog { revision: 1, resources: resources.collect() }));
    node
}

async fn counters(direct: SocketAddr) -> Value {
    call(direct, "GET", "/control/counters", Value::Null).await
}

/// Waits until the number of listed VMs has been `count` for 25 polls in a row, which is 5 s.
async fn wait_for_vm_count(client: &platform::Client, count: usize) -> Vec<platform::Vm> {
    let mut stable_polls = 0;
    for _ in 0..300 {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let vms = client.vms().await.unwrap();
        stable_polls = if vms.len() == count { stable_polls + 1 } else { 0 };
        if stable_polls == 25 {
            return vms;
        }
    }
    panic!("there are {} VMs instead of {count}", client.vms().await.unwrap().len());
}

/// Guards against too many or too few VMs after starts with lost responses, refused starts, and a
/// reclaim during a change of the lease holder.
#[tokio::test]
async fn vm_count_after_faults() {
    let (address, direct) = start_platform(2).await;
    let faults = json!({ "list_lag_ms": 4000, "refuse_domains": ["dk-b"] });
    call(direct, "POST", "/control/faults", faults).await;
    call(direct, "PUT", "/objects/capacity/offers", offers(2)).await;
    // Two nodes compete for the lease; only its holder may start VMs.
    let nodes = [new_node("entry-1", address), new_node("entry-2", address)];
    let running: Vec<_> =
        nodes.iter().map(|node| tokio::spawn(capacity::run(node.clone()))).collect();
    // With two VMs in each of two failure domains, two remain after the loss of a domain.
    let vms = wait_for_vm_count(&nodes[0].client, 4).await;
    assert!(vms.iter().all(|vm| &*vm.failure_domain != "dk-b"), "{vms:?}");
    let before = counters(direct).await;
    assert!(before["refused_starts"].as_u64().unwrap() >= 1, "{before}");
    // A reclaimed VM is replaced, by the other node if the first lease holder has stopped.
    nodes[0].stopping.send_replace(true);
    let reclaim = json!({ "vm": vms[0].id, "left_ms": 500 });
    call(direct, "POST", "/control/reclaim", reclaim).await;
    let vms = wait_for_vm_count(&nodes[1].client, 4).await;
    let domains = vms.iter().filter(|vm| &*vm.failure_domain == "dk-a").count();
    assert_eq!(domains, 2, "{vms:?}");
    let after = counters(direct).await;
    assert_eq!(after["stops"], 0, "VMs were stopped: {after}");
    nodes[1].stopping.send_replace(true);
    for task in running {
        task.await.unwrap();
    }
}

/// Guards against a drained VM that is stopped while requests run on it, or before every node has
/// reported the drain.
#[tokio::test]
async fn no_early_stop_of_drained_vm() {
    let (address, direct) = start_platform(0).await;
    let running = Arc::new(AtomicU32::new(1));
    let load = running.clone();
    let get_load = axum::routing::get(move || {
        let running = load.load(Ordering::SeqCst);
        async move { axum::Json(json!({ "running": running, "queued": 0 })) }
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let engine = listener.local_addr().unwrap();
    let router = axum::Router::new().route("/load", get_load);
    tokio::spawn(async move { axum::serve(listener, router).await });
    let vm = json!({ "id": "vm-1", "address": engine.to_string(), "region": "dk",
        "failure_domain": "dk-a", "pool": "engines", "class": "small", "reclaimable": true,
        "leaving": false });
    call(direct, "PUT", "/control/vms", json!([vm])).await;
    let mut sheet = offers(0);
    sheet["drain_settle_s"] = 1.into();
    call(direct, "PUT", "/objects/capacity/offers", sheet).await;
    // A former lease holder has begun the drain; a node that hasn't reported it sends requests.
    let now_ms = pomelolink::claim::attempt::unix_ms();
    let ledger = json!({ "serial": 1, "starts": [],
        "drains": [{ "vm": "vm-1", "since_ms": now_ms }] });
    let stale_report = json!({ "at_ms": now_ms, "services": {}, "drained": [] });
    let write = |key: &str, value: &Value| {
        let writes = json!([{ "key": key, "value": value }]);
        call(direct, "POST", "/table/transact", json!({ "conditions": [], "writes": writes }))
    };
    write("capacity/ledger", &ledger).await;
    write("capacity/demand/entry-2", &stale_report).await;
    let node = new_node("entry-1", address);
    let pool: Arc<str> = "engines".into();
    let endpoint = Endpoint {
        id: "vm-1".into(),
        address: engine,
        failure_domain: "dk-a".into(),
        region: "dk".into(),
        pool: pool.clone(),
        version: None,
        cost: 1,
    };
    node.with_table(&pool, |table| table.update(Duration::ZERO, vec![endpoint]));
    let task = tokio::spawn(capacity::run(node.clone()));
    let stops = async |seconds| {
        tokio::time::sleep(Duration::from_secs(seconds)).await;
        counters(direct).await["stops"].as_u64().unwrap()
    };
    assert_eq!(stops(12).await, 0, "the VM was stopped with a request in flight");
    assert!(node.with_table(&pool, |table| table.is_empty()), "the VM still receives new requests");
    running.store(0, Ordering::SeqCst);
    assert_eq!(stops(12).await, 0, "the VM was stopped while a node still sent requests to it");
    let current_report = json!({ "at_ms": now_ms, "services": {}, "drained": ["vm-1"] });
    write("capacity/demand/entry-2", &current_report).await;
    for _ in 0..20 {
        if stops(2).await > 0 {
            break;
        }
    }
    assert_eq!(node.client.vms().await.unwrap(), []);
    node.stopping.send_replace(true);
    task.await.unwrap();
}
