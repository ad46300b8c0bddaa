//! Keys of workspaces.

use rand::RngCore;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Random bytes of a key's secret.
const SECRET_BYTES: usize = 24;
/// Random bytes of a key's id.
const ID_BYTES: usize = 4;

/// A key of a workspace. It holds a hash of the secret, never the secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Public id, also the first part of the key's text.
    pub key_id: String,
    /// Workspace that the key is for.
    pub workspace: String,
    /// SHA-256 of the whole text, in hexadecimal.
    ///
    /// The secret has 192 random bits, so that a slow hash would add nothing.
    pub secret_hash: String,
    /// Whether the key is withdrawn; it stays so.
    #[serde(default)]
    pub is_withdrawn: bool,
}

impl Key {
    /// Makes a key for a workspace. Returns it with the text that the caller uses as password.
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

    /// Returns the id within a key's text.
    pub fn id_of(text: &str) -> &str {
        text.split('.').next().unwrap_or_default()
    }

    /// Returns whether `text` is this key, in a time that does not depend on the text.
    pub fn matches(&self, text: &str) -> bool {
        let presented = hash(text);
        presented.as_bytes().ct_eq(self.secret_hash.as_bytes()).into()
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
