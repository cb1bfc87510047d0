//! The example deployments load, and each holds together.

use std::{collections::HashSet, fs, path::Path};

use almondlock_settings::{Settings, load};
use yare::parameterized;

fn deployment(name: &str) -> Vec<Settings> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name);
    let files = fs::read_dir(folder).expect("a folder");
    files
        .map(|file| load(file.expect("a file").path()))
        .collect::<Result<_, _>>()
        .unwrap_or_else(|errors| panic!("{errors}"))
}

#[parameterized(trapeza = { "trapeza" }, cairnlight = { "cairnlight" })]
fn holds_together(name: &str) {
    let all = deployment(name);
    let mut addresses = HashSet::new();
    let mut names = HashSet::new();
    for settings in &all {
        assert!(names.insert(settings.host.name.clone()));
        for (field, address) in settings.listeners() {
            assert!(address.ip().is_loopback());
            assert!(addresses.insert(address), "{field} {address} is taken");
        }
    }
    let replicas: Vec<_> = all.iter().filter(|s| s.replica.is_some()).collect();
    let domains: HashSet<_> = replicas.iter().map(|s| &s.host.domain).collect();
    assert_eq!((replicas.len(), domains.len()), (3, 3));
    assert_eq!(all.iter().filter(|s| s.entry.is_some()).count(), 3);
    assert!(all.iter().any(|s| s.sidecar.is_some()));
    for settings in &all {
        for seed in &settings.host.seeds {
            assert!(replicas.iter().any(|replica| replica.host.listen == *seed));
        }
    }
}
