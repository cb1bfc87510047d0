//! Processes prove who they are; strangers are refused.

mod common;

use std::{fs, path::PathBuf};

use almondlock_base::id::Host;
use almondlock_transport::{Dialer, Security};
use common::{hello, listen, soon};
use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair};
use tempfile::TempDir;

struct Authority {
    folder: TempDir,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new() -> Authority {
        let folder = tempfile::tempdir().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let certificate = params.self_signed(&key).unwrap();
        fs::write(folder.path().join("ca.pem"), certificate.pem()).unwrap();
        let issuer = Issuer::new(params, key);
        Authority { folder, issuer }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Files for a host, named by it, for use on both sides.
    fn sign(&self, host: &str) -> Security {
        let mut params = CertificateParams::new(vec![host.to_owned()]).unwrap();
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate().unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        let (chain, secret) = (format!("{host}.pem"), format!("{host}.key"));
        fs::write(self.path(&chain), certificate.pem()).unwrap();
        fs::write(self.path(&secret), key.serialize_pem()).unwrap();
        Security::load(self.path("ca.pem"), self.path(&chain), self.path(&secret)).unwrap()
    }
}

#[ntex::test]
async fn both_sides_know_each_other() {
    let authority = Authority::new();
    let (address, _task) = listen(authority.sign("e1")).await;
    let dialer = Dialer::new(authority.sign("e2"));
    let link = soon(dialer.dial(address)).await.unwrap();
    assert_eq!(soon(hello(&link, "e2")).await.unwrap(), "e2");
    assert!(link.identity().allows(&Host::new("e1").unwrap()));
    assert!(!link.identity().allows(&Host::new("e3").unwrap()));
}

/// A stranger has a certificate, even with the right name, but of another
/// authority. It dials a process of the system, or listens where one is
/// expected. Either way the session must not come to be: a name proves nothing
/// unless the cluster's authority signed it.
#[ntex::test]
async fn strangers_are_refused() {
    let (ours, theirs) = (Authority::new(), Authority::new());
    let (address, _task) = listen(ours.sign("e1")).await;
    let result = soon(Dialer::new(theirs.sign("e2")).dial(address)).await;
    assert!(result.is_err());
    let (address, _task) = listen(theirs.sign("e1")).await;
    let result = soon(Dialer::new(ours.sign("e2")).dial(address)).await;
    assert!(result.is_err());
}

/// A listener that trusts the cluster's authority is met by someone who trusts
/// it too but shows a certificate that he signed himself. TLS 1.3 lets the
/// dialling side finish first, so the refusal shows at the first call.
#[ntex::test]
async fn a_self_made_certificate_is_refused() {
    let (ours, theirs) = (Authority::new(), Authority::new());
    theirs.sign("e2");
    fs::copy(ours.path("ca.pem"), theirs.path("trusted.pem")).unwrap();
    let stranger = Security::load(
        theirs.path("trusted.pem"),
        theirs.path("e2.pem"),
        theirs.path("e2.key"),
    );
    let (address, _task) = listen(ours.sign("e1")).await;
    if let Ok(link) = soon(Dialer::new(stranger.unwrap()).dial(address)).await {
        assert!(soon(hello(&link, "e2")).await.is_err());
        soon(link.closed()).await;
    }
}

#[ntex::test]
async fn plain_meets_tls() {
    let authority = Authority::new();
    let (address, _task) = listen(authority.sign("e1")).await;
    let link = Dialer::new(Security::Plain).dial(address).await.unwrap();
    assert!(soon(hello(&link, "e2")).await.is_err());
    let (address, _task) = listen(Security::Plain).await;
    let result = soon(Dialer::new(authority.sign("e2")).dial(address)).await;
    assert!(result.is_err());
}

#[test]
fn unreadable_files_are_named() {
    let authority = Authority::new();
    authority.sign("e1");
    let (ca, chain) = (authority.path("ca.pem"), authority.path("e1.pem"));
    let missing = Security::load(ca.clone(), chain.clone(), authority.path("none.key"));
    assert!(missing.unwrap_err().to_string().contains("none.key"));
    let no_key = Security::load(ca.clone(), chain.clone(), chain.clone());
    assert!(
        no_key
            .unwrap_err()
            .to_string()
            .ends_with("holds no PEM key")
    );
    let no_chain = Security::load(ca, authority.path("e1.key"), authority.path("e1.key"));
    let error = no_chain.unwrap_err().to_string();
    assert!(error.ends_with("holds no PEM certificate"), "{error}");
}
