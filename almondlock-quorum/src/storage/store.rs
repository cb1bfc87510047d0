//! The store: writes of a machine, in order, to one folder.

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

/// A segment is closed when it holds this many bytes.
const SEGMENT_BYTES: usize = 16 << 20;

/// A replica's files.
#[derive(Debug)]
pub struct Store<D>
where
    D: Disk,
{
    disk: D,
    group: u16,
    id: Id,
    retain: u64,
    // The present segment.
    file: D::File,
    number: u64,
    size: usize,
    highest: Index,
    // Closed segments, oldest first, and the highest index in each.
    closed: VecDeque<(u64, Index)>,
    hard: HardState,
    // The newest snapshot on disk.
    snapshot: Option<Index>,
    // Records not yet given to the file.
    buffer: Vec<u8>,
    // Invariant: once set it stays, and nothing is written or synced any more.
    failed: bool,
    syncs: u64,
}

impl<D> Store<D>
where
    D: Disk,
{
    /// Opens the folder of the disk with this identity, checks all that is in
    /// it, and begins a new segment. `retain` entries before a snapshot are
    /// kept.
    pub fn open(disk: D, group: u16, id: Id, retain: u64) -> Result<(Store<D>, Loaded), Error> {
        let mut loaded = Loaded::default();
        let names = disk
            .list()
            .map_err(|e| Error::io("can't list the data folder", e))?;
        let newest = load_snapshot(&disk, group, id, &names, &mut loaded)?;
        let closed = load_segments(&disk, group, id, &names, &mut loaded)?;
        let settled = loaded.settle();
        let number = closed.back().map_or(0, |(number, _)| number + 1);
        let file = disk
            .create(&segment::name(number))
            .map_err(|e| Error::io("can't begin a segment", e))?;
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
            hard: loaded.hard,
            snapshot: newest,
            buffer: Vec::new(),
            failed: false,
            syncs: 0,
        };
        store.write_header();
        if let Some(newest) = newest.filter(|_| !settled) {
            Record::Reset(newest).write(&mut store.buffer);
        }
        store.sync()?;
        store.sync_folder()?;
        Ok((store, loaded))
    }

    /// Sets the members that a group starts with, on a folder that holds
    /// nothing yet.
    pub fn initialize(&mut self, members: Members) -> Result<Loaded, Error> {
        let empty = self.snapshot.is_none() && self.hard == HardState::default();
        if !empty || self.highest != Index::ZERO || self.failed {
            return Err(Error::refused("the folder is in use already"));
        }
        self.save_snapshot(&initial_snapshot(members.clone()))?;
        Ok(Loaded::initial(members))
    }

    /// Takes in a write. It is on disk after the next [`sync`](Store::sync).
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
        if write.hard != self.hard {
            self.hard = write.hard;
            Record::HardState(write.hard).write(&mut self.buffer);
        }
        for entry in &write.entries {
            self.highest = self.highest.max(entry.index);
            Record::Entry(entry.clone()).write(&mut self.buffer);
        }
        Ok(())
    }

    /// Puts all that was written on disk. An error is final.
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

    /// How many syncs of segments there were, each for any number of entries.
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
        Record::HardState(self.hard).write(&mut self.buffer);
    }

    fn start_segment(&mut self) -> Result<(), Error> {
        self.closed.push_back((self.number, self.highest));
        self.number += 1;
        self.size = 0;
        self.highest = Index::ZERO;
        let created = self.disk.create(&segment::name(self.number));
        self.file = self.check(created, "can't begin a segment")?;
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

    /// Removes closed segments, oldest first, while all that they hold lies at
    /// or before `index`.
    ///
    /// **Failure.** The power fails, and of several removals that were not synced any may come
    /// back. An older segment without the next one looks like a damaged log. So each removal is
    /// synced before the next one.
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
            // Its end may be torn, or whole in the kernel's memory and yet not
            // on disk, after a sync that failed. What was read is written
            // again and synced under the same name, so that nothing is
            // promised from here on that a power failure could take back.
            disk::replace(disk, &name, &bytes[..read.valid])
                .map_err(|e| Error::io(format!("can't settle the end of {name}"), e))?;
        }
        closed.push_back((*number, read.highest));
    }
    Ok(closed)
}
