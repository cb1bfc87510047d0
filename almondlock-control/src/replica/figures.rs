//! How a replica stands, as figures.

use almondlock_quorum::machine::{Ballot, Role};
use almondlock_telemetry::figures::Figures;

use super::status::{Peer, Status};

impl Status {
    /// The figures as text, a line each. What only a leader knows, or only a replica without
    /// one, has no line elsewhere.
    pub fn figures(&self) -> String {
        let figures = Figures::default();
        self.put_group(&figures);
        self.put_log(&figures);
        if self.role == Role::Leader {
            self.put_others(&figures);
        }
        if let Some(ballot) = &self.failed {
            self.put_ballot(&figures, ballot);
        }
        figures.text()
    }

    fn put_group(&self, figures: &Figures) {
        let voters = self.members.iter().filter(|peer| peer.voter);
        let own = voters.clone().any(|peer| peer.id == self.id);
        let voters = voters.count();
        put(figures, "members", "voters", voters);
        put(figures, "members", "learners", self.members.len() - voters);
        put(figures, "members", "waiting", self.waiting.len());
        put(figures, "vote", "own", own);
        put(figures, "leader", "known", self.leader.is_some());
        put(figures, "leader", "own", self.role == Role::Leader);
        put(figures, "replica", "stopped", self.stopped.is_some());
        let counts = self.counts;
        figures.add("changes", "elections", counts.elections);
        figures.add("changes", "leaders", counts.leaders);
        figures.add("changes", "members", counts.memberships);
    }

    fn put_log(&self, figures: &Figures) {
        put(figures, "log", "term", self.term.0);
        put(figures, "log", "commit", self.commit.0);
        put(figures, "log", "applied", self.applied.0);
        put(figures, "log", "last", self.last.0);
        figures.add("log", "syncs", self.syncs);
    }

    fn put_others(&self, figures: &Figures) {
        let is_silent = |peer: &&Peer| peer.voter && peer.silent.is_some();
        let silent = self.members.iter().filter(is_silent).count();
        put(figures, "members", "silent", silent);
        for peer in &self.members {
            let label = format!("member={}@{}", peer.id, peer.address);
            put(figures, "behind", &label, peer.lag.unwrap_or_default());
            let silent = peer.silent.unwrap_or_default();
            put(figures, "silent_ms", &label, silent.as_millis());
        }
    }

    fn put_ballot(&self, figures: &Figures, ballot: &Ballot) {
        put(figures, "votes", "needed", ballot.quorum);
        put(figures, "votes", "granted", ballot.granted.len());
        put(figures, "votes", "refused", ballot.refused.len());
        put(figures, "votes", "unanswered", ballot.unanswered.len());
        for peer in &self.members {
            let label = format!("voter={}@{}", peer.id, peer.address);
            if ballot.refused.contains_key(&peer.id) {
                put(figures, "refused", &label, true);
            }
            if ballot.unanswered.contains(&peer.id) {
                put(figures, "unanswered", &label, true);
            }
        }
    }
}

fn put<T>(figures: &Figures, name: &str, label: &str, level: T)
where
    T: TryInto<i64>,
{
    figures.set(name, label, level.try_into().unwrap_or(i64::MAX));
}
