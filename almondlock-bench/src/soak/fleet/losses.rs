//! Replicas that lose their disks, or go for good.

use std::{
    fs,
    io::{self, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use rustix::process::Signal;
use tokio::time::{Instant, sleep, sleep_until};

use super::{Fleet, PORTS};
use crate::soak::{plan::replacement::CATCH_UP, replicas::Replica};

/// Settings name a replica that was replaced for so long.
const SEED_LAG: Duration = Duration::from_secs(3);
/// Bytes that are missing where a synced record is cut.
const CUT: u64 = 7;
/// The bytes of a record that was not written whole: fewer than its length takes.
const TORN: [u8; 3] = [9, 0, 0];

impl Fleet {
    /// Kills a replica and empties its disk.
    pub(super) async fn wipe(&self, place: usize, length: Duration) -> io::Result<()> {
        self.settled().await;
        let replica = self.replicas.at(place);
        replica.process.kill().await;
        fs::remove_dir_all(self.data(&replica))?;
        sleep(length).await;
        self.start_empty(&replica)
    }

    /// Kills all replicas at once and empties the disk of one.
    pub(super) async fn wipe_among_killed(&self, place: usize, length: Duration) -> io::Result<()> {
        self.settled().await;
        let replica = self.replicas.at(place);
        self.kill_replicas();
        replica.process.kill().await;
        fs::remove_dir_all(self.data(&replica))?;
        sleep(length).await;
        self.start_empty(&replica)?;
        self.start_replicas()
    }

    /// Kills a replica while it writes.
    pub(super) async fn tear(&self, place: usize) -> io::Result<()> {
        let replica = self.replicas.at(place);
        replica.process.kill().await;
        let folder = self.data(&replica);
        match self.world.cuts_synced {
            true => cut(&folder)?,
            false => tear(&folder)?,
        }
        replica.process.start()
    }

    /// Kills all replicas at once.
    pub(super) async fn kill_all_replicas(&self, length: Duration) -> io::Result<()> {
        self.kill_replicas();
        sleep(length).await;
        self.start_replicas()
    }

    /// Kills a replica for good; another one starts later at another address.
    pub(super) async fn replace_replica(&self, place: usize, length: Duration) -> io::Result<()> {
        self.settled().await;
        let newcomer = self.newcomer(place)?;
        self.settle(&newcomer).process.kill().await;
        sleep(length).await;
        self.start_empty(&newcomer)?;
        sleep(SEED_LAG).await;
        self.rewrite()
    }

    /// Starts a replica at another address, and later stops the one that it replaces.
    pub(super) async fn move_replica(&self, place: usize, length: Duration) -> io::Result<()> {
        self.settled().await;
        let newcomer = self.newcomer(place)?;
        self.start_empty(&newcomer)?;
        self.replicas.come(&newcomer);
        sleep(length).await;
        let former = self.settle(&newcomer);
        self.stop_only(&former.process).await;
        sleep(SEED_LAG).await;
        self.rewrite()
    }

    /// One that is to replace another, with settings that don't know of this yet.
    fn newcomer(&self, place: usize) -> io::Result<Rc<Replica>> {
        let newcomer = Rc::new(self.replica(place));
        self.write_replica(&newcomer, false)?;
        Ok(newcomer)
    }

    pub(super) fn kill_replicas(&self) {
        for replica in self.replicas.present() {
            replica.process.signal(Signal::KILL);
        }
    }

    pub(super) fn start_replicas(&self) -> io::Result<()> {
        let mut replicas = self.replicas.present().into_iter();
        replicas.try_for_each(|replica| replica.process.start())
    }

    fn start_empty(&self, replica: &Replica) -> io::Result<()> {
        let until = Instant::now() + Duration::from_millis(CATCH_UP);
        self.settled.set(Some(until));
        replica.process.start()
    }

    /// Waits until the last replica that started on an empty disk has had its time.
    async fn settled(&self) {
        while let Some(until) = self.settled.get().filter(|until| Instant::now() < *until) {
            sleep_until(until).await;
        }
    }

    /// Puts a replica in its place, and gives the former one.
    fn settle(&self, newcomer: &Rc<Replica>) -> Rc<Replica> {
        let own = SocketAddr::new(self.ip(1, newcomer.number), PORTS[3]);
        self.control[newcomer.place].lead(own);
        self.replicas.settle(newcomer)
    }
}

/// Leaves a part of a record at the end of the file that was written last, as a process does
/// that dies while it writes.
fn tear(folder: &Path) -> io::Result<()> {
    let Some((file, _)) = newest(folder)? else {
        return Ok(());
    };
    let mut file = fs::OpenOptions::new().append(true).open(file)?;
    file.write_all(&TORN)
}

/// Takes the last bytes off the file that was written last: a disk that loses what it had
/// synced, which deployments don't promise to bear.
fn cut(folder: &Path) -> io::Result<()> {
    let Some((file, length)) = newest(folder)? else {
        return Ok(());
    };
    let file = fs::OpenOptions::new().write(true).open(file)?;
    file.set_len(length.saturating_sub(CUT))
}

/// The file that was written last, and its length.
fn newest(folder: &Path) -> io::Result<Option<(PathBuf, u64)>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let data = entry.metadata()?;
        if data.is_file() {
            files.push((data.modified()?, entry.path(), data.len()));
        }
    }
    let newest = files.into_iter().max();
    Ok(newest.map(|(_, path, length)| (path, length)))
}
