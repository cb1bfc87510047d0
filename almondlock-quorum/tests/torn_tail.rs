//! A crash cuts the newest segment short, at any byte.

#![allow(clippy::unwrap_used)]

mod faults;

use std::fs;

use faults::{indexes, newest, open, write};

/// An operator pulls the plug on a replica and starts it again: it comes back
/// by itself. The bytes that are missing were never synced, so no caller was
/// promised anything by them; every record before the cut is there.
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
        // What is written after the cut is found again.
        store.write(&write(1, 4, next..=next)).unwrap();
        store.sync().unwrap();
        drop(store);
        let (_, again) = open(copy.path()).unwrap();
        assert_eq!(indexes(&again).last(), Some(&next), "cut at {length}");
    }
    assert_eq!(most, [1, 2, 3, 4]);
}

/// A file system that extends the file before it writes the bytes leaves zeros
/// behind the last record; they were never written by anybody.
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
