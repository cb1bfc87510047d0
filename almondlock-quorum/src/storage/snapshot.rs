//! Snapshot files: a header, the metadata and the state in chunks. A new file is written
//! under a temporary name and then renamed.

use std::sync::Arc;

use super::{
    FORMAT,
    disk::{self, Disk},
    record::{Found, Header, Meta, Record},
};
use crate::{
    entry::{Index, Snapshot},
    error::Error,
    member::Id,
};

const PREFIX: &str = "snapshot-";

/// The maximum number of bytes of the state in one data record.
const CHUNK_BYTES: usize = 1 << 20;

pub(super) fn name(index: Index) -> String {
    format!("{PREFIX}{:016x}", index.0)
}

pub(super) fn is_name(name: &str) -> bool {
    name.starts_with(PREFIX) && !name.ends_with(disk::TEMPORARY_SUFFIX)
}

pub(super) fn write<D>(disk: &D, group: u16, id: Id, snapshot: &Snapshot) -> Result<(), Error>
where
    D: Disk,
{
    let name = name(snapshot.index);
    let mut bytes = Vec::new();
    Record::Header(Header {
        format: FORMAT,
        file: name.clone(),
        group,
        disk: id,
    })
    .write(&mut bytes);
    Record::Meta(Meta {
        index: snapshot.index,
        term: snapshot.term,
        members: snapshot.members.as_ref().clone(),
        size: snapshot.data.len() as u64,
    })
    .write(&mut bytes);
    for chunk in snapshot.data.chunks(CHUNK_BYTES) {
        Record::Data(chunk.to_vec()).write(&mut bytes);
    }
    disk::replace(disk, &name, &bytes).map_err(|e| Error::io(format!("can't write {name}"), e))
}

pub(super) fn read<D>(disk: &D, group: u16, id: Id, name: &str) -> Result<Snapshot, Error>
where
    D: Disk,
{
    let bytes = disk
        .read(name)
        .map_err(|e| Error::io(format!("can't read {name}"), e))?;
    let damaged = || Error::damaged(name, "it can't be read whole");
    let Found::Record(Record::Header(header), at) = Record::read(&bytes, 0) else {
        return Err(damaged());
    };
    if header.format != FORMAT {
        return Err(Error::format(name, header.format));
    }
    if (header.group, header.disk, header.file.as_str()) != (group, id, name) {
        return Err(Error::damaged(
            name,
            "its header names another file, group or replica",
        ));
    }
    let Found::Record(Record::Meta(meta), mut at) = Record::read(&bytes, at) else {
        return Err(damaged());
    };
    let mut data = Vec::new();
    loop {
        match Record::read(&bytes, at) {
            Found::Record(Record::Data(chunk), next) => {
                data.extend_from_slice(&chunk);
                at = next;
            }
            Found::End if data.len() as u64 == meta.size => break,
            _ => return Err(damaged()),
        }
    }
    Ok(Snapshot {
        index: meta.index,
        term: meta.term,
        members: Arc::new(meta.members),
        data: Arc::from(data),
    })
}
