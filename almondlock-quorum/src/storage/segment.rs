//! Segments: append-only files of records, numbered in order.
//!
//! Each starts with a header and the term and vote of that moment, so that the
//! ones before it may go. Only the last one can have a torn tail, since a new
//! one is begun after the one before it was synced.

use super::{
    FORMAT, Loaded, Write,
    record::{Found, Header, Record},
};
use crate::{entry::Index, error::Error, member::Id};

const PREFIX: &str = "segment-";

pub(super) fn name(number: u64) -> String {
    format!("{PREFIX}{number:016x}")
}

pub(super) fn number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PREFIX)?;
    u64::from_str_radix(digits, 16)
        .ok()
        .filter(|_| digits.len() == 16)
}

pub(super) fn header(number: u64, group: u16, disk: Id) -> Header {
    Header {
        format: FORMAT,
        file: name(number),
        group,
        disk,
    }
}

/// A segment that was read.
#[derive(Debug)]
pub(super) struct Segment {
    /// Bytes that hold whole records.
    pub(super) valid: usize,
    /// Whether more followed, cut short by a crash.
    pub(super) torn: bool,
    /// The highest index in it.
    pub(super) highest: Index,
}

/// Reads a segment into what was loaded so far.
pub(super) fn read(
    bytes: &[u8],
    wanted: &Header,
    snapshot: Index,
    loaded: &mut Loaded,
) -> Result<Segment, Error> {
    let mut segment = Segment {
        valid: 0,
        torn: false,
        highest: Index::ZERO,
    };
    loop {
        match Record::read(bytes, segment.valid) {
            Found::End => break,
            Found::Torn => {
                segment.torn = true;
                break;
            }
            Found::Damaged(reason) => return Err(Error::damaged(&wanted.file, reason)),
            Found::Record(record, next) => {
                let first = segment.valid == 0;
                take(record, first, wanted, snapshot, loaded, &mut segment)?;
                segment.valid = next;
            }
        }
    }
    Ok(segment)
}

fn take(
    record: Record,
    first: bool,
    wanted: &Header,
    snapshot: Index,
    loaded: &mut Loaded,
    segment: &mut Segment,
) -> Result<(), Error> {
    match record {
        Record::Header(header) if first && header.format != FORMAT => {
            Err(Error::format(&wanted.file, header.format))
        }
        Record::Header(header) if first && header == *wanted => Ok(()),
        _ if first => Err(Error::damaged(&wanted.file, "its header is another's")),
        Record::HardState(hard) => {
            loaded.hard = hard;
            Ok(())
        }
        Record::Reset(_) => {
            loaded.entries.clear();
            Ok(())
        }
        Record::Entry(entry) => {
            let next = loaded.entries.last().map(|e| e.index.next());
            let gap = next.is_none_or(|next| entry.index > next);
            if gap && entry.index > snapshot.next() {
                return Err(Error::damaged(&wanted.file, "entries are missing"));
            }
            segment.highest = segment.highest.max(entry.index);
            loaded.apply(&Write {
                sequence: 0,
                hard: loaded.hard,
                snapshot: None,
                reset: false,
                entries: vec![entry],
            });
            Ok(())
        }
        Record::Header(_) | Record::Meta(_) | Record::Data(_) => {
            Err(Error::damaged(&wanted.file, "a record is out of place"))
        }
    }
}
