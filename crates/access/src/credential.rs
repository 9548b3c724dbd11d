//! Reads the key that a request carries.

use crate::KeyDigest;
use displaydoc::Display;

/// Authentication scheme of the header, which may be in upper or lower case.
const SCHEME: &[u8] = b"bearer";

/// Why a request carries no usable key.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CredentialError {
    /// the request carries no key
    Missing,
    /// the request carries {0} Authorization headers instead of one
    Repeated(usize),
    /// the Authorization header is not of the scheme Bearer
    Scheme,
    /// the Authorization header holds no single key after its scheme
    NotOneKey,
}

impl std::error::Error for CredentialError {}

/// Reads the key from the values of all `Authorization` headers of a request.
///
/// # Errors
/// Returns an error unless there is exactly one header with the scheme `Bearer` and one key. No
/// error contains any part of the header.
pub fn credential<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
) -> Result<KeyDigest, CredentialError> {
    let mut values = values.into_iter();
    let value = values.next().ok_or(CredentialError::Missing)?;
    let others = values.count();
    if others > 0 {
        return Err(CredentialError::Repeated(others + 1));
    }
    let value = value.trim_ascii();
    let scheme_end = value.iter().position(|byte| *byte == b' ').unwrap_or(value.len());
    let (scheme, rest) = value.split_at(scheme_end);
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return Err(CredentialError::Scheme);
    }
    let key = rest.trim_ascii_start();
    let is_one_word = !key.is_empty() && key.iter().all(u8::is_ascii_graphic);
    if !is_one_word {
        return Err(CredentialError::NotOneKey);
    }
    Ok(KeyDigest::of(key))
}
