//! After a power failure, any of the files that were removed without a sync of the folder may be
//! there again.

#![allow(clippy::unwrap_used)]

mod faults;

use std::{cell::RefCell, fs, io, path::Path, rc::Rc};

use almondlock_quorum::storage::{
    Store, Write,
    disk::{Disk, Folder},
};
use faults::{DISK, open, snapshot, write};

/// The files removed since the last sync of the folder.
type Removed = Rc<RefCell<Vec<(String, Vec<u8>)>>>;

struct Recorder {
    inner: Folder,
    removed: Removed,
}

impl Disk for Recorder {
    type File = fs::File;

    fn list(&self) -> io::Result<Vec<String>> {
        self.inner.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.inner.read(name)
    }

    fn create(&self, name: &str) -> io::Result<fs::File> {
        self.inner.create(name)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.inner.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let bytes = self.inner.read(name)?;
        self.removed.borrow_mut().push((name.to_owned(), bytes));
        self.inner.remove(name)
    }

    fn sync(&self) -> io::Result<()> {
        self.removed.borrow_mut().clear();
        self.inner.sync()
    }
}

fn copy(from: &Path) -> tempfile::TempDir {
    let to = tempfile::tempdir().unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), to.path().join(entry.file_name())).unwrap();
    }
    to
}

/// Guards against a replica that never starts again ("a part of the log is missing"), because
/// several segments were removed after a snapshot and a power failure brought back some of
/// them. Each start adds a segment, and all replicas may be in that state at once.
#[test]
fn some_return() {
    let folder = tempfile::tempdir().unwrap();
    for n in 1..=4 {
        let (mut store, _) = open(folder.path()).unwrap();
        store.write(&write(n, 3, n..=n)).unwrap();
        store.sync().unwrap();
    }
    let removed = Removed::default();
    let disk = Recorder {
        inner: Folder::open(folder.path()).unwrap(),
        removed: Rc::clone(&removed),
    };
    let (mut store, _) = Store::open(disk, 0, DISK, 0).unwrap();
    let saved = Write {
        snapshot: Some(snapshot(4, 3)),
        ..write(5, 3, 5..=6)
    };
    store.write(&saved).unwrap();
    store.sync().unwrap();
    drop(store);
    let removed = removed.borrow();
    assert!(!removed.is_empty());
    for set in 0..1_u32 << removed.len() {
        let after = copy(folder.path());
        for (place, (name, bytes)) in removed.iter().enumerate() {
            if set >> place & 1 == 1 {
                fs::write(after.path().join(name), bytes).unwrap();
            }
        }
        let (_, loaded) = open(after.path()).unwrap_or_else(|e| panic!("{set:b}: {e}"));
        assert_eq!(loaded.entries.last().unwrap().index.0, 6, "{set:b}");
    }
}
