//! A replica's disk fails while it works.

#![allow(clippy::unwrap_used)]

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use almondlock_base::{
    Code,
    id::{Domain, Host, Incarnation},
    time::Wall,
};
use almondlock_control::replica::{Config, Initial, Replica};
use almondlock_node::Vouch;
use almondlock_quorum::storage::disk::{Disk, File, Folder};
use almondlock_spread::view::View;
use almondlock_state::command::Command;
use tokio::task::LocalSet;

struct Failing {
    inner: Folder,
    fails: Arc<AtomicBool>,
}

struct FailingFile {
    inner: std::fs::File,
    fails: Arc<AtomicBool>,
}

impl Disk for Failing {
    type File = FailingFile;

    fn list(&self) -> io::Result<Vec<String>> {
        self.inner.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.inner.read(name)
    }

    fn create(&self, name: &str) -> io::Result<FailingFile> {
        let inner = self.inner.create(name)?;
        let fails = Arc::clone(&self.fails);
        Ok(FailingFile { inner, fails })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.inner.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.inner.remove(name)
    }

    fn sync(&self) -> io::Result<()> {
        self.inner.sync()
    }
}

impl File for FailingFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.inner.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        // Once; the next sync would succeed.
        if self.fails.swap(false, Ordering::Relaxed) {
            return Err(io::Error::other("input/output error"));
        }
        self.inner.sync()
    }
}

fn command(counter: u64) -> Command {
    Command::HolderGone {
        host: Host::new("entry-1").unwrap(),
        incarnation: Incarnation(counter),
        at: Wall::from_millis(1),
    }
}

/// One sync fails under a replica that leads. The command that waited for it is
/// answered with a code that says that it may have been accepted; from then on
/// the replica answers nothing else, and says why.
#[tokio::test]
async fn stops_for_good() {
    LocalSet::new().run_until(run()).await;
}

async fn run() {
    let folder = tempfile::tempdir().unwrap();
    let fails = Arc::new(AtomicBool::new(false));
    let disk = Failing {
        inner: Folder::open(folder.path()).unwrap(),
        fails: Arc::clone(&fails),
    };
    let name = Host::new("control-0").unwrap();
    let address = "127.0.0.1:1".parse().unwrap();
    let domain = Domain::new("domain-0").unwrap();
    let config = Config::builder(name.clone(), address, domain, folder.path())
        .initial([Initial { name, address }])
        .build();
    let replica = Replica::start_on(disk, config, View::new(), Vouch::new()).unwrap();
    while replica.propose(command(1)).await.is_err() {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    fails.store(true, Ordering::Relaxed);
    let refusal = replica.propose(command(2)).await.unwrap_err();
    assert_eq!(refusal.code, Code::StorageFailed);
    assert_eq!(replica.stopped().await.code, Code::StorageFailed);
    let refusal = replica.read().await.unwrap_err();
    assert_eq!(refusal.code, Code::StorageFailed);
    assert!(replica.status().stopped.is_some());
    replica.kill();
}
