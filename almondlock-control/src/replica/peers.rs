//! Messages to other replicas.
//!
//! One task for each address, with a bounded queue: what doesn't fit is
//! dropped, as the log allows. A link that answers nothing for a while is
//! dialled anew, because after a silent partition the old one would wait for
//! the kernel's slow resending long after the network is whole again.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use almondlock_quorum::{member::Id, message::Message};
use almondlock_state::instance::Heartbeat;
use almondlock_task::{Owner, Task};
use almondlock_transport::{Link, link::Dialer};
use almondlock_wire::almondlock_capnp::control;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

use super::{config::Config, founding::Greeting, wire};

/// Messages that wait for one replica.
const QUEUE: usize = 512;
/// Messages sent to one replica and not yet answered.
const FLYING: usize = 128;
/// How long connecting may take: several ways between regions, and less than
/// the second after which the kernel asks a silent host again.
const CONNECT: Duration = Duration::from_millis(300);
/// Pauses between attempts to connect.
const BACK_OFF: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(250),
];

/// What is sent to another replica.
#[derive(Clone, Debug)]
pub(super) enum Parcel {
    Message(Message),
    Greeting(Box<Greeting>),
    /// Heartbeats that a follower has taken. A replica of an earlier version sees the
    /// greeting only, which tells it nothing new.
    Heartbeats(Box<Greeting>, Vec<Heartbeat>),
}

/// Senders to all addresses that were ever sent to.
pub(super) struct Peers {
    group: u16,
    own: Id,
    silence: Duration,
    dialer: Dialer,
    owner: Owner,
    queues: HashMap<SocketAddr, (mpsc::Sender<Parcel>, Task)>,
}

impl Peers {
    pub(super) fn new(config: &Config, own: Id, silence: Duration) -> Peers {
        Peers {
            group: config.quorum.group(),
            own,
            silence,
            dialer: Dialer::new(config.security.clone()),
            owner: config.owner.clone(),
            queues: HashMap::new(),
        }
    }

    /// Sends, or drops when too much waits.
    pub(super) fn send(&mut self, to: SocketAddr, parcel: Parcel) {
        let sender = Sender {
            group: self.group,
            own: self.own,
            silence: self.silence,
            dialer: self.dialer.clone(),
            to,
        };
        let owner = &self.owner;
        let (queue, _) = self.queues.entry(to).or_insert_with(|| {
            let (queue, inbox) = mpsc::channel(QUEUE);
            (queue, owner.spawn("replica-sender", sender.run(inbox)))
        });
        // The log sends again what it still needs.
        let _ = queue.try_send(parcel);
    }

    pub(super) fn close(&mut self) {
        self.queues.drain().for_each(|(_, (_, task))| task.abort());
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.close();
    }
}

struct Sender {
    group: u16,
    own: Id,
    silence: Duration,
    dialer: Dialer,
    to: SocketAddr,
}

impl Sender {
    async fn run(self, mut inbox: mpsc::Receiver<Parcel>) {
        let mut failures = 0;
        loop {
            match timeout(self.silence.min(CONNECT), self.connect()).await {
                Ok(Ok((link, control))) => {
                    failures = 0;
                    self.serve(&control, &mut inbox).await;
                    drop(link);
                }
                Ok(Err(_)) | Err(_) => failures += 1,
            }
            if inbox.is_closed() && inbox.is_empty() {
                return;
            }
            sleep(BACK_OFF[failures.min(BACK_OFF.len() - 1)]).await;
            // What waited meanwhile is old; the log sends what is needed now.
            while inbox.try_recv().is_ok() {}
        }
    }

    async fn connect(&self) -> Result<(Link, control::Client), capnp::Error> {
        let link = self
            .dialer
            .dial(self.to)
            .await
            .map_err(|e| capnp::Error::disconnected(e.to_string()))?;
        let answer = link.node().control_request().send().promise.await?;
        let control = answer.get()?.get_control()?;
        Ok((link, control))
    }

    /// Sends until the link fails or falls silent.
    async fn serve(&self, control: &control::Client, inbox: &mut mpsc::Receiver<Parcel>) {
        let mut flying = FuturesUnordered::new();
        loop {
            tokio::select! {
                parcel = inbox.recv(), if flying.len() < FLYING => {
                    let Some(parcel) = parcel else { return };
                    let mut request = control.raft_request();
                    let mut params = request.get();
                    params.set_group(self.group);
                    params.set_from(self.own.0);
                    wire::write(&parcel, params.init_message());
                    flying.push(timeout(self.silence, request.send().promise));
                }
                Some(answer) = flying.next() => {
                    if !matches!(answer, Ok(Ok(_))) {
                        return;
                    }
                }
            }
        }
    }
}
