//! Authorizes operator requests by their bearer token.

use std::fmt::Write as _;
use std::hint;
use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};

use crate::config::{Role, Token};
use crate::error::{Error, Kind};

/// Returns the SHA-256 digest of `data` in lower-case hexadecimal.
pub fn sha256_hex(data: &[u8]) -> String {
    Sha256::digest(data).iter().fold(String::with_capacity(64), |mut hex, byte| {
        // Writing to a string cannot fail.
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

/// Returns the name of the operator whose token the request carries, if it has the required role.
///
/// # Errors
///
/// Fails with `Unauthorized` if the token is missing or unknown, and with `Forbidden` if the
/// operator lacks the role.
pub fn authorize(tokens: &[Token], headers: &HeaderMap, required: Role) -> Result<Arc<str>, Error> {
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    let Some(token) = token else {
        return Err(Error::new(Kind::Unauthorized, "a bearer token is required"));
    };
    let token_sha256 = sha256_hex(token.trim().as_bytes());
    // Compares with every token, so that the response time does not reveal which one is similar.
    let matching = tokens.iter().filter(|token| is_equal(&token.sha256, &token_sha256));
    let matching: Vec<&Token> = matching.collect();
    let Some(first) = matching.first() else {
        return Err(Error::new(Kind::Unauthorized, "the bearer token is unknown"));
    };
    let is_allowed =
        required == Role::Read || matching.iter().any(|token| token.role == Role::Write);
    if !is_allowed {
        let detail = format!("operator {} has read access only", first.name);
        return Err(Error::new(Kind::Forbidden, detail));
    }
    Ok(first.name.clone())
}

/// Compares two digests of equal length in a time that does not depend on their contents.
fn is_equal(left: &str, right: &str) -> bool {
    let difference =
        left.bytes().zip(right.bytes()).fold(0, |sum, (left, right)| sum | (left ^ right));
    left.len() == right.len() && hint::black_box(difference) == 0
}
