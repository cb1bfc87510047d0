//! Under mutual TLS a process is whom its certificate names.

mod fleet;

use std::{fs, path::Path, time::Duration};

use almondlock_node::{Node, Parts};
use almondlock_spread::view::View;
use almondlock_transport::Security;
use fleet::{accept, config, until};
use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair};

/// Writes an authority and a certificate for each host.
fn certificates(folder: &Path, hosts: &[&str]) -> Vec<Security> {
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().unwrap();
    let ca = folder.join("ca.pem");
    fs::write(&ca, params.self_signed(&key).unwrap().pem()).unwrap();
    let issuer = Issuer::new(params, key);
    let sign = |host: &&str| {
        let mut params = CertificateParams::new(vec![(*host).to_owned()]).unwrap();
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate().unwrap();
        let chain = params.signed_by(&key, &issuer).unwrap().pem();
        let (certificate, secret) = (folder.join("chain.pem"), folder.join("key.pem"));
        fs::write(&certificate, chain).unwrap();
        fs::write(&secret, key.serialize_pem()).unwrap();
        Security::load(&ca, &certificate, &secret).unwrap()
    };
    hosts.iter().map(sign).collect()
}

/// Host h2 has a proper certificate of the cluster, and says that it is h3. It
/// is told nothing: whoever takes one host must not be able to pose as another.
#[ntex::test]
async fn no_other_name_is_taken() {
    let folder = tempfile::tempdir().unwrap();
    let mut all = certificates(folder.path(), &["c1", "h1", "h2"]).into_iter();
    let view = View::new();
    accept(&view, 3);
    let mut settings = config("c1", "d0", &[]);
    settings.security = all.next().unwrap();
    let parts = Parts {
        is_source: true,
        ..Parts::default()
    };
    let root = Node::start(settings, view.clone(), parts).await.unwrap();
    let mut below = Vec::new();
    for (host, security) in ["h1", "h3"].into_iter().zip(all) {
        let mut settings = config(host, "d1", &[root.address()]);
        settings.security = security;
        let node = Node::start(settings, View::new(), Parts::default()).await;
        below.push(node.unwrap());
    }
    until("the honest one is ready", || below[0].is_recent()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!below[1].is_recent());
    assert_eq!(below[1].handle().view().revision().0, 0);
}
