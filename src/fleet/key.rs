//! Keys with which callers authenticate to a workspace.

use rand::RngCore;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Number of random bytes in a key's secret.
const SECRET_BYTES: usize = 24;
/// Number of random bytes in a key's id.
const ID_BYTES: usize = 4;

/// A key of a workspace. It contains a hash of the secret, never the secret itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Public id, which is also the first part of the key's text.
    pub key_id: String,
    /// Workspace that the key gives access to.
    pub workspace: String,
    /// SHA-256 of the whole text of the key, in hexadecimal.
    ///
    /// A slow hash would add no security, because the secret has 192 random bits.
    pub secret_hash: String,
    /// Whether the key is withdrawn, which is permanent.
    #[serde(default)]
    pub is_withdrawn: bool,
}

impl Key {
    /// Creates a key for a workspace. Returns it with its text, which callers use as password.
    pub fn issue(workspace: &str) -> (Self, String) {
        let key_id = random_hex(ID_BYTES);
        let text = format!("{key_id}.{}", random_hex(SECRET_BYTES));
        let key = Self {
            key_id,
            workspace: workspace.to_owned(),
            secret_hash: hash(&text),
            is_withdrawn: false,
        };
        (key, text)
    }

    /// Returns the key id that a key's text contains.
    pub fn id_of(text: &str) -> &str {
        text.split('.').next().unwrap_or_default()
    }

    /// Returns whether `text` is the text of this key. The hashes are compared in constant time.
    pub fn matches(&self, text: &str) -> bool {
        let presented_hash = hash(text);
        presented_hash.as_bytes().ct_eq(self.secret_hash.as_bytes()).into()
    }
}

fn random_hex(count: usize) -> String {
    let mut bytes = vec![0; count];
    rand::rng().fill_bytes(&mut bytes);
    hex::encode(bytes)
}

fn hash(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}
