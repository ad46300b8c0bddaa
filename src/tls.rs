//! TLS for callers' connections.

use std::io;
use std::path::Path;
use std::sync::Arc;

use rustls::ServerConfig;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem::PemObject;
use tokio_rustls::TlsAcceptor;

/// Creates a TLS acceptor from a certificate chain and its private key, both in PEM files.
///
/// # Errors
///
/// Returns an error that names the file which cannot be read, or the certificate file if the key
/// does not match it.
pub fn load_acceptor(certificate_file: &Path, key_file: &Path) -> io::Result<TlsAcceptor> {
    let file_error = |file: &Path, error: &dyn std::fmt::Display| {
        io::Error::other(format!("{}: {error}", file.display()))
    };
    let chain = CertificateDer::pem_file_iter(certificate_file)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| file_error(certificate_file, &error))?;
    let key =
        PrivateKeyDer::from_pem_file(key_file).map_err(|error| file_error(key_file, &error))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| file_error(certificate_file, &error))?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(|error| file_error(certificate_file, &error))?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}
