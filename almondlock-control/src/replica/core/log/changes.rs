//! Lines on changes of the members: what was known when one was asked for, or why it isn't
//! made yet.

use almondlock_base::time::Mono;
use almondlock_quorum::member::{Change, Id};

use super::{super::Core, ballots::millis, name::List};
use crate::replica::refusal::Refusal;

impl Core {
    /// Takes note of a change that this leader was asked for.
    pub(in crate::replica::core) fn note_change(
        &mut self,
        change: &Change,
        refusal: Option<&Refusal>,
    ) {
        self.logged.change = Some((change.clone(), refusal.cloned()));
    }

    pub(super) fn log_change(&mut self, now: Mono) {
        let Some((change, refusal)) = self.logged.change.take() else {
            return;
        };
        let (kind, id) = match &change {
            Change::Add(member) => ("add", member.id),
            Change::Promote(id) => ("promote", *id),
            Change::Remove(id) => ("remove", *id),
        };
        let reason = refusal.map(|refusal| refusal.message);
        if let Some(reason) = &reason
            && !self.logged.refused.is_news(now, (change, reason.clone()))
        {
            return;
        }
        let member = self.name(id);
        let (silent_ms, lacks) = (self.unheard_ms(now, id), self.lacks(id));
        let members = self.machine.members().iter();
        let others = members.filter(|other| other.id != self.own.id && other.id != id);
        let others = List(others.map(|other| self.describe(now, other.id)).collect());
        let led_ms = millis(now.since(self.machine.leader_since()));
        let (term, last) = (self.machine.term().0, self.machine.last_index().0);
        match reason {
            None => {
                tracing::info!(
                    kind, %member, silent_ms, lacks, %others, led_ms, term, last,
                    "changes the members"
                );
            }
            Some(reason) => {
                tracing::info!(
                    kind, %member, reason, silent_ms, lacks, %others, led_ms, term, last,
                    "members not changed yet"
                );
            }
        }
    }

    /// A member, for how long it has not been heard, and how many entries it lacks.
    fn describe(&self, now: Mono, id: Id) -> String {
        let kind = match self.machine.members().is_voter(id) {
            true => "voter",
            false => "learner",
        };
        let (silent_ms, lacks) = (self.unheard_ms(now, id), self.lacks(id));
        format!(
            "{} {kind} silent_ms={silent_ms} lacks={lacks}",
            self.name(id)
        )
    }

    /// For how long another member has not been heard, or since this replica leads.
    fn unheard_ms(&self, now: Mono, id: Id) -> u64 {
        let heard = self.machine.last_heard(id);
        millis(now.since(heard.unwrap_or(self.machine.leader_since())))
    }

    /// How many entries another member lacks, of all that the log holds here.
    fn lacks(&self, id: Id) -> u64 {
        let matched = self.machine.matched(id).unwrap_or_default();
        self.machine.last_index().0.saturating_sub(matched.0)
    }
}
