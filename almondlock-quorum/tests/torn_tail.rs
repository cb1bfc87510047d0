//! A crash cuts the newest segment short at an arbitrary byte.

#![allow(clippy::unwrap_used)]

mod faults;

use std::fs;

use faults::{indexes, newest, open, write};

/// Guards against a replica that doesn't start after a power failure, or loses records before
/// the cut. The missing bytes were never synced and so never acknowledged.
#[test]
fn cut_anywhere() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path()).unwrap();
    store.write(&write(1, 3, 1..=4)).unwrap();
    store.sync().unwrap();
    drop(store);
    let segment = newest(folder.path());
    let whole = fs::read(&segment).unwrap();
    let mut most = Vec::new();
    for length in 0..=whole.len() {
        let copy = tempfile::tempdir().unwrap();
        let name = copy.path().join(segment.file_name().unwrap());
        fs::write(&name, &whole[..length]).unwrap();
        let (mut store, loaded) = open(copy.path()).unwrap();
        let found = indexes(&loaded);
        assert!(found.starts_with(&most), "cut at {length}: {found:?}");
        assert!(found.len() <= most.len() + 1, "cut at {length}: {found:?}");
        let next = found.len() as u64 + 1;
        most = found;
        // Entries written after the cut are loaded again.
        store.write(&write(1, 4, next..=next)).unwrap();
        store.sync().unwrap();
        drop(store);
        let (_, again) = open(copy.path()).unwrap();
        assert_eq!(indexes(&again).last(), Some(&next), "cut at {length}");
    }
    assert_eq!(most, [1, 2, 3, 4]);
}

/// Guards against zeros after the last record being taken for damage. A file system leaves them
/// if it extends the file before it writes the bytes.
#[test]
fn zeros_behind() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path()).unwrap();
    store.write(&write(1, 3, 1..=4)).unwrap();
    store.sync().unwrap();
    drop(store);
    let segment = newest(folder.path());
    let mut bytes = fs::read(&segment).unwrap();
    bytes.extend_from_slice(&[0; 5000]);
    fs::write(&segment, bytes).unwrap();
    let (_, loaded) = open(folder.path()).unwrap();
    assert_eq!(indexes(&loaded), [1, 2, 3, 4]);
}
