//! Identifies a request that a caller sends again, whatever its id, its deadline and the gateway
//! that it comes to.

use sha2::Digest;
use sha2::Sha256;

/// Bit of a fingerprint that tells one of a path from one of a target.
const PATH_BIT: u64 = 1;

/// Fingerprints of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fingerprints {
    /// Two requests have the same one only if caller, method, host, path, query and body are the
    /// same.
    pub target: u64,
    /// The same but for the query, which callers may vary where it does not matter.
    pub path: u64,
}

impl Fingerprints {
    /// Computes the fingerprints of a request. A cryptographic hash keeps callers from making a
    /// request that has those of another's.
    pub fn compute(
        organisation: Option<&str>,
        method: &str,
        host: &str,
        path_and_query: &str,
        body: &[u8],
    ) -> Self {
        let mut hasher = Sha256::new();
        hasher.update([u8::from(organisation.is_some())]);
        for part in [organisation.unwrap_or_default(), method, host] {
            update_with(&mut hasher, part.as_bytes());
        }
        update_with(&mut hasher, body);
        let path = path_and_query.split('?').next().unwrap_or_default();
        let finish = |target: &str| {
            let mut hasher = hasher.clone();
            update_with(&mut hasher, target.as_bytes());
            let mut id = [0; 8];
            id.copy_from_slice(&hasher.finalize()[..8]);
            u64::from_be_bytes(id)
        };
        Self {
            target: finish(path_and_query) & !PATH_BIT,
            path: finish(path) | PATH_BIT,
        }
    }

    /// Iterates over the fingerprints, that of the target first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = u64> {
        [self.target, self.path].into_iter()
    }
}

/// Returns whether a fingerprint is that of a path, and so of all queries on it.
pub(crate) fn is_of_path(fingerprint: u64) -> bool {
    fingerprint & PATH_BIT != 0
}

/// Returns a fingerprint for the log.
pub(crate) fn log_text(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}

/// Adds a part with its length, so that no two lists of parts are the same.
fn update_with(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_be_bytes());
    hasher.update(part);
}
