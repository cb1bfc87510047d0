//! Checksummed records, of which all files consist.
//!
//! A record consists of the length of its body, a checksum of the length, a checksum of the
//! body, and the body. The length has a checksum of its own, because a flipped bit that
//! lengthens the last record would otherwise look like a record cut short by a crash, and a
//! committed entry would be removed as torn.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    entry::{Entry, HardState, Index, Payload, Term},
    member::{Id, Members},
};

const HEAD_BYTES: usize = 12;

/// The maximum length of a body. A greater length means damage.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The content of each file's first record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Header {
    pub(super) format: u32,
    pub(super) file: String,
    pub(super) group: u16,
    pub(super) disk: Id,
}

/// The content of a snapshot file's second record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Meta {
    pub(super) index: Index,
    pub(super) term: Term,
    pub(super) members: Members,
    pub(super) size: u64,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Record {
    Header(Header),
    HardState(HardState),
    Entry(Entry),
    /// Drops all entries before this record; the log continues after this index.
    Reset(Index),
    Meta(Meta),
    Data(Vec<u8>),
}

/// The result of reading at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Found {
    /// A record, and the offset of the next one.
    Record(Record, usize),
    /// The end of the file.
    End,
    /// A record that a crash cut short.
    Torn,
    /// Bytes that were never written as they are, with the reason.
    Damaged(&'static str),
}

impl Record {
    pub(super) fn write(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&[0; HEAD_BYTES]);
        self.write_body(out);
        let length = u32::try_from(out.len() - start - HEAD_BYTES).unwrap_or(u32::MAX);
        let length = length.to_le_bytes();
        let body = crc32fast::hash(&out[start + HEAD_BYTES..]).to_le_bytes();
        out[start..start + 4].copy_from_slice(&length);
        out[start + 4..start + 8].copy_from_slice(&crc32fast::hash(&length).to_le_bytes());
        out[start + 8..start + 12].copy_from_slice(&body);
    }

    fn write_body(&self, out: &mut Vec<u8>) {
        match self {
            Record::Header(header) => write_json(out, 1, header),
            Record::HardState(hard) => {
                out.push(2);
                out.extend_from_slice(&hard.term.0.to_le_bytes());
                out.push(u8::from(hard.vote.is_some()));
                out.extend_from_slice(&hard.vote.map_or(0, |id| id.0).to_le_bytes());
            }
            Record::Entry(entry) => write_entry(out, entry),
            Record::Reset(index) => {
                out.push(4);
                out.extend_from_slice(&index.0.to_le_bytes());
            }
            Record::Meta(meta) => write_json(out, 5, meta),
            Record::Data(data) => {
                out.push(6);
                out.extend_from_slice(data);
            }
        }
    }

    /// Reads the record at offset `at`.
    pub(super) fn read(bytes: &[u8], at: usize) -> Found {
        let rest = bytes.get(at..).unwrap_or_default();
        if rest.is_empty() {
            return Found::End;
        }
        // A crash may leave the file longer than the data written to it. The
        // rest reads as zeros.
        if rest.iter().all(|byte| *byte == 0) || rest.len() < HEAD_BYTES {
            return Found::Torn;
        }
        let word = |at: usize| {
            let mut four = [0; 4];
            four.copy_from_slice(&rest[at..at + 4]);
            u32::from_le_bytes(four)
        };
        if crc32fast::hash(&rest[..4]) != word(4) {
            return Found::Damaged("a record's length fails its checksum");
        }
        let length = usize::try_from(word(0)).unwrap_or(usize::MAX);
        if length > MAX_BODY_BYTES {
            return Found::Damaged("a record is longer than any may be");
        }
        let Some(body) = rest.get(HEAD_BYTES..HEAD_BYTES + length) else {
            return Found::Torn;
        };
        if crc32fast::hash(body) != word(8) {
            return Found::Damaged("a record fails its checksum");
        }
        match read_body(body) {
            Some(record) => Found::Record(record, at + HEAD_BYTES + length),
            None => Found::Damaged("a record of an unknown kind"),
        }
    }
}

fn write_json<T>(out: &mut Vec<u8>, kind: u8, value: &T)
where
    T: Serialize,
{
    out.push(kind);
    // Can't fail: plain structs of numbers, names and maps with plain keys.
    let json = serde_json::to_vec(value).unwrap_or_default();
    out.extend_from_slice(&json);
}

fn write_entry(out: &mut Vec<u8>, entry: &Entry) {
    out.push(3);
    out.extend_from_slice(&entry.index.0.to_le_bytes());
    out.extend_from_slice(&entry.term.0.to_le_bytes());
    match &entry.payload {
        Payload::Command(data) => {
            out.push(0);
            out.extend_from_slice(data);
        }
        Payload::Empty => out.push(1),
        Payload::Members(members) => write_json(out, 2, members.as_ref()),
    }
}

fn read_body(body: &[u8]) -> Option<Record> {
    let (kind, rest) = body.split_first()?;
    match kind {
        1 => serde_json::from_slice(rest).ok().map(Record::Header),
        2 => {
            let (term, rest) = read_word(rest)?;
            let (voted, rest) = rest.split_first()?;
            let (vote, _) = read_word(rest)?;
            let vote = (*voted == 1).then_some(Id(vote));
            let term = Term(term);
            Some(Record::HardState(HardState { term, vote }))
        }
        3 => read_entry(rest).map(Record::Entry),
        4 => read_word(rest).map(|(index, _)| Record::Reset(Index(index))),
        5 => serde_json::from_slice(rest).ok().map(Record::Meta),
        6 => Some(Record::Data(rest.to_vec())),
        _ => None,
    }
}

fn read_entry(rest: &[u8]) -> Option<Entry> {
    let (index, rest) = read_word(rest)?;
    let (term, rest) = read_word(rest)?;
    let (kind, rest) = rest.split_first()?;
    let payload = match kind {
        0 => Payload::Command(Arc::from(rest)),
        1 => Payload::Empty,
        2 => Payload::Members(Arc::new(serde_json::from_slice(rest).ok()?)),
        _ => return None,
    };
    Some(Entry {
        index: Index(index),
        term: Term(term),
        payload,
    })
}

fn read_word(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let (word, rest) = bytes.split_first_chunk::<8>()?;
    Some((u64::from_le_bytes(*word), rest))
}
