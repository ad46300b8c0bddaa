//! Tokens by which a session carries what it has written to another connection.

use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use snipehead_core::session_positions::SessionPositions;

/// What a session has written, by group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenContent {
    /// Workspace that the token is for.
    pub workspace: String,
    /// Last place that the session wrote in each group.
    pub floors: SessionPositions,
}

/// Signs and checks tokens. All daemons of a fleet share the secret.
pub struct TokenSigner {
    secret: Vec<u8>,
}

impl TokenSigner {
    /// Creates a signer.
    pub fn new(secret: &str) -> Self {
        Self { secret: secret.as_bytes().to_vec() }
    }

    /// Returns the text of a token.
    pub fn sign(&self, content: &TokenContent) -> String {
        let body = serde_json::to_vec(content).unwrap_or_default();
        format!("{}.{}", hex::encode(&body), hex::encode(self.mac(&body).finalize().into_bytes()))
    }

    /// Reads a token of a workspace; `None` when it is forged or for another workspace.
    pub fn verify(&self, token: &str, workspace: &str) -> Option<TokenContent> {
        let (body, signature) = token.split_once('.')?;
        let body = hex::decode(body).ok()?;
        let signature = hex::decode(signature).ok()?;
        self.mac(&body).verify_slice(&signature).ok()?;
        let content: TokenContent = serde_json::from_slice(&body).ok()?;
        (content.workspace == workspace).then_some(content)
    }

    fn mac(&self, body: &[u8]) -> Hmac<Sha256> {
        // HMAC takes a key of any length.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).expect("any key length fits");
        mac.update(b"snipehead token v1");
        mac.update(body);
        mac
    }
}
