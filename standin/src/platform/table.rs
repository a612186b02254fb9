//! The transactional table: conditions and writes under one lock, one version counter.

use std::collections::BTreeMap;

use pomelolink::platform::{Query, Row, Transaction, TransactionResponse};

#[derive(Debug, Default)]
pub(super) struct Table {
    version: u64,
    rows: BTreeMap<String, Row>,
}

impl Table {
    /// Applies the writes when every condition holds; otherwise gives the rows of failed conditions.
    pub(super) fn transact(&mut self, transaction: &Transaction) -> TransactionResponse {
        let mut rows = Vec::new();
        let mut committed = true;
        for condition in &transaction.conditions {
            let row = self.rows.get(&condition.key);
            if row.map(|row| row.version) != condition.version {
                committed = false;
                rows.extend(row.cloned());
            }
        }
        if committed {
            self.write(transaction);
        }
        TransactionResponse { committed, version: self.version, rows }
    }

    fn write(&mut self, transaction: &Transaction) {
        self.version += 1;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    let key = write.key.clone();
                    let row = Row { key: key.clone(), version: self.version, value: value.clone() };
                    self.rows.insert(key, row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
    }

    /// Gives each matching row once, in key order.
    pub(super) fn read(&self, query: &Query) -> Vec<Row> {
        let mut found: BTreeMap<&str, &Row> = BTreeMap::new();
        for key in &query.keys {
            if let Some(row) = self.rows.get(key) {
                found.insert(&row.key, row);
            }
        }
        for prefix in &query.prefixes {
            let from = self.rows.range(prefix.clone()..);
            let rows = from.take_while(|(key, _)| key.starts_with(prefix.as_str()));
            found.extend(rows.map(|(key, row)| (key.as_str(), row)));
        }
        found.into_values().cloned().collect()
    }
}
