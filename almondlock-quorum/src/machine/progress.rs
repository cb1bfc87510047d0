//! The leader's view of how far another replica's log agrees with its own.

use std::{collections::VecDeque, sync::Arc};

use almondlock_base::time::Mono;

use crate::entry::{Index, Snapshot};

/// The replication state of one other replica.
#[derive(Debug)]
pub(super) struct Progress {
    /// The last index up to which the replica's synced log agrees with the leader's.
    pub(super) matched: Index,
    /// The index of the next entry to send. Invariant: `next > matched`.
    pub(super) next: Index,
    pub(super) mode: Mode,
    /// The newest heartbeat round that the replica answered.
    pub(super) round: u64,
    // The round in which the replica was found to have lost entries. Replies of earlier rounds
    // are ignored.
    valid_from: u64,
    /// The time at which the replica was last heard in this term.
    pub(super) heard: Option<Mono>,
    /// The time at which the replica was last heard and held all entries or more than before.
    pub(super) advanced: Option<Mono>,
}

/// How the leader sends its log to the replica.
#[derive(Debug)]
pub(super) enum Mode {
    /// The leader looks for the index where the logs diverge, with one append at a time. After
    /// the replica refused entries that it had acknowledged, `asked` is the round in which it
    /// is asked whether it still holds `matched`.
    Probe { waiting: bool, asked: Option<u64> },
    /// Appends are sent without waiting for replies. `in_flight` has the last index of each append
    /// that has not been answered.
    Pipeline { in_flight: VecDeque<Index> },
    /// The replica needs entries that the leader has dropped, and is sent a snapshot.
    Snapshot {
        snapshot: Arc<Snapshot>,
        offset: u64,
        sent: Mono,
    },
}

/// What the leader concludes from a refused append.
#[derive(Debug)]
pub(super) enum Refusal {
    /// Nothing, since the refusal answers an older append or a snapshot is being sent.
    Stale,
    /// The logs diverge, and the leader continues at the hinted index.
    Diverged,
    /// The replica may have lost entries that it acknowledged, and must be asked in a new round.
    Unverified,
    /// The replica has lost entries that it acknowledged.
    Lost,
}

impl Progress {
    pub(super) fn new(next: Index) -> Progress {
        Progress {
            matched: Index::ZERO,
            next,
            mode: Mode::probe(),
            round: 0,
            valid_from: 0,
            heard: None,
            advanced: None,
        }
    }

    pub(super) fn probe(&mut self, next: Index) {
        self.next = next.max(self.matched.next());
        self.mode = Mode::probe();
    }

    /// Handles a reply to an append of this round: the logs agree up to `index`. Returns whether
    /// more appends may be sent.
    pub(super) fn on_matched(&mut self, index: Index, round: u64) -> bool {
        if self.is_stale(round) {
            return false;
        }
        self.matched = self.matched.max(index);
        match &mut self.mode {
            // A reply to an older append says nothing about the probe.
            Mode::Probe { .. } if index < self.next.previous() => return false,
            Mode::Probe { .. } => {
                self.mode = Mode::Pipeline {
                    in_flight: VecDeque::new(),
                };
            }
            Mode::Pipeline { in_flight } => {
                while in_flight.pop_front_if(|at| *at <= index).is_some() {}
            }
            Mode::Snapshot { snapshot, .. } if self.matched < snapshot.index => return false,
            Mode::Snapshot { .. } => self.mode = Mode::probe(),
        }
        self.next = self.next.max(self.matched.next());
        true
    }

    /// Handles the refusal of an append of this round. The logs can't agree after `hint`.
    ///
    /// A hint below `matched` may come from a late refusal, or may skip entries that do agree,
    /// since it skips a whole term. Therefore the next append names the entry at `matched`, in
    /// a new round. A replica that refuses an append of that round has lost that entry.
    pub(super) fn on_refused(&mut self, hint: Index, round: u64) -> Refusal {
        if self.is_stale(round) {
            return Refusal::Stale;
        }
        let asked = match self.mode {
            Mode::Snapshot { .. } => return Refusal::Stale,
            Mode::Pipeline { .. } => None,
            Mode::Probe { asked, .. } => asked,
        };
        if hint >= self.matched {
            self.probe(hint.next().min(self.next));
            return Refusal::Diverged;
        }
        match asked {
            None => Refusal::Unverified,
            Some(asked) if round >= asked => Refusal::Lost,
            Some(_) => Refusal::Stale,
        }
    }

    /// Makes the next append ask whether the replica still holds the entry at `matched`. `round`
    /// must be new.
    pub(super) fn verify_matched(&mut self, round: u64) {
        self.next = self.matched.next();
        self.mode = Mode::Probe {
            waiting: false,
            asked: Some(round),
        };
    }

    /// Discards what the replica acknowledged before `round`, which must be new. The replica lost
    /// entries and holds none after `hint`.
    pub(super) fn reset_matched(&mut self, hint: Index, round: u64) {
        self.matched = Index::ZERO;
        self.valid_from = round;
        self.probe(hint.next().min(self.next));
    }

    // Replies to pieces of a snapshot carry no round.
    fn is_stale(&self, round: u64) -> bool {
        let piece = round == 0 && matches!(self.mode, Mode::Snapshot { .. });
        round < self.valid_from && !piece
    }
}

impl Mode {
    fn probe() -> Mode {
        Mode::Probe {
            waiting: false,
            asked: None,
        }
    }
}
