//! Segments: the append-only, numbered files of records that hold the log.
//!
//! Each segment starts with a header and the term and vote at that time, so that earlier
//! segments can be removed. Only the last one can have a torn tail, since a new segment
//! is begun only after the previous one was synced.

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

/// The result of reading a segment.
#[derive(Debug)]
pub(super) struct Segment {
    /// The number of bytes at the start that hold complete records.
    pub(super) valid: usize,
    /// Whether a record cut short by a crash follows.
    pub(super) torn: bool,
    /// The highest index of an entry in the segment.
    pub(super) highest: Index,
}

/// Reads a segment and adds its records to `loaded`.
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
                apply_record(record, first, wanted, snapshot, loaded, &mut segment)?;
                segment.valid = next;
            }
        }
    }
    Ok(segment)
}

fn apply_record(
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
        _ if first => Err(Error::damaged(
            &wanted.file,
            "its header names another file, group or replica",
        )),
        Record::HardState(hard) => {
            loaded.hard_state = hard;
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
                hard_state: loaded.hard_state,
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
