//! What a leader does by itself: it confirms that it still leads, so that its
//! view counts as current; forgets what has been kept long enough; and forgets
//! upstreams that stopped announcing themselves.

use std::{collections::HashMap, time::Duration};

use almondlock_base::{
    id::{Incarnation, Upstream},
    time::Mono,
};
use almondlock_node::clock;
use almondlock_state::{command::Command, limit};
use tokio::time::sleep;

use super::Replica;

/// How soon a replica notices that it has come to lead.
const NOTICE: Duration = Duration::from_millis(50);

/// When each upstream was last heard. Only a leader keeps it, in memory; a new
/// leader gives all of them a whole lease from its election on, so that a
/// change of leader forgets nobody.
#[derive(Debug, Default)]
pub(super) struct Leases {
    heard: HashMap<Upstream, (Incarnation, Mono)>,
}

impl Leases {
    /// An upstream announced itself.
    pub(super) fn renew(&mut self, now: Mono, name: &Upstream, life: Incarnation) {
        self.heard.insert(name.clone(), (life, now));
    }

    /// The registered upstreams that were not heard for a lease.
    pub(super) fn lapsed<I>(
        &mut self,
        now: Mono,
        lease: Duration,
        registered: I,
    ) -> Vec<(Upstream, Incarnation)>
    where
        I: IntoIterator<Item = (Upstream, Incarnation)>,
    {
        let registered: HashMap<Upstream, Incarnation> = registered.into_iter().collect();
        self.heard
            .retain(|name, (life, _)| registered.get(name) == Some(life));
        let mut lapsed = Vec::new();
        for (name, life) in registered {
            let entry = self.heard.entry(name.clone()).or_insert((life, now));
            if now.since(entry.1) >= lease {
                lapsed.push((name, life));
            }
        }
        lapsed
    }

    fn clear(&mut self) {
        self.heard.clear();
    }
}

pub(super) async fn run(replica: Replica) {
    let mut expired: Option<Mono> = None;
    let mut recorded: Option<Mono> = None;
    let pause = replica.inner.config.duty_pause;
    let mut led = false;
    loop {
        // What a new leader holds is confirmed as soon as it leads.
        sleep(if led { pause } else { pause.min(NOTICE) }).await;
        led = replica.inner.core.borrow().is_leader();
        if !led {
            replica.inner.leases.borrow_mut().clear();
            replica.inner.roster.borrow_mut().clear();
            replica.tell_taken();
            continue;
        }
        let now = clock::mono();
        if replica.read().await.is_ok() {
            replica.inner.core.borrow().vouch(now);
        }
        forget_upstreams(&replica, now).await;
        replica.withdraw_silent().await;
        if recorded.is_none_or(|at| now.since(at) >= limit::NUMBERS_INTERVAL) {
            recorded = Some(now);
            replica.record_numbers();
        }
        if replica.inner.config.repairs {
            replica.tell_sources().await;
        }
        if expired.is_none_or(|at| now.since(at) >= limit::SWEEP_INTERVAL) {
            expired = Some(now);
            let at = clock::wall();
            // Not in time, or no longer the leader: the next round does it.
            let _ = replica.propose(Command::Expire { at }).await;
        }
    }
}

/// Mends the membership, as long as the replica leads. A task of its own: other duties wait for
/// the log, one after the other, and a lost voter that still counts may not wait for them.
pub(super) async fn mend(replica: Replica) {
    loop {
        sleep(replica.inner.config.quorum.heartbeat_interval()).await;
        while replica.repair(clock::mono()).await {}
    }
}

async fn forget_upstreams(replica: &Replica, now: Mono) {
    let registered: Vec<(Upstream, Incarnation)> = replica.state(|state| {
        let upstreams = state.config().upstreams.iter();
        upstreams
            .map(|(name, known)| (name.clone(), known.incarnation))
            .collect()
    });
    let lease = replica.inner.config.lease;
    let lapsed = {
        let mut leases = replica.inner.leases.borrow_mut();
        leases.lapsed(now, lease, registered)
    };
    for (upstream, incarnation) in lapsed {
        let at = clock::wall();
        let command = Command::Forget {
            upstream,
            incarnation,
            at,
        };
        let _ = replica.propose(command).await;
    }
}
