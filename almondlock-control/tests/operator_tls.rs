//! Operators talk to the replicas over TLS.
#![allow(clippy::unwrap_used)]

mod backend;

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::Path,
    process::ExitCode,
    thread,
};

use almondlock_control::admin::serve_tls;
use backend::Memory;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rustls::ServerConfig;

fn authority() -> CertifiedIssuer<'static, KeyPair> {
    let mut params = CertificateParams::new(Vec::<String>::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap()
}

fn server(authority: &CertifiedIssuer<'static, KeyPair>) -> ServerConfig {
    let key = KeyPair::generate().unwrap();
    let params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
    let certificate = params.signed_by(&key, authority).unwrap();
    let provider = rustls::crypto::ring::default_provider();
    ServerConfig::builder_with_provider(provider.into())
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_no_client_auth()
        .with_single_cert(
            vec![certificate.der().clone()],
            rustls::pki_types::PrivateKeyDer::try_from(key.serialize_der()).unwrap(),
        )
        .unwrap()
}

/// Runs the client on a thread of its own, as it brings its own runtime.
async fn status(address: SocketAddr, folder: &Path, ca: Option<&str>) -> ExitCode {
    let path = |name: &str| folder.join(name).to_str().unwrap().to_owned();
    let mut words = vec![
        "status".to_owned(),
        "--control".to_owned(),
        address.to_string(),
    ];
    words.extend(["--key-file".to_owned(), path("key")]);
    if let Some(name) = ca {
        words.extend(["--ca".to_owned(), path(name)]);
    }
    let (done, code) = tokio::sync::oneshot::channel();
    thread::spawn(move || done.send(almondlock_cli::run(words)));
    code.await.unwrap()
}

/// With the replicas' authority the client is answered. With another one, or
/// without TLS, its key never leaves it: it fails.
#[ntex::test]
async fn own_authority() {
    let (own, other) = (authority(), authority());
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("own"), own.pem()).unwrap();
    fs::write(folder.path().join("other"), other.pem()).unwrap();
    fs::write(folder.path().join("key"), "viewer").unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let _running = serve_tls(listener, Memory::new(), server(&own)).unwrap();
    assert_eq!(
        status(address, folder.path(), Some("own")).await,
        ExitCode::SUCCESS
    );
    assert_eq!(
        status(address, folder.path(), Some("other")).await,
        ExitCode::from(1)
    );
    assert_eq!(
        status(address, folder.path(), None).await,
        ExitCode::from(1)
    );
    assert_eq!(
        status(address, folder.path(), Some("key")).await,
        ExitCode::from(2)
    );
}
