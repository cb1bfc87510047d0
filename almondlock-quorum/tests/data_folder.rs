//! Opening a data folder again: identity, format, and snapshots that replace entries.

#![allow(clippy::unwrap_used)]

mod faults;

use std::fs;

use almondlock_base::Code;
use almondlock_quorum::{
    entry::{HardState, Index, Term},
    member::{Id, Member, Members},
    storage::{Store, disk::Folder, identity::Identity},
};
use faults::{DISK, indexes, newest, open, snapshot, write};

/// Guards against a host that keeps its identity after its disk was wiped. It could vote twice in
/// one term, and would be counted as holding entries that it lost.
#[test]
fn wiped_identity() {
    let path = tempfile::tempdir().unwrap();
    let folder = || Folder::open(path.path()).unwrap();
    let first = Identity::open(&folder(), 0, Id(5)).unwrap();
    assert!(first.fresh);
    let again = Identity::open(&folder(), 0, Id(6)).unwrap();
    assert_eq!((again.id, again.fresh), (Id(5), false));
    for entry in fs::read_dir(path.path()).unwrap() {
        fs::remove_file(entry.unwrap().path()).unwrap();
    }
    let wiped = Identity::open(&folder(), 0, Id(7)).unwrap();
    assert_eq!((wiped.id, wiped.fresh), (Id(7), true));
}

/// Guards against a folder that lost only its identity file being used. It is unknown which
/// replica its files belong to.
#[test]
fn identity_missing() {
    let path = tempfile::tempdir().unwrap();
    drop(open(path.path()).unwrap());
    let folder = Folder::open(path.path()).unwrap();
    assert!(Identity::open(&folder, 0, Id(6)).unwrap_err().is_damage());
}

/// Guards against files of another replica or group being loaded, after they were copied into the
/// folder.
#[test]
fn foreign_files() {
    let path = tempfile::tempdir().unwrap();
    drop(open(path.path()).unwrap());
    let folder = || Folder::open(path.path()).unwrap();
    assert!(
        Store::open(folder(), 0, Id(78), 2)
            .map(|_| ())
            .unwrap_err()
            .is_damage()
    );
    assert!(
        Store::open(folder(), 1, DISK, 2)
            .map(|_| ())
            .unwrap_err()
            .is_damage()
    );
}

/// Guards against files of a newer version being reported as damaged.
#[test]
fn newer_format() {
    let path = tempfile::tempdir().unwrap();
    drop(open(path.path()).unwrap());
    let segment = newest(path.path());
    let bytes = fs::read(&segment).unwrap();
    let length = u32::from_le_bytes(bytes[..4].try_into().unwrap()) as usize;
    let body = &bytes[12..12 + length];
    let text = String::from_utf8_lossy(body).replace("\"format\":1", "\"format\":2");
    let mut newer = bytes[..8].to_vec();
    newer.extend_from_slice(&crc32fast::hash(text.as_bytes()).to_le_bytes());
    newer.extend_from_slice(text.as_bytes());
    newer.extend_from_slice(&bytes[12 + length..]);
    fs::write(&segment, newer).unwrap();
    let error = open(path.path()).map(|_| ()).unwrap_err();
    assert_eq!(error.code(), Code::StorageFailed);
    assert!(!error.is_damage() && error.to_string().contains("format 2"));
}

#[test]
fn vote_and_log_return() {
    let path = tempfile::tempdir().unwrap();
    let (mut store, _) = open(path.path()).unwrap();
    store.write(&write(1, 3, 1..=5)).unwrap();
    store.write(&write(2, 4, 4..=4)).unwrap();
    store.sync().unwrap();
    let syncs = store.syncs();
    store.sync().unwrap();
    assert_eq!(store.syncs(), syncs, "nothing to write needs no sync");
    drop(store);
    let (_, loaded) = open(path.path()).unwrap();
    let hard = HardState {
        term: Term(4),
        vote: Some(DISK),
    };
    assert_eq!(loaded.hard_state, hard);
    assert_eq!(indexes(&loaded), [1, 2, 3, 4]);
    assert_eq!(loaded.entries[3].term, Term(4));
}

#[test]
fn compacted_log() {
    let path = tempfile::tempdir().unwrap();
    for start in [1, 6] {
        let (mut store, _) = open(path.path()).unwrap();
        store.write(&write(1, 3, start..=start + 4)).unwrap();
        store.sync().unwrap();
    }
    let (mut store, _) = open(path.path()).unwrap();
    let mut save = write(1, 3, 11..=11);
    save.snapshot = Some(snapshot(9, 3));
    store.write(&save).unwrap();
    store.sync().unwrap();
    drop(store);
    let (_, loaded) = open(path.path()).unwrap();
    assert_eq!(loaded.snapshot.as_ref().unwrap().index, Index(9));
    assert_eq!(loaded.snapshot.as_ref().unwrap().data.len(), 3_000_000);
    assert_eq!(indexes(&loaded), [6, 7, 8, 9, 10, 11]);
}

/// Guards against entries that return after a leader's snapshot replaced a diverging log. The
/// entries after the snapshot were never committed, and must stay away even if the process
/// dies between the write of the snapshot and the reset of the log.
#[test]
fn stale_suffix() {
    for died in [false, true] {
        let path = tempfile::tempdir().unwrap();
        let (mut store, _) = open(path.path()).unwrap();
        store.write(&write(1, 3, 1..=9)).unwrap();
        store.sync().unwrap();
        let mut install = write(2, 5, 7..=7);
        install.entries.clear();
        install.snapshot = Some(snapshot(6, 4));
        install.reset = !died;
        store.write(&install).unwrap();
        store.sync().unwrap();
        drop(store);
        let (mut store, loaded) = open(path.path()).unwrap();
        assert!(loaded.entries.is_empty());
        store.write(&write(1, 5, 7..=8)).unwrap();
        store.sync().unwrap();
        drop(store);
        assert_eq!(indexes(&open(path.path()).unwrap().1), [7, 8]);
    }
}

#[test]
fn initialized_once() {
    let path = tempfile::tempdir().unwrap();
    let members = Members::of_voters([Member::sample(1)]);
    let (mut store, loaded) = open(path.path()).unwrap();
    assert!(loaded.snapshot.is_none());
    store.initialize(members.clone()).unwrap();
    assert!(store.initialize(members.clone()).is_err());
    drop(store);
    let (mut store, loaded) = open(path.path()).unwrap();
    assert_eq!(*loaded.snapshot.unwrap().members, members);
    assert!(store.initialize(members).is_err());
}
