//! The identity of a replica's disk.
//!
//! The identity is drawn at random when the folder is first used, and kept in a file of its
//! own. It is lost with the folder: a replica that starts on an empty folder is a new one,
//! which is not a member yet.

use serde::{Deserialize, Serialize};

use super::{
    FORMAT,
    disk::{self, Disk},
    record::{Found, Header, Record},
};
use crate::{error::Error, member::Id};

const FILE_NAME: &str = "identity";

/// A disk's identity, and whether it was just created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Identity {
    /// The replica's identity.
    pub id: Id,
    /// Whether the folder was empty, so that the identity is new.
    pub fresh: bool,
}

impl Identity {
    /// Reads the folder's identity, or stores `drawn` as its identity if the folder is empty. A
    /// folder with other files but no identity is refused, since it is unknown which replica they
    /// belong to and what it acknowledged.
    pub fn open<D>(disk: &D, group: u16, drawn: Id) -> Result<Identity, Error>
    where
        D: Disk,
    {
        let names = disk
            .list()
            .map_err(|e| Error::io("can't list the data folder", e))?;
        if names.iter().any(|name| name == FILE_NAME) {
            return read(disk, group);
        }
        if names
            .iter()
            .any(|name| !name.ends_with(disk::TEMPORARY_SUFFIX))
        {
            return Err(Error::damaged(
                FILE_NAME,
                "it is missing, though the folder holds other files",
            ));
        }
        write(disk, group, drawn)?;
        Ok(Identity {
            id: drawn,
            fresh: true,
        })
    }
}

fn write<D>(disk: &D, group: u16, id: Id) -> Result<(), Error>
where
    D: Disk,
{
    let mut bytes = Vec::new();
    Record::Header(Header {
        format: FORMAT,
        file: FILE_NAME.to_owned(),
        group,
        disk: id,
    })
    .write(&mut bytes);
    disk::replace(disk, FILE_NAME, &bytes).map_err(|e| Error::io("can't write the identity", e))
}

fn read<D>(disk: &D, group: u16) -> Result<Identity, Error>
where
    D: Disk,
{
    let bytes = disk
        .read(FILE_NAME)
        .map_err(|e| Error::io("can't read the identity", e))?;
    let Found::Record(Record::Header(header), end) = Record::read(&bytes, 0) else {
        return Err(Error::damaged(FILE_NAME, "it can't be read"));
    };
    if header.format != FORMAT {
        return Err(Error::format(FILE_NAME, header.format));
    }
    if header.group != group || header.file != FILE_NAME || end != bytes.len() {
        return Err(Error::damaged(
            FILE_NAME,
            "it belongs to another group or file, or has bytes after its record",
        ));
    }
    Ok(Identity {
        id: header.disk,
        fresh: false,
    })
}
