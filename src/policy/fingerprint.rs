//! Identifies a request that a caller sends again, whatever its id, its deadline and the gateway
//! that it comes to.

use sha2::Digest;
use sha2::Sha256;

/// Returns a fingerprint of a request. Two requests have the same one only if caller, method, target
/// and body are the same. A cryptographic hash keeps callers from making a request that has the
/// fingerprint of another's.
pub fn compute(organisation: Option<&str>, method: &str, target: &str, body: &[u8]) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update([u8::from(organisation.is_some())]);
    for part in [
        organisation.unwrap_or_default().as_bytes(),
        method.as_bytes(),
        target.as_bytes(),
        body,
    ] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut id = [0; 8];
    id.copy_from_slice(&hasher.finalize()[..8]);
    u64::from_be_bytes(id)
}

/// Returns a fingerprint for the log.
pub(crate) fn log_text(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}
