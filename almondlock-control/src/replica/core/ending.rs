//! How the replica leaves the group when it is told to stop.

use almondlock_base::time::Mono;

use super::Core;
use crate::replica::departure::Sight;

/// A stop that has begun.
pub(super) struct Stop {
    /// When it began.
    since: Mono,
    /// It stays until it is out of the group. Invariant: once set it stays so.
    pub(super) stays: bool,
    /// A leader said that this replica is no member.
    pub(super) is_removed: bool,
    /// When it last handed leadership over.
    handed_over: Option<Mono>,
}

impl Core {
    /// Says that this replica stops, and hands leadership over if it has it.
    pub(in crate::replica) fn leave(&mut self, now: Mono) {
        self.stopping.get_or_insert(Stop {
            since: now,
            stays: false,
            is_removed: false,
            handed_over: None,
        });
        self.prepare_end(now);
        self.greet_all();
    }

    /// Goes on with a stop, if one has begun: the replica stays if it may be exchanged, and hands
    /// leadership over if it has it.
    ///
    /// **Failure.** All replicas are told to stop at once. Each one that is handed the leadership
    /// would hand it on at once, and they would hold hundreds of elections a second. So a replica
    /// does that once, and while it stays once an election timeout.
    pub(super) fn prepare_end(&mut self, now: Mono) {
        if self.stopping.is_none() {
            return;
        }
        let stays = self.repairs && self.departure().may_be_exchanged();
        if let Some(stop) = &mut self.stopping
            && stays
            && !stop.stays
        {
            stop.stays = true;
            tracing::info!("stays until the group has agreed to go on without this replica");
        }
        if !self.is_leader() || self.machine.successor().is_some() {
            return;
        }
        let pause = self.quorum.election_timeout();
        if let Some(stop) = &mut self.stopping
            && stop
                .handed_over
                .is_none_or(|at| stop.stays && now.since(at) >= pause)
        {
            stop.handed_over = Some(now);
            self.hand_over(now);
        }
    }

    /// Whether the replica may end: the group has agreed to go on without it, or has no need to,
    /// or its time is over.
    pub(in crate::replica) fn may_end(&self, now: Mono) -> bool {
        let Some(stop) = &self.stopping else {
            return true;
        };
        let departure = self.departure();
        if self.stopped.is_some() || departure.may_end(stop.stays) {
            return true;
        }
        let bound = match stop.stays {
            true => self.stop_time,
            false => self.quorum.election_timeout(),
        };
        let is_over = now.since(stop.since) >= bound;
        if is_over && stop.stays {
            self.log_unfinished_end(bound);
        }
        is_over
    }

    fn departure(&self) -> Sight<'_> {
        Sight {
            own: self.own.id,
            members: self.machine.members(),
            is_accepted: self.machine.has_committed_members(),
            leads: self.is_leader(),
            is_removed: self.stopping.as_ref().is_some_and(|stop| stop.is_removed),
        }
    }
}
