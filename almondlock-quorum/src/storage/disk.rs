//! The file system operations that the storage needs.
//!
//! They are a trait, so that tests can make a chosen write or sync fail, and a
//! generic parameter, so that the real file system costs no indirection.

use std::{
    fs, io,
    io::Write,
    path::{Path, PathBuf},
};

/// A folder that holds plain files.
pub trait Disk {
    /// A file opened for appending.
    type File: File;

    /// Returns the names of all files, sorted.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the contents of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, replacing any file of that name.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file, replacing any file of the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Syncs the folder, so that files created, renamed and removed stay so after a crash.
    fn sync(&self) -> io::Result<()>;
}

/// A file opened for appending.
pub trait File {
    /// Appends bytes.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Syncs the file's bytes and length.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    // The lock file, held until this handle is dropped, if the folder was locked.
    lock: Option<fs::File>,
}

/// The file that a process locks to use the folder exclusively.
const LOCK_FILE_NAME: &str = "lock";

impl Folder {
    /// Opens a folder, creating it if it is missing.
    pub fn open(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        if let Some(parent) = path.parent().filter(|p| !p.as_os_str().is_empty()) {
            fs::File::open(parent)?.sync_all()?;
        }
        Ok(Folder {
            path: path.to_owned(),
            lock: None,
        })
    }

    /// Opens a folder and locks it until the handle is dropped or the process ends. Two processes
    /// that append to one log would overwrite entries that the other has acknowledged.
    pub fn lock(path: &Path) -> io::Result<Folder> {
        let mut folder = Folder::open(path)?;
        let file = fs::File::create(path.join(LOCK_FILE_NAME))?;
        file.try_lock().map_err(|error| match error {
            fs::TryLockError::Error(error) => error,
            fs::TryLockError::WouldBlock => {
                io::Error::new(io::ErrorKind::WouldBlock, "another process uses it")
            }
        })?;
        folder.lock = Some(file);
        Ok(folder)
    }
}

impl Disk for Folder {
    type File = fs::File;

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            if entry.file_type()?.is_file() && entry.file_name() != LOCK_FILE_NAME {
                names.push(entry.file_name().to_string_lossy().into_owned());
            }
        }
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<fs::File> {
        fs::File::create(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        fs::File::open(&self.path)?.sync_all()
    }
}

impl File for fs::File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Replaces a file atomically: after a crash either the old or the new content is there. Syncs
/// the file and the folder.
pub(super) fn replace<D>(disk: &D, name: &str, bytes: &[u8]) -> io::Result<()>
where
    D: Disk,
{
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    let mut file = disk.create(&temporary)?;
    file.append(bytes)?;
    file.sync()?;
    disk.rename(&temporary, name)?;
    disk.sync()
}

/// The suffix of the name of a file that is still being written.
pub(super) const TEMPORARY_SUFFIX: &str = ".tmp";
