//! TLS configuration with `rustls`.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::ServerConfig;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use thiserror::Error;

/// TLS could not be set up.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file could not be read.
    #[error("cannot read {}", .0.display())]
    Read(PathBuf, #[source] std::io::Error),
    /// A file contains no private key.
    #[error("{} contains no private key", .0.display())]
    NoKey(PathBuf),
    /// The certificate, key or root certificate is invalid.
    #[error("the certificate, key or root certificate is invalid")]
    Unusable(#[from] rustls::Error),
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let file = File::open(path).map_err(|e| TlsError::Read(path.to_owned(), e))?;
    let mut reader = BufReader::new(file);
    rustls_pemfile::certs(&mut reader)
        .collect::<Result<Vec<_>, _>>()
        .map_err(|e| TlsError::Read(path.to_owned(), e))
}

fn private_key(path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    let file = File::open(path).map_err(|e| TlsError::Read(path.to_owned(), e))?;
    let key = rustls_pemfile::private_key(&mut BufReader::new(file));
    key.map_err(|e| TlsError::Read(path.to_owned(), e))?
        .ok_or_else(|| TlsError::NoKey(path.to_owned()))
}

/// Builds the server configuration from a certificate chain and its private key, both in PEM
/// format.
///
/// # Errors
///
/// Returns [`TlsError`] if a file cannot be read or is invalid.
pub fn server(chain: &Path, key: &Path) -> Result<Arc<ServerConfig>, TlsError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(certificates(chain)?, private_key(key)?)?;
    Ok(Arc::new(config))
}

/// Builds a client configuration that trusts only the root certificates in a PEM file.
///
/// # Errors
///
/// Returns [`TlsError`] if the file cannot be read or is invalid.
pub fn client(roots: &Path) -> Result<Arc<ClientConfig>, TlsError> {
    let mut root_store = RootCertStore::empty();
    for root in certificates(roots)? {
        root_store.add(root)?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_root_certificates(root_store)
        .with_no_client_auth();
    Ok(Arc::new(config))
}
