//! Session tokens. A caller passes a token to another connection, whose reads then see the writes
//! of the first session.

use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use snipehead_core::session_positions::SessionPositions;

/// Content of a session token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenContent {
    /// Workspace that the token is valid for.
    pub workspace: String,
    /// Position of the session's last write in each group.
    pub floors: SessionPositions,
}

/// Signs and verifies tokens. All daemons of a fleet share the secret.
pub struct TokenSigner {
    secret: Vec<u8>,
}

impl TokenSigner {
    /// Creates a signer with the fleet's secret.
    pub fn new(secret: &str) -> Self {
        Self { secret: secret.as_bytes().to_vec() }
    }

    /// Encodes and signs a token.
    pub fn sign(&self, content: &TokenContent) -> String {
        let body = serde_json::to_vec(content).unwrap_or_default();
        format!("{}.{}", hex::encode(&body), hex::encode(self.mac(&body).finalize().into_bytes()))
    }

    /// Verifies and decodes a token. `None` if it is malformed, its signature does not match or it
    /// is for another workspace.
    pub fn verify(&self, token: &str, workspace: &str) -> Option<TokenContent> {
        let (body, signature) = token.split_once('.')?;
        let body = hex::decode(body).ok()?;
        let signature = hex::decode(signature).ok()?;
        self.mac(&body).verify_slice(&signature).ok()?;
        let content: TokenContent = serde_json::from_slice(&body).ok()?;
        (content.workspace == workspace).then_some(content)
    }

    fn mac(&self, body: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC accepts keys of any length");
        mac.update(b"snipehead token v1");
        mac.update(body);
        mac
    }
}
