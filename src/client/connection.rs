//! Creates the client for a daemon's operator interface.

use std::path::Path;

use http::HeaderMap;
use http::HeaderValue;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;

use crate::operator::server::CALL_TIMEOUT;

/// Maximum size of a request or response, in bytes.
const MAX_MESSAGE_BYTES: u32 = 256 << 20;

/// Creates a client for a daemon's operator address.
///
/// # Errors
///
/// Returns a message if the address or the secret is not valid.
pub fn connect(address: &str, secret: &str) -> Result<HttpClient, String> {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(&format!("Bearer {secret}")).map_err(|_| {
        "the secret contains characters that are not allowed in an HTTP header".to_owned()
    })?;
    headers.insert("authorization", value);
    HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .max_response_size(MAX_MESSAGE_BYTES)
        .max_request_size(MAX_MESSAGE_BYTES)
        .set_headers(headers)
        .build(format!("http://{address}"))
        .map_err(|error| format!("daemon {address}: {error}"))
}

/// Reads the secret from the file if one is given, else from the environment variable
/// SNIPEHEAD_SECRET.
///
/// # Errors
///
/// Returns a message if the file cannot be read or there is no secret.
pub fn read_secret(file: Option<&Path>) -> Result<String, String> {
    if let Some(file) = file {
        let text = std::fs::read_to_string(file)
            .map_err(|error| format!("{}: {error}", file.display()))?;
        return Ok(text.trim().to_owned());
    }
    std::env::var("SNIPEHEAD_SECRET")
        .map_err(|_| "set --secret-file or the environment variable SNIPEHEAD_SECRET".to_owned())
}
