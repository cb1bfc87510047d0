//! The store, which puts a machine's writes into one folder, in order.

use std::{collections::VecDeque, io, sync::Arc};

use super::{
    Loaded, Write,
    disk::{self, Disk, File, TEMPORARY_SUFFIX},
    initial_snapshot,
    record::Record,
    segment, snapshot,
};
use crate::{
    entry::{HardState, Index, Snapshot},
    error::Error,
    member::{Id, Members},
};

/// The size in bytes at which a segment is closed.
const SEGMENT_BYTES: usize = 16 << 20;

/// A replica's open data folder.
#[derive(Debug)]
pub struct Store<D>
where
    D: Disk,
{
    disk: D,
    group: u16,
    id: Id,
    retain: u64,
    // The current segment: its file, number, size in bytes and highest index.
    file: D::File,
    number: u64,
    size: usize,
    highest: Index,
    // The numbers of closed segments, oldest first, and the highest index in each.
    closed: VecDeque<(u64, Index)>,
    hard_state: HardState,
    // The index of the newest snapshot on disk.
    snapshot: Option<Index>,
    // Records not yet written to the file.
    buffer: Vec<u8>,
    // Whether a write or sync failed. Invariant: never cleared; nothing is written or synced then.
    failed: bool,
    syncs: u64,
}

impl<D> Store<D>
where
    D: Disk,
{
    /// Opens the data folder of this identity, checks all files in it, and begins a new segment.
    /// `retain` entries before a snapshot's end are kept.
    pub fn open(disk: D, group: u16, id: Id, retain: u64) -> Result<(Store<D>, Loaded), Error> {
        let mut loaded = Loaded::default();
        let names = disk
            .list()
            .map_err(|e| Error::io("can't list the data folder", e))?;
        let newest = load_snapshot(&disk, group, id, &names, &mut loaded)?;
        let closed = load_segments(&disk, group, id, &names, &mut loaded)?;
        let log_agrees = loaded.drop_conflicting_entries();
        let number = closed.back().map_or(0, |(number, _)| number + 1);
        let file = disk
            .create(&segment::name(number))
            .map_err(|e| Error::io("can't create a segment", e))?;
        let mut store = Store {
            disk,
            group,
            id,
            retain,
            file,
            number,
            size: 0,
            highest: Index::ZERO,
            closed,
            hard_state: loaded.hard_state,
            snapshot: newest,
            buffer: Vec::new(),
            failed: false,
            syncs: 0,
        };
        store.write_header();
        if let Some(newest) = newest.filter(|_| !log_agrees) {
            Record::Reset(newest).write(&mut store.buffer);
        }
        store.sync()?;
        store.sync_folder()?;
        Ok((store, loaded))
    }

    /// Stores the initial members of a group in a folder that holds no state yet.
    pub fn initialize(&mut self, members: Members) -> Result<Loaded, Error> {
        let empty = self.snapshot.is_none() && self.hard_state == HardState::default();
        if !empty || self.highest != Index::ZERO || self.failed {
            return Err(Error::refused("the data folder already holds state"));
        }
        self.save_snapshot(&initial_snapshot(members.clone()))?;
        Ok(Loaded::initial(members))
    }

    /// Adds a write. It is on disk after the next [`sync`](Store::sync).
    pub fn write(&mut self, write: &Write) -> Result<(), Error> {
        if self.failed {
            return Err(Error::stopped());
        }
        if let Some(snapshot) = &write.snapshot {
            self.save_snapshot(snapshot)?;
        }
        if write.reset {
            let index = write.snapshot.as_ref().map_or(Index::ZERO, |s| s.index);
            Record::Reset(index).write(&mut self.buffer);
        }
        if write.hard_state != self.hard_state {
            self.hard_state = write.hard_state;
            Record::HardState(write.hard_state).write(&mut self.buffer);
        }
        for entry in &write.entries {
            self.highest = self.highest.max(entry.index);
            Record::Entry(entry.clone()).write(&mut self.buffer);
        }
        Ok(())
    }

    /// Writes and syncs all writes added so far. After an error the store takes no more writes.
    pub fn sync(&mut self) -> Result<(), Error> {
        if self.failed {
            return Err(Error::stopped());
        }
        let bytes = std::mem::take(&mut self.buffer);
        self.size += bytes.len();
        let mut result = Ok(());
        if !bytes.is_empty() {
            result = self.file.append(&bytes).and_then(|()| self.file.sync());
            self.syncs += 1;
        }
        self.check(result, "can't write the log")?;
        if self.size >= SEGMENT_BYTES {
            self.start_segment()?;
        }
        Ok(())
    }

    /// Returns the number of syncs of segments so far. Each may cover many entries.
    pub fn syncs(&self) -> u64 {
        self.syncs
    }

    fn check<T>(&mut self, result: io::Result<T>, doing: &str) -> Result<T, Error> {
        result.map_err(|e| {
            self.failed = true;
            Error::io(doing, e)
        })
    }

    fn sync_folder(&mut self) -> Result<(), Error> {
        let result = self.disk.sync();
        self.check(result, "can't sync the data folder")
    }

    fn write_header(&mut self) {
        let header = segment::header(self.number, self.group, self.id);
        Record::Header(header).write(&mut self.buffer);
        Record::HardState(self.hard_state).write(&mut self.buffer);
    }

    fn start_segment(&mut self) -> Result<(), Error> {
        self.closed.push_back((self.number, self.highest));
        self.number += 1;
        self.size = 0;
        self.highest = Index::ZERO;
        let created = self.disk.create(&segment::name(self.number));
        self.file = self.check(created, "can't create a segment")?;
        self.write_header();
        self.sync()?;
        self.sync_folder()
    }

    fn save_snapshot(&mut self, new: &Snapshot) -> Result<(), Error> {
        let result = snapshot::write(&self.disk, self.group, self.id, new);
        if result.is_err() {
            self.failed = true;
        }
        result?;
        let old = self.snapshot.replace(new.index);
        if let Some(old) = old.filter(|old| *old != new.index) {
            let removed = self.disk.remove(&snapshot::name(old));
            self.check(removed, "can't remove an old snapshot")?;
        }
        self.remove_segments(Index(new.index.0.saturating_sub(self.retain)))
    }

    /// Removes closed segments, oldest first, whose entries all lie at or before `index`.
    ///
    /// **Failure.** After a power failure any of several unsynced removals may be undone. An older
    /// segment without the next one looks like a damaged log. Therefore each removal is synced
    /// before the next one.
    fn remove_segments(&mut self, index: Index) -> Result<(), Error> {
        let mut unsynced = false;
        while let Some((number, _)) = self.closed.pop_front_if(|(_, high)| *high <= index) {
            if unsynced {
                self.sync_folder()?;
            }
            let removed = self.disk.remove(&segment::name(number));
            self.check(removed, "can't remove an old segment")?;
            unsynced = true;
        }
        Ok(())
    }
}

fn load_snapshot<D>(
    disk: &D,
    group: u16,
    id: Id,
    names: &[String],
    loaded: &mut Loaded,
) -> Result<Option<Index>, Error>
where
    D: Disk,
{
    let remove = |name: &str| {
        let removed = disk.remove(name);
        removed.map_err(|e| Error::io(format!("can't remove {name}"), e))
    };
    for name in names.iter().filter(|name| name.ends_with(TEMPORARY_SUFFIX)) {
        remove(name)?;
    }
    let mut found = names.iter().filter(|name| snapshot::is_name(name));
    let Some(newest) = found.next_back() else {
        return Ok(None);
    };
    let snapshot = snapshot::read(disk, group, id, newest)?;
    for old in found {
        remove(old)?;
    }
    let index = snapshot.index;
    loaded.snapshot = Some(Arc::new(snapshot));
    Ok(Some(index))
}

fn load_segments<D>(
    disk: &D,
    group: u16,
    id: Id,
    names: &[String],
    loaded: &mut Loaded,
) -> Result<VecDeque<(u64, Index)>, Error>
where
    D: Disk,
{
    let numbers: Vec<u64> = names.iter().filter_map(|n| segment::number(n)).collect();
    let base = loaded.snapshot.as_ref().map_or(Index::ZERO, |s| s.index);
    let mut closed = VecDeque::new();
    for (place, number) in numbers.iter().enumerate() {
        let name = segment::name(*number);
        let bytes = disk
            .read(&name)
            .map_err(|e| Error::io(format!("can't read {name}"), e))?;
        let wanted = segment::header(*number, group, id);
        let read = segment::read(&bytes, &wanted, base, loaded)?;
        let is_last = place + 1 == numbers.len();
        let follows = place == 0 || numbers[place - 1] + 1 == *number;
        if !follows || (read.torn && !is_last) {
            return Err(Error::damaged(&name, "a part of the log is missing"));
        }
        if is_last {
            // The end may be torn, or, after a failed sync, complete in the
            // kernel's memory but not on disk. The complete records are written
            // again and synced under the same name, so that a power failure
            // can't take back anything that is acknowledged from here on.
            disk::replace(disk, &name, &bytes[..read.valid])
                .map_err(|e| Error::io(format!("can't rewrite {name}"), e))?;
        }
        closed.push_back((*number, read.highest));
    }
    Ok(closed)
}
