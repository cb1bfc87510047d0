//! A process of the system: started, signalled by its id, and looked at from outside.

use std::{
    cell::{Cell, RefCell},
    fs::{self, File, OpenOptions},
    io,
    path::PathBuf,
    process::{Child, Command, Stdio},
    rc::Rc,
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use tokio::time::sleep;

/// Between two looks at whether a process has ended.
const LOOK: Duration = Duration::from_millis(20);

/// One process and its settings.
pub struct Process {
    /// Its name.
    pub name: String,
    /// The program.
    program: PathBuf,
    /// Its settings.
    file: PathBuf,
    child: RefCell<Option<Child>>,
    is_frozen: Cell<bool>,
    /// Counts its starts.
    pub life: Rc<Cell<u32>>,
    /// The largest that was seen: kilobytes resident, and descriptors.
    pub largest: Cell<(u64, usize)>,
}

impl Process {
    /// One that isn't started yet.
    pub fn new(name: String, program: PathBuf, file: PathBuf) -> Process {
        Process {
            name,
            program,
            file,
            child: RefCell::default(),
            is_frozen: Cell::new(false),
            life: Rc::default(),
            largest: Cell::default(),
        }
    }

    /// Starts it, unless it runs.
    pub fn start(&self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.file.with_extension("log"))?;
        let errors: File = log.try_clone()?;
        let folder = self.file.parent().map_or_else(PathBuf::new, PathBuf::from);
        let child = Command::new(&self.program)
            .arg("run")
            .arg(&self.file)
            .current_dir(folder)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        self.is_frozen.set(false);
        self.life.set(self.life.get() + 1);
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Whether it runs: started, and not ended since.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let status = child.as_mut().map(Child::try_wait);
        matches!(status, Some(Ok(None)))
    }

    /// Starts it again if it has ended by itself with an error.
    pub fn start_failed(&self) -> io::Result<()> {
        let status = {
            let mut child = self.child.borrow_mut();
            child.as_mut().map(Child::try_wait).transpose()?.flatten()
        };
        // One that was killed has no code.
        let has_failed = status
            .and_then(|status| status.code())
            .is_some_and(|code| code != 0);
        match has_failed {
            true => self.start(),
            false => Ok(()),
        }
    }

    /// Sends it a signal, if it runs.
    pub fn signal(&self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let child = self.child.borrow();
        if let Some(child) = &*child {
            // It may have ended just now.
            let _ = kill_process(Pid::from_child(child), signal);
            match signal {
                Signal::STOP => self.is_frozen.set(true),
                Signal::CONT => self.is_frozen.set(false),
                _ => {}
            }
        }
    }

    /// Waits until it has ended. Whether it did within the time, in which it was not frozen.
    pub async fn ended(&self, within: Duration) -> bool {
        let mut looks = within.as_millis() / LOOK.as_millis();
        while looks > 0 {
            if !self.is_running() {
                return true;
            }
            looks -= u128::from(!self.is_frozen.get());
            sleep(LOOK).await;
        }
        !self.is_running()
    }

    /// Kills it and waits for its end.
    pub async fn kill(&self) {
        self.signal(Signal::KILL);
        self.ended(Duration::from_secs(5)).await;
    }

    /// Looks at what it takes, and remembers the most.
    pub fn look(&self) {
        let Some(id) = self.child.borrow().as_ref().map(Child::id) else {
            return;
        };
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let mut lines = status.lines();
        let resident = lines.find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
        let descriptors = fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        let (most, many) = self.largest.get();
        let kilobytes = kilobytes.unwrap_or(0).max(most);
        self.largest.set((kilobytes, descriptors.max(many)));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = self.child.get_mut() {
            // One that has ended can't be killed, which is as well.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
