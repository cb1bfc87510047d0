//! TLS for callers and operators, from PEM files.

use std::{fs::File, io::BufReader, path::Path};

use almondlock_settings::Tls;
use anyhow::{Context, Result};

fn open(path: &Path) -> Result<BufReader<File>> {
    let file = File::open(path).with_context(|| format!("opening {}", path.display()))?;
    Ok(BufReader::new(file))
}

/// A listener's TLS.
pub(crate) fn tls(files: &Tls) -> Result<rustls::ServerConfig> {
    let chain: Vec<_> = rustls_pemfile::certs(&mut open(&files.certificate)?)
        .collect::<Result<_, _>>()
        .with_context(|| format!("reading {}", files.certificate.display()))?;
    let key = rustls_pemfile::private_key(&mut open(&files.key)?)
        .with_context(|| format!("reading {}", files.key.display()))?
        .with_context(|| format!("{} holds no private key", files.key.display()))?;
    let provider = rustls::crypto::ring::default_provider();
    let config = rustls::ServerConfig::builder_with_provider(provider.into())
        .with_safe_default_protocol_versions()
        .context("choosing TLS versions")?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .context("the certificate and the key don't belong together")?;
    Ok(config)
}
