//! Digests by which nodes compare what they know.

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Returns a digest of the content; 0, which no content is expected to have, if it cannot be
/// encoded.
pub(crate) fn digest<Content>(content: &Content) -> u64
where
    Content: Serialize + ?Sized,
{
    match serde_json::to_vec(content) {
        Ok(bytes) => xxh3_64(&bytes),
        Err(error) => {
            log::warn!(
                event = "digest_failed", error = error.to_string();
                "the content is sent whole each time, because it cannot be compared"
            );
            0
        }
    }
}
