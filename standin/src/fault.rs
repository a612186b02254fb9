//! Faults that the engine and the service have in common, and the update of faults at run time.

use std::sync::atomic::{AtomicU64, Ordering};

use axum::Json;
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3;

/// Overlays the fields of a JSON object on the current faults; absent fields keep their value.
///
/// Answers 200 with the resulting faults, or 400 when a field is unknown or has the wrong type.
pub fn update<T: Serialize + DeserializeOwned>(faults: &mut T, patch: Value) -> Response {
    match overlay(faults, patch) {
        Ok(merged) => {
            *faults = merged;
            Json(&*faults).into_response()
        }
        Err(error) => (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    }
}

fn overlay<T: Serialize + DeserializeOwned>(faults: &T, patch: Value) -> serde_json::Result<T> {
    let mut merged = serde_json::to_value(faults)?;
    if let (Value::Object(merged), Value::Object(patch)) = (&mut merged, patch) {
        merged.extend(patch);
    }
    serde_json::from_value(merged)
}

/// Reads a share from 0 to 1, or a boolean for none or all.
pub fn share<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Share {
        All(bool),
        Part(f64),
    }
    Ok(match Share::deserialize(deserializer)? {
        Share::All(all) => f64::from(u8::from(all)),
        Share::Part(part) => part,
    })
}

/// Selects the requests that a bad version fails or delays.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scope {
    /// Affects only paths with this prefix.
    pub route: Option<String>,
    /// Affects only requests for this model.
    pub model: Option<String>,
    /// Affects only requests that arrive while more than this many others run.
    pub above: u64,
    /// Affects only requests after the first so many.
    pub after: u64,
}

impl Scope {
    /// Tells whether the request with this 1-based number is affected.
    pub fn covers(&self, path: &str, model: &str, running: u64, number: u64) -> bool {
        self.route.as_deref().is_none_or(|route| path.starts_with(route))
            && self.model.as_deref().is_none_or(|wanted| wanted == model)
            && (self.above == 0 || running > self.above)
            && number > self.after
    }
}

/// Draws yes or no from a seed and a counter, so that a sequential test sees the same draws.
#[derive(Debug, Default)]
pub struct Dice {
    seed: u64,
    draws: AtomicU64,
}

impl Dice {
    pub fn new(seed: u64) -> Dice {
        Dice { seed, draws: AtomicU64::new(0) }
    }

    /// Gives true for this share (0 to 1) of the draws.
    pub fn hit(&self, share: f64) -> bool {
        share > 0.0 && self.hit_at(share, self.draws.fetch_add(1, Ordering::Relaxed))
    }

    /// Gives the same answer each time for the same draw.
    pub fn hit_at(&self, share: f64, draw: u64) -> bool {
        let hash = xxh3::xxh3_64_with_seed(&draw.to_le_bytes(), self.seed);
        (hash as f64) < share * (u64::MAX as f64)
    }
}
