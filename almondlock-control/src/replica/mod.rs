//! A running replica of the control state.
//!
//! One thread runs the log's machine, the state machine and the interfaces;
//! another does nothing but write and sync. Commands that come while the disk
//! syncs wait in memory and share the next sync, here and on the followers, so
//! the cost of a sync is spread over as many commands as there are.
//!
//! A command is answered once a majority has it on disk and it was applied
//! here. What is not known by then is said to be unknown: a command given up
//! after its time may still be accepted, so proposing it again must be
//! harmless, which the commands of the state machine are.
//!
//! [`Replica`] belongs to the thread that started it; [`Remote`] is for others.

mod config;
mod core;
pub mod departure;
mod disk;
mod duties;
mod figures;
mod founding;
mod instances;
mod membership;
mod peers;
mod refusal;
mod remote;
pub mod repair;
mod server;
mod status;
mod wire;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::{Future, pending},
    path::Path,
    rc::Rc,
    time::Duration,
};

use almondlock_base::{Code, id::Upstream, time::Mono};
use almondlock_node::{Vouch, clock};
use almondlock_quorum::{
    member::Id,
    storage::{
        Store,
        disk::{Disk, Folder},
        identity::Identity,
    },
};
use almondlock_spread::view::View;
use almondlock_state::{
    command::{Command, Reply},
    instance::{Birth, Heartbeat, Roster},
    machine::Machine,
};
use almondlock_task::{Owner, Task};
use almondlock_wire::almondlock_capnp::control;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

pub use self::{
    config::{Builder, Config, Initial},
    instances::Taken,
    refusal::Refusal,
    remote::Remote,
    status::{Counts, Peer, Status},
};
use self::{
    core::{Answer, Core},
    disk::Thread,
};

/// A running replica. Clones are the same one.
#[derive(Clone)]
pub struct Replica {
    inner: Rc<Inner>,
}

struct Inner {
    config: Config,
    core: RefCell<Core>,
    // The core may have something to do.
    wake: Notify,
    leases: RefCell<duties::Leases>,
    roster: RefCell<Roster>,
    // Heartbeats that were taken here since the leader was last told, on a follower.
    taken: RefCell<Vec<Heartbeat>>,
    // Notices that were refused as possible late copies: for which incarnation, and when. Only a
    // leader adds to it; a new one asks for another repetition.
    doubts: RefCell<HashMap<Upstream, (Birth, Mono)>>,
    // Silent instances that are kept, for the log.
    kept: Cell<usize>,
    tasks: RefCell<Vec<Task>>,
}

impl Replica {
    /// Opens the data folder and starts. Must be called on a thread with a
    /// local executor.
    ///
    /// Accepted changes of the configuration are put into `view`, in order.
    /// `vouch` is told whenever the view is known to be current.
    pub fn start(config: Config, view: View, vouch: Vouch) -> Result<Replica, Refusal> {
        let folder = open_folder(config.folder())?;
        Replica::start_on(folder, config, view, vouch)
    }

    /// As [`start`](Replica::start), on a disk of the caller's.
    pub fn start_on<D>(
        disk: D,
        config: Config,
        view: View,
        vouch: Vouch,
    ) -> Result<Replica, Refusal>
    where
        D: Disk + Send + 'static,
        D::File: Send,
    {
        let group = config.quorum.group();
        let identity = Identity::open(&disk, group, draw_identity()?)?;
        let (store, loaded) =
            Store::open(disk, group, identity.id, config.quorum.retain_entries())?;
        let (thread, mut reports) = Thread::start(store).map_err(|e| {
            let message = format!("can't start the thread that writes the log: {e}");
            Refusal::new(Code::StorageFailed, message)
        })?;
        let core = Core::new(&config, identity.id, loaded, thread, (view, vouch))?;
        let replica = Replica {
            inner: Rc::new(Inner {
                config,
                core: RefCell::new(core),
                wake: Notify::new(),
                leases: RefCell::default(),
                roster: RefCell::default(),
                taken: RefCell::default(),
                doubts: RefCell::default(),
                kept: Cell::default(),
                tasks: RefCell::default(),
            }),
        };
        let disk = replica.clone();
        let disk = async move {
            while let Some(report) = reports.recv().await {
                disk.with(|core| core.on_disk(clock::mono(), report));
            }
            // After a failure that was reported, the replica stops in its own way.
            if disk.inner.core.borrow().stopped.is_some() {
                pending().await
            }
        };
        replica.spawn("disk-reports", disk);
        replica.spawn("replica-settle", replica.clone().settle_always());
        replica.spawn("replica-tick", replica.clone().tick_always());
        replica.spawn("replica-duties", duties::run(replica.clone()));
        if replica.inner.config.repairs {
            replica.spawn("replica-repair", duties::mend(replica.clone()));
        }
        Ok(replica)
    }

    /// Proposes a command and waits until it was accepted and applied here.
    pub async fn propose(&self, command: Command) -> Result<Reply, Refusal> {
        let unreadable = |e: serde_json::Error| Refusal::new(Code::BadChange, e.to_string());
        let bytes = command.to_bytes().map_err(unreadable)?;
        // A command that can be written but not read back would stop every
        // replica that comes to it in the log, and each of them again at every
        // start. It is cheaper to read it once here than to lose the group.
        Command::from_slice(&bytes).map_err(unreadable)?;
        let answer = self.with(|core| core.propose(bytes))?;
        self.wait(answer).await
    }

    /// Waits until the state here holds all that was accepted before the call.
    pub async fn read(&self) -> Result<(), Refusal> {
        let answer = self.with(|core| core.read(clock::mono()))?;
        self.wait(answer).await
    }

    /// Looks at the state as applied here, which may be old: call
    /// [`read`](Replica::read) first where that matters.
    pub fn state<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&Machine) -> T,
    {
        look(&self.inner.core.borrow().state)
    }

    /// Whether it leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.inner.core.borrow().is_leader()
    }

    /// How the replica stands.
    pub fn status(&self) -> Status {
        self.inner.core.borrow().status(clock::mono())
    }

    /// The interface for other processes, to be offered by the node.
    pub fn control_client(&self) -> control::Client {
        capnp_rpc::new_client(server::Server::new(self.clone()))
    }

    /// A handle for other threads. Ends with the replica.
    pub fn remote(&self) -> Remote {
        let (remote, task) = remote::pair(self.clone());
        self.spawn("replica-requests", task);
        remote
    }

    /// Ends when the replica has stopped by itself, and says why. It stops when
    /// its disk fails, and takes part in nothing from then on.
    pub async fn stopped(&self) -> Refusal {
        loop {
            if let Some(refusal) = self.inner.core.borrow().stopped.clone() {
                return refusal;
            }
            sleep(self.inner.config.quorum.election_timeout()).await;
        }
    }

    /// Tells the others that it stops, hands leadership on if it has it, and waits until it may
    /// end; see [`departure`]. Without a spare in the group that takes an election timeout at the
    /// most, as a leader, and else `stop_time`.
    pub async fn leave(&self) {
        self.with(|core| core.leave(clock::mono()));
        let heartbeat = self.inner.config.quorum.heartbeat_interval();
        sleep(heartbeat).await;
        while !self.inner.core.borrow().may_end(clock::mono()) {
            sleep(heartbeat / 4).await;
        }
    }

    /// Leaves, and stops.
    pub async fn stop(&self) {
        self.leave().await;
        self.kill();
    }

    /// Stops at once, as a crash would.
    pub fn kill(&self) {
        for task in self.inner.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        self.inner.core.borrow_mut().close();
    }

    /// Owner of the process's tasks.
    fn owner(&self) -> &Owner {
        &self.inner.config.owner
    }

    /// Starts a task that runs until the replica is stopped.
    fn spawn<F>(&self, task: &'static str, future: F)
    where
        F: Future<Output = ()> + 'static,
    {
        let task = self.owner().spawn(task, future);
        self.inner.tasks.borrow_mut().push(task);
    }

    /// Changes the core. What a panic leaves of it must not vote or acknowledge.
    fn with<T, F>(&self, act: F) -> T
    where
        F: FnOnce(&mut Core) -> T,
    {
        let _scope = self.owner().scope("replica");
        let result = act(&mut self.inner.core.borrow_mut());
        self.inner.wake.notify_one();
        result
    }

    async fn wait<T>(&self, answer: Answer<T>) -> Result<T, Refusal> {
        self.wait_for(self.inner.config.patience, answer).await
    }

    async fn wait_for<T>(&self, span: Duration, answer: Answer<T>) -> Result<T, Refusal> {
        match timeout(span, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Refusal::of(Code::NoQuorum)),
            Err(_) => Err(Refusal::of(Code::NoQuorum)),
        }
    }

    /// Carries out what the core wants, whenever it may want something. All
    /// that happened since the last time is settled together.
    async fn settle_always(self) {
        loop {
            self.inner.wake.notified().await;
            self.inner.core.borrow_mut().settle(clock::mono());
        }
    }

    async fn tick_always(self) {
        let pause = self.inner.config.quorum.heartbeat_interval() / 4;
        loop {
            sleep(pause).await;
            self.with(|core| core.tick(clock::mono()));
        }
    }
}

/// Draws from the operating system: two disks must never be given the same.
fn draw_identity() -> Result<Id, Refusal> {
    let drawn = getrandom::u64();
    drawn.map(Id).map_err(|e| {
        let message = format!("can't draw an identity: {e}");
        Refusal::new(Code::StorageFailed, message)
    })
}

fn open_folder(path: &Path) -> Result<Folder, Refusal> {
    Folder::lock(path).map_err(|e| {
        let message = format!("can't open the data folder {}: {e}", path.display());
        Refusal::new(Code::StorageFailed, message)
    })
}
