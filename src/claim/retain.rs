//! Removes claim rows whose time is over.
//!
//! The table has no index by age, and the rows of a busy service are far too many to read at once.
//! Keys are hashes, so a random slice of them is as good as any other: each node reads one slice per
//! period and deletes what is over in it with one transaction.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Row;
use super::keeper::unix_ms;
use crate::platform::{self, Condition, Outcome, Transaction, Write};

/// A key is remembered for this long after its answer was recorded, or after the deadline of a
/// request without one. A caller must not repeat a request later; see `docs/PROOFS.md`.
pub const KEEP: Duration = Duration::from_secs(24 * 3_600);
/// Time between two slices on one node. Together with `MANY` it bounds what a node deletes: about
/// 100 rows a second, in 0.1 transactions a second.
const PERIOD: Duration = Duration::from_secs(10);
/// With more rows than this in a slice, the next slice is a sixteenth as large.
const MANY: usize = 1_024;
/// With fewer rows than this in a slice, the next slice is 16 times as large. The gap between the
/// two bounds is wider than a factor of 16, so that the size settles.
const FEW: usize = 32;
/// Hexadecimal digits of the hash that select a slice at first, when the number of rows is unknown.
const FIRST_DIGITS: usize = 4;
const MOST_DIGITS: usize = 8;

/// Holds the workspaces and services whose claims this node has written, as key prefixes, and how
/// many digits select a slice of each.
#[derive(Debug, Default)]
pub struct Scopes {
    digits: Mutex<BTreeMap<String, usize>>,
}

impl Scopes {
    /// Takes the prefix of a claim key into the sweep.
    pub fn note(&self, key: &str) {
        let Some(end) = key.rfind('/') else { return };
        let mut digits = self.digits.lock().unwrap_or_else(PoisonError::into_inner);
        if !digits.contains_key(&key[..=end]) {
            digits.insert(key[..=end].to_owned(), FIRST_DIGITS);
        }
    }

    fn choose(&self, random: &mut StdRng) -> Option<(String, usize)> {
        let digits = self.digits.lock().unwrap_or_else(PoisonError::into_inner);
        let count = digits.len();
        let chosen = if count > 0 { random.random_range(0..count) } else { return None };
        digits.iter().nth(chosen).map(|(scope, digits)| (scope.clone(), *digits))
    }

    fn set(&self, scope: &str, digits: usize) {
        let mut all = self.digits.lock().unwrap_or_else(PoisonError::into_inner);
        all.insert(scope.to_owned(), digits);
    }
}

/// Tells whether nobody needs a row any more.
pub fn is_over(row: &Row, now_ms: u64) -> bool {
    let keep = u64::try_from(KEEP.as_millis()).unwrap_or(u64::MAX);
    row.until_ms.saturating_add(keep) < now_ms
}

/// Gives the digits for the next slice after one of this many rows.
pub fn next_digits(digits: usize, rows: usize) -> usize {
    match rows {
        rows if rows > MANY => (digits + 1).min(MOST_DIGITS),
        rows if rows < FEW => digits.saturating_sub(1),
        _ => digits,
    }
}

/// Counts what one slice held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Swept {
    pub rows: usize,
    pub removed: usize,
}

/// Removes the rows below a key prefix whose time is over, with one transaction at most. A row that
/// changes in between makes the transaction fail; a later sweep gets the others.
///
/// # Errors
///
/// Fails when the slice can't be read.
pub async fn sweep(
    client: &platform::Client,
    prefix: &str,
    now_ms: u64,
) -> Result<Swept, platform::Failure> {
    let query = platform::Query { keys: Vec::new(), prefixes: vec![prefix.to_owned()] };
    let rows = client.read(&query).await?;
    let mut transaction = Transaction::default();
    for row in rows.values() {
        let over = serde_json::from_value::<Row>(row.value.clone());
        if over.is_ok_and(|value| is_over(&value, now_ms)) {
            let (key, version) = (row.key.clone(), Some(row.version));
            transaction.conditions.push(Condition { key: key.clone(), version });
            transaction.writes.push(Write { key, value: None });
        }
    }
    let mut swept = Swept { rows: rows.len(), removed: 0 };
    if !transaction.writes.is_empty()
        && let Outcome::Done(_) = client.transact(&transaction).await
    {
        swept.removed = transaction.writes.len();
    }
    Ok(swept)
}

/// Sweeps slice after slice until the owner of the scopes is gone.
pub async fn run(client: platform::Client, scopes: Weak<Scopes>) {
    let mut random = StdRng::seed_from_u64(rand::random());
    loop {
        // Nodes that started together must not read together.
        tokio::time::sleep(PERIOD.mul_f64(random.random_range(0.5..1.5))).await;
        let Some(scopes) = scopes.upgrade() else { return };
        if let Some((scope, digits)) = scopes.choose(&mut random) {
            sweep_slice(&client, &scopes, &scope, digits, &mut random).await;
        }
    }
}

async fn sweep_slice(
    client: &platform::Client,
    scopes: &Arc<Scopes>,
    scope: &str,
    digits: usize,
    random: &mut StdRng,
) {
    let slice: String =
        (0..digits).map(|_| format!("{:x}", random.random_range(0..16_u8))).collect();
    match sweep(client, &format!("{scope}{slice}"), unix_ms()).await {
        Ok(swept) => {
            scopes.set(scope, next_digits(digits, swept.rows));
            if swept.removed > 0 {
                log::debug!("claim: removed {} of {} old rows", swept.removed, swept.rows);
            }
        }
        // The slice may have been too large to be read in time; a smaller one is tried next.
        Err(_) => scopes.set(scope, (digits + 1).min(MOST_DIGITS)),
    }
}
