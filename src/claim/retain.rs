//! Removes expired claim rows.
//!
//! The table has no index by age, and a busy service has far too many rows to read at once. Row
//! keys end in a hash, so a random range of hashes is a fair sample: each node reads one such slice
//! per period and deletes the expired rows in it with one transaction.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Row;
use super::attempt::unix_ms;
use crate::platform::{self, Condition, Outcome, Transaction, Write};

/// Time for which a claim row is kept after its outcome was recorded, or after the deadline of a
/// request without one. A caller must not repeat a request later than that; see `docs/PROOFS.md`.
pub const RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Mean time between two sweeps of a node. Together with `MAX_SLICE_ROWS` it limits how much a node
/// deletes: about 100 rows a second, in 0.1 transactions a second.
const PERIOD: Duration = Duration::from_secs(10);
/// If a slice has more rows than this, the next one is 16 times smaller.
const MAX_SLICE_ROWS: usize = 1_024;
/// If a slice has fewer rows than this, the next one is 16 times larger. `MAX_SLICE_ROWS` is more
/// than 16 times this, so that the slice size converges instead of alternating.
const MIN_SLICE_ROWS: usize = 32;
/// Number of hexadecimal digits of the hash that select the first slice, while the number of rows
/// is unknown.
const INITIAL_DIGITS: usize = 4;
const MAX_DIGITS: usize = 8;

/// Key prefixes of the workspaces and services whose claims this node has written, each with the
/// number of hash digits that select a slice of its rows.
#[derive(Debug, Default)]
pub struct Prefixes {
    digits: Mutex<BTreeMap<String, usize>>,
}

impl Prefixes {
    /// Adds the prefix of a claim row's key to those that are swept.
    pub fn add(&self, key: &str) {
        let Some(end) = key.rfind('/') else { return };
        let mut digits = self.digits.lock().unwrap_or_else(PoisonError::into_inner);
        if !digits.contains_key(&key[..=end]) {
            digits.insert(key[..=end].to_owned(), INITIAL_DIGITS);
        }
    }

    fn choose(&self, random: &mut StdRng) -> Option<(String, usize)> {
        let digits = self.digits.lock().unwrap_or_else(PoisonError::into_inner);
        let count = digits.len();
        let index = if count > 0 { random.random_range(0..count) } else { return None };
        digits.iter().nth(index).map(|(prefix, digits)| (prefix.clone(), *digits))
    }

    fn set_digits(&self, prefix: &str, digits: usize) {
        let mut all = self.digits.lock().unwrap_or_else(PoisonError::into_inner);
        all.insert(prefix.to_owned(), digits);
    }
}

/// Reports whether a claim row is past its retention time and can be deleted.
pub fn is_past_retention(row: &Row, now_ms: u64) -> bool {
    let retention_ms = u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX);
    row.until_ms.saturating_add(retention_ms) < now_ms
}

/// Returns the number of hash digits that select the next slice, after a slice selected by `digits`
/// digits had `rows` rows.
pub fn next_digits(digits: usize, rows: usize) -> usize {
    match rows {
        rows if rows > MAX_SLICE_ROWS => (digits + 1).min(MAX_DIGITS),
        rows if rows < MIN_SLICE_ROWS => digits.saturating_sub(1),
        _ => digits,
    }
}

/// Row counts of one sweep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sweep {
    /// Rows that were read.
    pub rows: usize,
    /// Rows that were deleted.
    pub removed: usize,
}

/// Removes the expired claim rows under a key prefix, with at most one transaction. If a row
/// changes between the read and the transaction, the transaction fails, and a later sweep removes
/// the rest.
///
/// # Errors
///
/// Fails when the slice can't be read.
pub async fn sweep(
    client: &platform::Client,
    prefix: &str,
    now_ms: u64,
) -> Result<Sweep, platform::Failure> {
    let query = platform::Query { keys: Vec::new(), prefixes: vec![prefix.to_owned()] };
    let rows = client.read(&query).await?;
    let mut transaction = Transaction::default();
    for row in rows.values() {
        let claim = serde_json::from_value::<Row>(row.value.clone());
        if claim.is_ok_and(|claim| is_past_retention(&claim, now_ms)) {
            let (key, version) = (row.key.clone(), Some(row.version));
            transaction.conditions.push(Condition { key: key.clone(), version });
            transaction.writes.push(Write { key, value: None });
        }
    }
    let mut swept = Sweep { rows: rows.len(), removed: 0 };
    if !transaction.writes.is_empty()
        && let Outcome::Done(_) = client.transact(&transaction).await
    {
        swept.removed = transaction.writes.len();
    }
    Ok(swept)
}

/// Sweeps one slice per period until the owner of the prefixes is dropped.
pub async fn run(client: platform::Client, prefixes: Weak<Prefixes>) {
    let mut random = StdRng::seed_from_u64(rand::random());
    loop {
        // The jitter keeps nodes that started at the same time from reading at the same time.
        tokio::time::sleep(PERIOD.mul_f64(random.random_range(0.5..1.5))).await;
        let Some(prefixes) = prefixes.upgrade() else { return };
        if let Some((prefix, digits)) = prefixes.choose(&mut random) {
            sweep_slice(&client, &prefixes, &prefix, digits, &mut random).await;
        }
    }
}

async fn sweep_slice(
    client: &platform::Client,
    prefixes: &Arc<Prefixes>,
    prefix: &str,
    digits: usize,
    random: &mut StdRng,
) {
    let slice: String =
        (0..digits).map(|_| format!("{:x}", random.random_range(0..16_u8))).collect();
    match sweep(client, &format!("{prefix}{slice}"), unix_ms()).await {
        Ok(swept) => {
            prefixes.set_digits(prefix, next_digits(digits, swept.rows));
            if swept.removed > 0 {
                log::debug!("claim: removed {} expired rows of {}", swept.removed, swept.rows);
            }
        }
        // The slice may have been too large to be read before the timeout, so the next one is
        // smaller.
        Err(_) => prefixes.set_digits(prefix, (digits + 1).min(MAX_DIGITS)),
    }
}
