//! What a leader knows of one other replica.

use std::{collections::VecDeque, sync::Arc};

use almondlock_base::time::Mono;

use crate::entry::{Index, Snapshot};

#[derive(Debug)]
pub(super) struct Progress {
    /// Everything up to here is synced there and agrees with this log.
    pub(super) matched: Index,
    /// The next entry to send. Invariant: `next > matched`.
    pub(super) next: Index,
    pub(super) mode: Mode,
    /// The newest round of heartbeats that it answered.
    pub(super) round: u64,
    // Answers to appends of earlier rounds don't say what it holds: it lost entries since.
    valid_from: u64,
    /// When it was last heard in this term.
    pub(super) heard: Option<Mono>,
    /// When it was last heard and held all entries, or more than before.
    pub(super) advanced: Option<Mono>,
}

#[derive(Debug)]
pub(super) enum Mode {
    /// Where the logs part is not known: one append at a time. Once it refused what it had
    /// acknowledged, with the round in which it was asked whether it still holds `matched`.
    Probe { waiting: bool, asked: Option<u64> },
    /// Appends follow each other without waiting; the last index of each that
    /// has not been answered.
    Pipeline { in_flight: VecDeque<Index> },
    /// It needs entries that are gone.
    Snapshot {
        snapshot: Arc<Snapshot>,
        offset: u64,
        sent: Mono,
    },
}

/// What a refused append tells the leader.
#[derive(Debug)]
pub(super) enum Refusal {
    /// Nothing: it answers an older append, or a snapshot is on its way.
    Stale,
    /// Where to go on.
    Diverged,
    /// It may not hold what it acknowledged. It is to be asked in a new round.
    Unverified,
    /// It doesn't hold what it acknowledged.
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

    /// It agrees up to `index`, in answer to an append of this round. Returns whether more may be
    /// sent.
    pub(super) fn on_matched(&mut self, index: Index, round: u64) -> bool {
        if self.is_stale(round) {
            return false;
        }
        self.matched = self.matched.max(index);
        match &mut self.mode {
            // An answer to an older append says nothing about the probe.
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

    /// It refused an append of this round; nothing after `hint` can agree.
    ///
    /// A refusal below what it acknowledged may be late, or its hint passed over entries that do
    /// agree, since it passes over a whole term. Then the next append names the last entry that
    /// it acknowledged, in a new round: who refuses one of that round doesn't hold that entry.
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

    /// Asks in this round, which must be new, whether it holds what it acknowledged.
    pub(super) fn verify_matched(&mut self, round: u64) {
        self.next = self.matched.next();
        self.mode = Mode::Probe {
            waiting: false,
            asked: Some(round),
        };
    }

    /// It holds nothing after `hint` any more. What it acknowledged before this round, which must
    /// be new, doesn't count.
    pub(super) fn reset_matched(&mut self, hint: Index, round: u64) {
        self.matched = Index::ZERO;
        self.valid_from = round;
        self.probe(hint.next().min(self.next));
    }

    // Answers to pieces of a snapshot name no round.
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
