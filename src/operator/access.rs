//! Bearer tokens of operators.

use std::fmt::Write as _;
use std::hint;
use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};

use crate::config::{Role, Token};
use crate::error::{Error, Kind};

/// Gives the SHA-256 digest of a text in lower-case hexadecimal.
pub fn digest(text: &[u8]) -> String {
    Sha256::digest(text).iter().fold(String::with_capacity(64), |mut hex, byte| {
        // Writing to a string cannot fail.
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

/// Gives the operator's name if the request carries a token with the needed role.
///
/// # Errors
///
/// Fails with `Unauthorized` without a known token and with `Forbidden` for a missing role.
pub fn check(tokens: &[Token], headers: &HeaderMap, needed: Role) -> Result<Arc<str>, Error> {
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    let Some(token) = token else {
        return Err(Error::new(Kind::Unauthorized, "a bearer token is required"));
    };
    let digest = digest(token.trim().as_bytes());
    // Compares with every token, so that the time does not tell which one is close.
    let matching = tokens.iter().filter(|token| is_equal(&token.sha256, &digest));
    let matching: Vec<&Token> = matching.collect();
    let Some(first) = matching.first() else {
        return Err(Error::new(Kind::Unauthorized, "the token is not known"));
    };
    let allowed = needed == Role::Read || matching.iter().any(|token| token.role == Role::Write);
    if !allowed {
        let detail = format!("operator {} may only read", first.name);
        return Err(Error::new(Kind::Forbidden, detail));
    }
    Ok(first.name.clone())
}

/// Compares two digests in a time that does not depend on their contents.
fn is_equal(left: &str, right: &str) -> bool {
    let difference =
        left.bytes().zip(right.bytes()).fold(0, |sum, (left, right)| sum | (left ^ right));
    left.len() == right.len() && hint::black_box(difference) == 0
}
