//! How processes prove to each other who they are.
//!
//! With [`Security::Mutual`] both sides show a certificate of the cluster's own
//! authority, over TLS 1.3. Whoever has none is refused before a single message
//! is read. The dialling side goes by address and often doesn't know whom it
//! will meet, so the name in a certificate is not compared with the address;
//! the session keeps the certificate, and what the other side later says of
//! itself is compared with that ([`Identity::allows`]).

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
    sync::Arc,
};

use almondlock_base::id::Host;
use rustls::{
    CertificateError, ClientConfig, DigitallySignedStruct, RootCertStore, ServerConfig,
    SignatureScheme,
    client::{
        danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
        verify_server_cert_signed_by_trust_anchor, verify_server_name,
    },
    crypto::{CryptoProvider, ring, verify_tls13_signature},
    pki_types::{CertificateDer, ServerName, UnixTime},
    server::{ParsedCertificate, WebPkiClientVerifier},
    version::TLS13,
};

/// What a session is wrapped in.
#[derive(Clone, Debug, Default)]
pub enum Security {
    /// Plain TCP, for a network that only the system's own processes are on.
    #[default]
    Plain,
    /// Mutual TLS by the cluster's own authority.
    Mutual(Arc<Mutual>),
}

impl Security {
    /// Reads the authority's certificates, this host's chain and its key from
    /// PEM files.
    pub fn load<P>(ca: P, certificate: P, key: P) -> Result<Security, Error>
    where
        P: AsRef<Path>,
    {
        Mutual::load(ca.as_ref(), certificate.as_ref(), key.as_ref())
            .map(|mutual| Security::Mutual(Arc::new(mutual)))
    }
}

/// Both sides' configuration.
pub struct Mutual {
    pub(crate) client: Arc<ClientConfig>,
    pub(crate) server: Arc<ServerConfig>,
}

impl fmt::Debug for Mutual {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Mutual")
    }
}

/// Why certificates or a key can't be used.
#[derive(Debug)]
pub struct Error {
    path: PathBuf,
    kind: Kind,
}

#[derive(Debug)]
#[derive(thiserror::Error)]
enum Kind {
    #[error("can't be read: {0}")]
    Io(#[from] io::Error),
    #[error("holds no PEM certificate")]
    NoCertificate,
    #[error("holds no PEM key")]
    NoKey,
    #[error("can't be used: {0}")]
    Tls(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.kind)
    }
}

impl std::error::Error for Error {}

impl Mutual {
    fn load(ca: &Path, certificate: &Path, key: &Path) -> Result<Mutual, Error> {
        let at = |path: &Path| {
            let path = path.to_owned();
            move |kind| Error { path, kind }
        };
        let roots = roots(ca).map_err(at(ca))?;
        let chain = certificates(certificate).map_err(at(certificate))?;
        let secret = fs::read(key)
            .map_err(Kind::from)
            .and_then(|text| {
                rustls_pemfile::private_key(&mut text.as_slice())
                    .map_err(Kind::from)?
                    .ok_or(Kind::NoKey)
            })
            .map_err(at(key))?;
        let provider = Arc::new(ring::default_provider());
        let tls = |error: &dyn fmt::Display| Kind::Tls(error.to_string());
        let callers =
            WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
                .build()
                .map_err(|error| at(ca)(tls(&error)))?;
        let server = ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&TLS13])
            .map_err(|error| at(ca)(tls(&error)))?
            .with_client_cert_verifier(callers)
            .with_single_cert(chain.clone(), secret.clone_key())
            .map_err(|error| at(certificate)(tls(&error)))?;
        let client = ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&TLS13])
            .map_err(|error| at(ca)(tls(&error)))?
            .dangerous()
            .with_custom_certificate_verifier(Arc::new(Verifier { roots, provider }))
            .with_client_auth_cert(chain, secret)
            .map_err(|error| at(certificate)(tls(&error)))?;
        Ok(Mutual {
            client: Arc::new(client),
            server: Arc::new(server),
        })
    }
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Kind> {
    let text = fs::read(path)?;
    let chain = rustls_pemfile::certs(&mut text.as_slice()).collect::<Result<Vec<_>, _>>()?;
    if chain.is_empty() {
        return Err(Kind::NoCertificate);
    }
    Ok(chain)
}

fn roots(path: &Path) -> Result<Arc<RootCertStore>, Kind> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(path)? {
        let added = roots.add(certificate);
        added.map_err(|error| Kind::Tls(error.to_string()))?;
    }
    Ok(Arc::new(roots))
}

/// Accepts each certificate of the cluster's authority, whatever its name.
///
/// The usual verifier wants the name of whom it dials. A seed is an address
/// only, so there is no name to want: what counts is that the authority, which
/// signs nothing but the system's own hosts, signed it for use by a server.
#[derive(Debug)]
struct Verifier {
    roots: Arc<RootCertStore>,
    provider: Arc<CryptoProvider>,
}

impl ServerCertVerifier for Verifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        let certificate = ParsedCertificate::try_from(end_entity)?;
        let algorithms = self.provider.signature_verification_algorithms.all;
        verify_server_cert_signed_by_trust_anchor(
            &certificate,
            &self.roots,
            intermediates,
            now,
            algorithms,
        )?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        // Only TLS 1.3 is offered.
        Err(CertificateError::BadSignature.into())
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.provider
            .signature_verification_algorithms
            .supported_schemes()
    }
}

/// Who the other side of a session has proved to be.
#[derive(Clone, Debug)]
pub enum Identity {
    /// Nothing was proved: the session is plain.
    Unproved,
    /// The bearer of this certificate of the cluster's authority.
    Proved(CertificateDer<'static>),
}

impl Identity {
    /// Whether the other side may call itself by this name.
    pub fn allows(&self, host: &Host) -> bool {
        match self {
            Identity::Unproved => true,
            Identity::Proved(certificate) => is_named(certificate, host.as_str()),
        }
    }
}

fn is_named(certificate: &CertificateDer<'_>, name: &str) -> bool {
    let parsed = ParsedCertificate::try_from(certificate);
    let name = ServerName::try_from(name);
    match (parsed, name) {
        (Ok(parsed), Ok(name)) => verify_server_name(&parsed, &name).is_ok(),
        _ => false,
    }
}
