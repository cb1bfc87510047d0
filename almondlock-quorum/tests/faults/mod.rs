//! A data folder whose writes and syncs can be made to fail, and helpers to fill one.

// Each test file uses only some of these items.
#![allow(dead_code, unreachable_pub)]

use std::{cell::Cell, fs, io, path::Path, rc::Rc, sync::Arc};

use almondlock_quorum::{
    entry::{Entry, HardState, Index, Payload, Snapshot, Term},
    member::{Id, Member, Members},
    storage::{
        Loaded, Store, Write,
        disk::{Disk, File, Folder},
    },
};

pub const DISK: Id = Id(77);

/// The faults to inject, shared by a disk and its files.
#[derive(Clone, Default)]
pub struct Plan {
    /// The number of bytes that can still be written.
    pub room: Rc<Cell<Option<usize>>>,
    /// Whether the next sync of a file fails. Later ones succeed.
    pub sync: Rc<Cell<bool>>,
    /// Whether the next sync of the folder fails.
    pub folder: Rc<Cell<bool>>,
}

pub struct Faulty {
    pub inner: Folder,
    pub plan: Plan,
}

pub struct FaultyFile {
    inner: fs::File,
    plan: Plan,
}

fn failed() -> io::Error {
    io::Error::other("input/output error")
}

impl Disk for Faulty {
    type File = FaultyFile;

    fn list(&self) -> io::Result<Vec<String>> {
        self.inner.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.inner.read(name)
    }

    fn create(&self, name: &str) -> io::Result<FaultyFile> {
        let inner = self.inner.create(name)?;
        let plan = self.plan.clone();
        Ok(FaultyFile { inner, plan })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.inner.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.inner.remove(name)
    }

    fn sync(&self) -> io::Result<()> {
        if self.plan.folder.take() {
            return Err(failed());
        }
        self.inner.sync()
    }
}

impl File for FaultyFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let room = self.plan.room.get().unwrap_or(usize::MAX);
        let fits = bytes.len().min(room);
        self.inner.append(&bytes[..fits])?;
        if self.plan.room.get().is_some() {
            self.plan.room.set(Some(room - fits));
        }
        if fits < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.plan.sync.take() {
            return Err(failed());
        }
        self.inner.sync()
    }
}

pub fn entry(index: u64, term: u64) -> Entry {
    let text = format!("command {index} of term {term}");
    Entry {
        index: Index(index),
        term: Term(term),
        payload: Payload::Command(text.into_bytes().into()),
    }
}

pub fn write(sequence: u64, term: u64, indexes: std::ops::RangeInclusive<u64>) -> Write {
    Write {
        sequence,
        hard_state: HardState {
            term: Term(term),
            vote: Some(DISK),
        },
        snapshot: None,
        reset: false,
        entries: indexes.map(|index| entry(index, term)).collect(),
    }
}

pub fn snapshot(index: u64, term: u64) -> Arc<Snapshot> {
    Arc::new(Snapshot {
        index: Index(index),
        term: Term(term),
        members: Arc::new(Members::of_voters([Member::sample(1)])),
        data: vec![9; 3_000_000].into(),
    })
}

/// Opens a folder with two entries retained before a snapshot.
pub fn open(path: &Path) -> Result<(Store<Folder>, Loaded), almondlock_quorum::error::Error> {
    Store::open(Folder::open(path).unwrap(), 0, DISK, 2)
}

pub fn open_faulty(path: &Path) -> (Store<Faulty>, Plan) {
    let plan = Plan::default();
    let inner = Folder::open(path).unwrap();
    let disk = Faulty {
        inner,
        plan: plan.clone(),
    };
    (Store::open(disk, 0, DISK, 2).unwrap().0, plan)
}

pub fn indexes(loaded: &Loaded) -> Vec<u64> {
    loaded.entries.iter().map(|e| e.index.0).collect()
}

/// Returns the path of the newest segment.
pub fn newest(path: &Path) -> std::path::PathBuf {
    let names = Folder::open(path).unwrap().list().unwrap();
    let name = names.iter().rfind(|n| n.starts_with("segment-")).unwrap();
    path.join(name)
}
