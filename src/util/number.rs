//! Numbers in documents that others write.
//!
//! JSON has one type of number: 2, 2.0 and 2e0 are the same.

use std::fmt;

use serde::de::{Deserializer, Error, Visitor};

/// Returns a number without its fraction, at most the largest of the type; `None` below 0.
pub fn truncate(number: f64) -> Option<u64> {
    (number >= 0.0).then_some(number as u64)
}

/// Deserializes a number from 0 in any form, without its fraction.
///
/// # Errors
///
/// Returns an error for a value of another type or below 0.
pub fn deserialize_whole<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    struct Whole;

    impl Visitor<'_> for Whole {
        type Value = u64;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a number from 0")
        }

        fn visit_u64<E: Error>(self, number: u64) -> Result<u64, E> {
            Ok(number)
        }

        fn visit_f64<E: Error>(self, number: f64) -> Result<u64, E> {
            truncate(number).ok_or_else(|| E::custom("a number below 0"))
        }
    }

    deserializer.deserialize_any(Whole)
}
