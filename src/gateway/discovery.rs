//! List of the nodes in the platform's store, by which they find each other.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::gateway::clock;
use crate::gateway::node::Node;
use crate::gateway::platform::Rows;
use crate::platform::{Outcome, Transaction};

/// Key prefix of the rows that list the nodes.
const ROW_PREFIX: &str = "node/";
/// Interval between reads of the list by the reader of a group of direct peers, and by other nodes,
/// which hear of new nodes from these nodes themselves.
const READER_INTERVAL: Duration = Duration::from_secs(10);
const MEMBER_INTERVAL: Duration = Duration::from_secs(60);
/// Interval between the first two reads of a reader: nodes that start together are not listed yet at the
/// first. A node that knows no other is its own reader.
const SECOND_READ_DELAY: Duration = Duration::from_secs(3);
/// Time over which the nodes register again after a restore of the store.
const REGISTER_AGAIN_TIME: Duration = Duration::from_secs(3);
/// Delay after a failed read or write of the list.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Age from which a row is ignored. A node writes its row again at a third of it.
const ROW_TTL_MS: u64 = 180_000;

/// Registers this node in the list in the store and reads the other nodes from it, until the process
/// ends.
pub async fn run(node: Rc<Node>) {
    let mut is_registered = false;
    let mut read_at: Option<Duration> = None;
    let mut reads = 0;
    let mut era = node.store_era.get();
    loop {
        let now = clock::now();
        // A restored store may have lost this node's row. Each node checks at a time of its own.
        if std::mem::replace(&mut era, node.store_era.get()) != era && read_at.is_some() {
            let position = xxh3::xxh3_64(node.settings.node.as_bytes()) % 1_000;
            tokio::time::sleep(REGISTER_AGAIN_TIME.mul_f64(position as f64 / 1_000.0)).await;
            read_at = None;
            continue;
        }
        let interval = match node.peers.borrow().is_reader(now) {
            true if reads < 2 => SECOND_READ_DELAY,
            true => READER_INTERVAL,
            false => MEMBER_INTERVAL,
        };
        if read_at.is_some_and(|read_at| now.saturating_sub(read_at) < interval) {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        match (node.platform.rows)(ROW_PREFIX.to_owned()).await {
            Ok(rows) => {
                if apply_rows(&node, &rows, &mut is_registered).await {
                    read_at = Some(now);
                    reads += 1;
                    continue;
                }
            }
            Err(failure) => log::debug!("discovery: event=list_unread reason=\"{failure}\""),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Adds the listed nodes as peers, and writes this node's row when it is missing or a third of its
/// lifetime old; returns whether this node is registered.
async fn apply_rows(node: &Rc<Node>, rows: &Rows, is_registered: &mut bool) -> bool {
    let now = clock::now();
    let own_key = format!("{ROW_PREFIX}{}", node.settings.node);
    let address = node.settings.listen.peers;
    let mut own_version = None;
    let mut is_own_fresh = false;
    for row in &rows.rows {
        let text = |name: &str| row.value.get(name).and_then(serde_json::Value::as_str);
        let written_ms = row.value.get("at_ms").and_then(serde_json::Value::as_u64).unwrap_or(0);
        let age = rows.now_ms.saturating_sub(written_ms);
        if row.key == own_key {
            own_version = Some(row.version);
            is_own_fresh = age < ROW_TTL_MS / 3;
            continue;
        }
        let listed_address = text("address").and_then(|text| text.parse().ok());
        let name = row.key.strip_prefix(ROW_PREFIX);
        if let (Some(name), Some(listed_address)) = (name, listed_address)
            && age < ROW_TTL_MS
        {
            let domain = text("domain").map(Arc::from);
            node.peers.borrow_mut().add(name.into(), domain, listed_address, now);
        }
    }
    node.listed_at.set(node.listed_at.get().or(Some(now)));
    if *is_registered && is_own_fresh {
        return true;
    }
    let value = serde_json::json!({
        "address": address.to_string(),
        "domain": node.settings.failure_domain,
        "at_ms": rows.now_ms,
    });
    let mut transaction = Transaction::default();
    transaction.put(&own_key, own_version, value);
    let outcome = (node.platform.transact)(transaction).await;
    *is_registered = matches!(outcome, Ok(Outcome::Done(_)));
    *is_registered
}
