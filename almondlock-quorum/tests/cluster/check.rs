//! The invariants that are checked after every step.

use std::{collections::BTreeMap, sync::Arc};

use almondlock_quorum::{
    entry::{Entry, Index, Payload, Term},
    machine::Machine,
    member::{Id, Members},
};

use super::{Node, State};

/// All entries that any replica ever committed, with the resulting states, and all leaders.
#[derive(Default)]
pub struct History {
    entries: BTreeMap<Index, Entry>,
    states: BTreeMap<Index, State>,
    leaders: BTreeMap<Term, Id>,
}

impl History {
    pub fn newest(&self) -> Index {
        self.entries.keys().next_back().copied().unwrap_or_default()
    }

    /// Returns the last committed members, if they ever changed.
    pub fn members(&self) -> Option<Arc<Members>> {
        let members = |entry: &Entry| match &entry.payload {
            Payload::Members(members) => Some(Arc::clone(members)),
            _ => None,
        };
        self.entries.values().rev().find_map(members)
    }

    pub fn register(&self) -> u64 {
        self.states.values().next_back().map_or(0, |s| s.register)
    }

    /// Checks election safety (one leader in each term) and leader completeness (a new leader holds
    /// all entries committed before).
    pub fn leader(&mut self, machine: &Machine) {
        if !machine.is_leader() {
            return;
        }
        let term = machine.term();
        let known = self.leaders.insert(term, machine.id());
        if let Some(known) = known {
            assert_eq!(known, machine.id(), "two leaders in term {term}");
            return;
        }
        for (index, entry) in self.entries.iter().rev().take(50) {
            let held = machine.term_at(*index);
            let covered = *index <= machine.snapshot().index;
            assert!(
                covered || held == Some(entry.term),
                "the leader of {term} lacks {index}"
            );
        }
    }

    /// Checks state-machine safety: all replicas apply the same entries.
    pub fn accepted(&mut self, entry: &Entry, state: State) {
        let known = self
            .entries
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        assert_eq!(known, entry, "two accepted entries at {}", entry.index);
        self.state(state);
    }

    pub fn state(&mut self, state: State) {
        let known = *self.states.entry(state.index).or_insert(state);
        assert_eq!(known, state, "two states after {}", state.index);
    }
}

/// Checks log matching: logs with the same term at an index agree before it.
pub fn logs(nodes: &[Node]) {
    let machines: Vec<&Machine> = nodes.iter().filter_map(|n| n.machine.as_ref()).collect();
    for (place, a) in machines.iter().enumerate() {
        for b in &machines[place + 1..] {
            pair(a, b);
        }
    }
}

fn pair(a: &Machine, b: &Machine) {
    let mut same = false;
    let mut index = a.last_index().min(b.last_index());
    let mut left = 20;
    while index > Index::ZERO && left > 0 {
        let (Some(x), Some(y)) = (a.term_at(index), b.term_at(index)) else {
            return;
        };
        assert!(!same || x == y, "logs differ before {index}");
        same = x == y;
        index = index.previous();
        left -= 1;
    }
}
