//! What the log tells of elections.

use super::Core;

impl Core {
    /// Logs each candidacy of this replica once.
    pub(super) fn log_candidacy(&mut self) {
        let term = self.machine.term();
        let Some(cause) = self.machine.candidacy() else {
            return;
        };
        if term > self.logged_candidacy {
            self.logged_candidacy = term;
            let last = self.machine.last().0;
            tracing::info!(term = term.0, ?cause, last, "stands for election");
        }
    }

    /// Logs the leader when it has changed.
    pub(super) fn log_leader(&mut self) {
        let leader = self.machine.leader();
        if leader == self.logged_leader {
            return;
        }
        self.logged_leader = leader;
        let leader = leader.map_or_else(|| "none".to_owned(), |id| id.to_string());
        let (term, commit) = (self.machine.term().0, self.machine.commit().0);
        let leads = self.machine.is_leader();
        tracing::info!(%leader, term, commit, leads, "leader changed");
    }
}
