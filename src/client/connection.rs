//! Connection of the command line to a daemon.

use std::path::Path;

use http::HeaderMap;
use http::HeaderValue;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;

use crate::operator::server::CALL_TIMEOUT;

/// Largest answer of a daemon, in bytes.
const MAX_ANSWER_BYTES: u32 = 256 << 20;

/// Creates a client for a daemon's operator address.
///
/// # Errors
///
/// Returns a sentence when address or secret cannot be used.
pub fn connect(address: &str, secret: &str) -> Result<HttpClient, String> {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(&format!("Bearer {secret}"))
        .map_err(|_| "the secret has characters that cannot be sent".to_owned())?;
    headers.insert("authorization", value);
    HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .max_response_size(MAX_ANSWER_BYTES)
        .max_request_size(MAX_ANSWER_BYTES)
        .set_headers(headers)
        .build(format!("http://{address}"))
        .map_err(|error| format!("daemon {address}: {error}"))
}

/// Finds the secret: in a file, or in the environment.
///
/// # Errors
///
/// Returns a sentence when there is none.
pub fn find_secret(file: Option<&Path>) -> Result<String, String> {
    if let Some(file) = file {
        let text = std::fs::read_to_string(file)
            .map_err(|error| format!("{}: {error}", file.display()))?;
        return Ok(text.trim().to_owned());
    }
    std::env::var("SNIPEHEAD_SECRET")
        .map_err(|_| "give --secret-file, or SNIPEHEAD_SECRET in the environment".to_owned())
}
