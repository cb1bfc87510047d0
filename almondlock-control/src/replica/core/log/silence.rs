//! Lines of a leader on members that fall silent and are heard again.

use std::{mem, time::Duration};

use almondlock_base::time::Mono;
use almondlock_quorum::member::Id;

use super::{super::Core, ballots::millis, name::List};

/// What a leader's lines told of another member.
pub(super) struct Watch {
    // When it was last heard; before that, since when it has been a member under this leader.
    heard: Mono,
    // When it was last heard, once it counts as silent.
    silent: Option<Mono>,
}

impl Core {
    /// Logs each member that was not heard for an election timeout, once, and when it is heard
    /// again.
    pub(super) fn log_silence(&mut self, now: Mono) {
        if !self.is_leader() {
            return self.log_resigned(now);
        }
        let mut watched = mem::take(&mut self.logged.watched);
        let members = self.machine.members();
        watched.retain(|id, _| members.contains(*id));
        for member in members.iter().filter(|member| member.id != self.own.id) {
            let watch = watched.entry(member.id).or_insert(Watch {
                heard: now,
                silent: None,
            });
            self.log_member(now, member.id, watch);
        }
        self.logged.watched = watched;
    }

    /// Logs for how long each member was silent when this replica ceased to lead. One that
    /// steps down for lack of a quorum does so before the last loss counts as silence.
    fn log_resigned(&mut self, now: Mono) {
        let watched = mem::take(&mut self.logged.watched);
        if watched.is_empty() {
            return;
        }
        let others = watched.iter().map(|(id, watch)| {
            let silent_ms = millis(now.since(watch.heard));
            format!("{} silent_ms={silent_ms}", self.name(*id))
        });
        let others = List(others.collect());
        let quorum = self.machine.members().quorum();
        tracing::info!(%others, quorum, term = self.machine.term().0, "leads no more");
    }

    fn log_member(&self, now: Mono, id: Id, watch: &mut Watch) {
        let last = self.machine.last_heard(id).unwrap_or(watch.heard);
        watch.heard = last;
        let silent = now.since(last) >= self.quorum.election_timeout();
        let members = self.machine.members();
        let (member, votes) = (self.name(id), members.is_voter(id));
        match (watch.silent, silent) {
            (None, true) => {
                watch.silent = Some(last);
                let silent_ms = millis(now.since(last));
                let heard = |id: Id| id == self.own.id || self.is_heard(now, id);
                let answering = members.voters.keys().filter(|id| heard(**id)).count();
                let quorum = members.quorum();
                tracing::warn!(%member, votes, silent_ms, answering, quorum, "member silent");
            }
            (Some(from), false) => {
                watch.silent = None;
                let silent_ms = millis(last.since(from));
                tracing::info!(%member, votes, silent_ms, "member heard again");
            }
            _ => {}
        }
    }

    /// Of a leader: for how long a member has been silent, if it counts as that.
    pub(in crate::replica::core) fn silence(&self, now: Mono, id: Id) -> Option<Duration> {
        let watch = self.logged.watched.get(&id)?;
        let silent = watch.silent.filter(|_| self.is_leader());
        silent.map(|last| now.since(last))
    }

    fn is_heard(&self, now: Mono, id: Id) -> bool {
        let recent = |at: Mono| now.since(at) < self.quorum.election_timeout();
        self.machine.last_heard(id).is_some_and(recent)
    }
}
