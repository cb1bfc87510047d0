//! Replicas whose links prove who speaks.

#![allow(clippy::unwrap_used)]

mod group;

use std::fs;

use almondlock_transport::Security;
use group::{Group, announce, capacity};
use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair};

/// Certificates of one authority for the hosts of a group.
fn sealed() -> Vec<Security> {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name);
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().unwrap();
    let own = params.self_signed(&key).unwrap();
    fs::write(path("ca.pem"), own.pem()).unwrap();
    let issuer = Issuer::new(params, key);
    let host = |n: usize| {
        let mut params = CertificateParams::new(vec![format!("control-{n}")]).unwrap();
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate().unwrap();
        let signed = params.signed_by(&key, &issuer).unwrap();
        fs::write(path("host.pem"), signed.pem()).unwrap();
        fs::write(path("host.key"), key.serialize_pem()).unwrap();
        Security::load(path("ca.pem"), path("host.pem"), path("host.key")).unwrap()
    };
    (0..3).map(host).collect()
}

/// Operators turn on mutual TLS for all processes. The replicas' links to each
/// other must follow, or no group forms and nothing is accepted any more; and
/// it holds over a restart of all.
#[tokio::test]
async fn group_forms() {
    let mut group = Group::with_security(|b| b, sealed());
    group.accept(announce(1)).await;
    (0..3).for_each(|n| group.kill(n));
    (0..3).for_each(|n| group.start(n));
    let leader = group.leader().await;
    let found = group.remote(leader).read(|s| capacity(s.config())).await;
    assert_eq!(found.unwrap(), 1);
}
