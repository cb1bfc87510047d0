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
    /// When it was last heard in this term.
    pub(super) heard: Option<Mono>,
}

#[derive(Debug)]
pub(super) enum Mode {
    /// Where the logs part is not known: one append at a time.
    Probe { waiting: bool },
    /// Appends follow each other without waiting; the last index of each that
    /// has not been answered.
    Pipeline { flying: VecDeque<Index> },
    /// It needs entries that are gone.
    Snapshot {
        snapshot: Arc<Snapshot>,
        offset: u64,
        sent: Mono,
    },
}

impl Progress {
    pub(super) fn new(next: Index) -> Progress {
        Progress {
            matched: Index::ZERO,
            next,
            mode: Mode::Probe { waiting: false },
            round: 0,
            heard: None,
        }
    }

    pub(super) fn probe(&mut self, next: Index) {
        self.next = next.max(self.matched.next());
        self.mode = Mode::Probe { waiting: false };
    }

    /// It agrees up to `index`. Returns whether more may be sent.
    pub(super) fn on_matched(&mut self, index: Index) -> bool {
        self.matched = self.matched.max(index);
        match &mut self.mode {
            // An answer to an older append says nothing about the probe.
            Mode::Probe { .. } if index < self.next.previous() => return false,
            Mode::Probe { .. } => {
                self.mode = Mode::Pipeline {
                    flying: VecDeque::new(),
                };
            }
            Mode::Pipeline { flying } => while flying.pop_front_if(|at| *at <= index).is_some() {},
            Mode::Snapshot { snapshot, .. } if self.matched < snapshot.index => return false,
            Mode::Snapshot { .. } => self.mode = Mode::Probe { waiting: false },
        }
        self.next = self.next.max(self.matched.next());
        true
    }

    /// It disagrees; nothing after `hint` can agree. Returns whether that was news.
    pub(super) fn on_refused(&mut self, hint: Index) -> bool {
        let stale = hint < self.matched || matches!(self.mode, Mode::Snapshot { .. });
        if !stale {
            self.probe(hint.next().min(self.next));
        }
        !stale
    }
}
