//! A write or a sync fails.

#![allow(clippy::unwrap_used)]

mod faults;

use almondlock_base::Code;
use faults::{indexes, open, open_faulty, snapshot, write};

/// Guards against a second sync after a failed one. It would succeed, since the kernel has
/// dropped the pages that it couldn't write, and entries that are not on disk would be
/// acknowledged. The store must accept no more writes, and a restart must find what was
/// synced before.
#[test]
fn sync_fails() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, plan) = open_faulty(folder.path());
    store.write(&write(1, 3, 1..=2)).unwrap();
    store.sync().unwrap();
    store.write(&write(2, 3, 3..=3)).unwrap();
    plan.sync.set(true);
    let error = store.sync().unwrap_err();
    assert_eq!(error.code(), Code::StorageFailed);
    assert!(!error.is_damage());
    assert!(store.sync().is_err(), "a failed sync was tried again");
    assert!(store.write(&write(3, 3, 4..=4)).is_err());
    drop(store);
    let (_, loaded) = open(folder.path()).unwrap();
    assert!(indexes(&loaded).starts_with(&[1, 2]));
}

/// Guards against writes after the folder's sync failed for a new snapshot, when it is unknown
/// whether the snapshot's name is on disk.
#[test]
fn folder_sync_fails() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, plan) = open_faulty(folder.path());
    store.write(&write(1, 3, 1..=5)).unwrap();
    store.sync().unwrap();
    plan.folder.set(true);
    let mut save = write(2, 3, 6..=6);
    save.snapshot = Some(snapshot(5, 3));
    assert!(store.write(&save).is_err());
    assert!(store.sync().is_err());
    drop(store);
    let (_, loaded) = open(folder.path()).unwrap();
    assert_eq!(loaded.entries.last().unwrap().index.0, 5);
}

/// Guards against lost entries when the disk fills up at any byte of a batch. The replica stops;
/// with free space again, a restart must find all synced entries and continue from there.
#[test]
fn disk_full() {
    for room in 0..260 {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, plan) = open_faulty(folder.path());
        store.write(&write(1, 3, 1..=2)).unwrap();
        store.sync().unwrap();
        plan.room.set(Some(room));
        store.write(&write(2, 4, 3..=6)).unwrap();
        let Err(error) = store.sync() else {
            assert!(room > 200, "{room} bytes can't hold it");
            continue;
        };
        assert_eq!(error.code(), Code::StorageFailed);
        drop(store);
        let (mut store, loaded) = open(folder.path()).unwrap();
        let found = indexes(&loaded);
        assert!(found.starts_with(&[1, 2]), "{room}: {found:?}");
        let next = found.len() as u64 + 1;
        store.write(&write(1, 5, next..=next)).unwrap();
        store.sync().unwrap();
    }
}
