//! A disk returns other bytes than were written.

#![allow(clippy::unwrap_used)]

mod faults;

use std::{fs, path::Path};

use faults::{newest, open, snapshot, write};

fn flip(path: &Path, byte: usize, bit: u8) {
    let mut bytes = fs::read(path).unwrap();
    bytes[byte] ^= 1 << bit;
    fs::write(path, bytes).unwrap();
}

/// Guards against a committed entry that is removed as torn, because a bit of the log flipped
/// after the entry was synced and acknowledged; with a second such replica it would be lost
/// without a sign. Whichever bit it is, the replica must refuse to start and report damage.
#[test]
fn log_refused() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path()).unwrap();
    store.write(&write(1, 3, 1..=3)).unwrap();
    store.sync().unwrap();
    drop(store);
    let segment = newest(folder.path());
    let length = fs::metadata(&segment).unwrap().len() as usize;
    for byte in 0..length {
        let bit = (byte % 8) as u8;
        flip(&segment, byte, bit);
        let error = open(folder.path()).map(|_| ()).unwrap_err();
        assert!(error.is_damage(), "byte {byte}: {error}");
        flip(&segment, byte, bit);
    }
    assert!(open(folder.path()).is_ok());
}

/// Guards against a snapshot with a flipped bit being loaded. The log may no longer hold the
/// entries that the snapshot covers.
#[test]
fn snapshot_refused() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path()).unwrap();
    let mut save = write(1, 3, 1..=3);
    store.write(&save).unwrap();
    save.snapshot = Some(snapshot(3, 3));
    save.entries.clear();
    store.write(&save).unwrap();
    store.sync().unwrap();
    drop(store);
    let file = folder.path().join(format!("snapshot-{:016x}", 3));
    let length = fs::metadata(&file).unwrap().len() as usize;
    for byte in (0..length).step_by(length / 40) {
        flip(&file, byte, 3);
        let error = open(folder.path()).map(|_| ()).unwrap_err();
        assert!(error.is_damage(), "byte {byte}: {error}");
        flip(&file, byte, 3);
    }
    assert!(open(folder.path()).is_ok());
}

/// Guards against a log with a missing segment between others, or a torn segment that isn't the
/// newest, being accepted. No crash leaves such files.
#[test]
fn missing_middle() {
    let folder = tempfile::tempdir().unwrap();
    for start in [1, 4, 7] {
        let (mut store, _) = open(folder.path()).unwrap();
        store.write(&write(1, 3, start..=start + 2)).unwrap();
        store.sync().unwrap();
    }
    let names: Vec<_> = (0..3).map(|n| format!("segment-{n:016x}")).collect();
    for name in &names[..2] {
        let path = folder.path().join(name);
        let bytes = fs::read(&path).unwrap();
        fs::write(&path, &bytes[..bytes.len() - 1]).unwrap();
        assert!(open(folder.path()).map(|_| ()).unwrap_err().is_damage());
        fs::remove_file(&path).unwrap();
        assert!(open(folder.path()).map(|_| ()).unwrap_err().is_damage());
        fs::write(&path, bytes).unwrap();
    }
    assert!(open(folder.path()).is_ok());
}
