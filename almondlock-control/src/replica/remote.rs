//! A replica as seen from other threads, such as the operators' listener.

use std::future::Future;

use almondlock_base::{
    Code,
    id::{Host, Upstream},
    unit::Revision,
};
use almondlock_quorum::member::Id;
use almondlock_state::{
    command::{Command, Reply},
    instance::Instance,
    machine::Machine,
};
use tokio::sync::{mpsc, oneshot};

use super::{Replica, instances::Taken, refusal::Refusal, status::Status};

/// Requests that wait; more wait with their callers.
const QUEUE: usize = 256;

type Asker<T> = oneshot::Sender<T>;
/// Looks at the state. Boxed, since it crosses threads; operators' calls and
/// heartbeats only, never callers' requests.
type Look = Box<dyn FnOnce(&Machine) + Send>;

enum Request {
    Propose(Box<Command>, Asker<Result<Reply, Refusal>>),
    Read(Look, Asker<Result<(), Refusal>>),
    Look(Look),
    Status(Asker<Status>),
    Beat(Upstream, u64, Instance, Asker<Result<Taken, Refusal>>),
    Withdraw(Upstream, Asker<Result<Revision, Refusal>>),
    Add(Host, Asker<Result<Id, Refusal>>),
    Promote(Id, Asker<Result<(), Refusal>>),
    Remove(Id, Asker<Result<(), Refusal>>),
    Replace(Id, Host, Asker<Result<Id, Refusal>>),
}

/// A handle that may be sent to other threads.
#[derive(Clone, Debug)]
pub struct Remote {
    requests: mpsc::Sender<Request>,
}

impl Remote {
    /// As [`Replica::propose`].
    pub async fn propose(&self, command: Command) -> Result<Reply, Refusal> {
        self.ask(|asker| Request::Propose(Box::new(command), asker))
            .await?
    }

    /// Looks at the state once it holds all that was accepted before the call.
    pub async fn read<T, F>(&self, look: F) -> Result<T, Refusal>
    where
        T: Send + 'static,
        F: FnOnce(&Machine) -> T + Send + 'static,
    {
        let (found, result) = oneshot::channel();
        let look: Look = Box::new(move |state| drop(found.send(look(state))));
        self.ask(|asker| Request::Read(look, asker)).await??;
        result.await.map_err(|_| stopped())
    }

    /// Looks at the state as applied here, which may be old.
    pub async fn look<T, F>(&self, look: F) -> Result<T, Refusal>
    where
        T: Send + 'static,
        F: FnOnce(&Machine) -> T + Send + 'static,
    {
        self.ask(|asker| Request::Look(Box::new(move |state| drop(asker.send(look(state))))))
            .await
    }

    /// As [`Replica::status`].
    pub async fn status(&self) -> Result<Status, Refusal> {
        self.ask(Request::Status).await
    }

    /// As [`Replica::beat`].
    pub async fn beat(
        &self,
        upstream: Upstream,
        sequence: u64,
        instance: Instance,
    ) -> Result<Taken, Refusal> {
        self.ask(|asker| Request::Beat(upstream, sequence, instance, asker))
            .await?
    }

    /// As [`Replica::withdraw`].
    pub async fn withdraw(&self, upstream: Upstream) -> Result<Revision, Refusal> {
        self.ask(|asker| Request::Withdraw(upstream, asker)).await?
    }

    /// As [`Replica::add`].
    pub async fn add(&self, name: Host) -> Result<Id, Refusal> {
        self.ask(|asker| Request::Add(name, asker)).await?
    }

    /// As [`Replica::promote`].
    pub async fn promote(&self, id: Id) -> Result<(), Refusal> {
        self.ask(|asker| Request::Promote(id, asker)).await?
    }

    /// As [`Replica::remove`].
    pub async fn remove(&self, id: Id) -> Result<(), Refusal> {
        self.ask(|asker| Request::Remove(id, asker)).await?
    }

    /// As [`Replica::replace`].
    pub async fn replace(&self, old: Id, new: Host) -> Result<Id, Refusal> {
        self.ask(|asker| Request::Replace(old, new, asker)).await?
    }

    async fn ask<T, F>(&self, request: F) -> Result<T, Refusal>
    where
        F: FnOnce(Asker<T>) -> Request,
    {
        let (asker, answer) = oneshot::channel();
        let sent = self.requests.send(request(asker)).await;
        sent.map_err(|_| stopped())?;
        answer.await.map_err(|_| stopped())
    }
}

fn stopped() -> Refusal {
    Refusal::new(Code::StorageFailed, "the replica has stopped")
}

/// A handle, and the task that serves it.
pub(super) fn pair(replica: Replica) -> (Remote, impl Future<Output = ()>) {
    let (requests, mut inbox) = mpsc::channel(QUEUE);
    let task = async move {
        while let Some(request) = inbox.recv().await {
            let serving = serve(replica.clone(), request);
            replica.owner().spawn_part("replica-request", serving);
        }
    };
    (Remote { requests }, task)
}

async fn serve(replica: Replica, request: Request) {
    // Whoever asked may have left.
    match request {
        Request::Propose(command, asker) => drop(asker.send(replica.propose(*command).await)),
        Request::Read(look, asker) => {
            let result = replica.read().await;
            if result.is_ok() {
                replica.state(look);
            }
            drop(asker.send(result));
        }
        Request::Look(look) => replica.state(look),
        Request::Status(asker) => drop(asker.send(replica.status())),
        Request::Beat(upstream, sequence, instance, asker) => {
            drop(asker.send(replica.beat(upstream, sequence, instance).await));
        }
        Request::Withdraw(upstream, asker) => drop(asker.send(replica.withdraw(upstream).await)),
        Request::Add(name, asker) => drop(asker.send(replica.add(&name).await)),
        Request::Promote(id, asker) => drop(asker.send(replica.promote(id).await)),
        Request::Remove(id, asker) => drop(asker.send(replica.remove(id).await)),
        Request::Replace(old, new, asker) => drop(asker.send(replica.replace(old, &new).await)),
    }
}
