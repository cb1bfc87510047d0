//! A simulated network that drops, duplicates, delays and reorders messages.

use std::collections::{BTreeMap, BTreeSet};

use almondlock_quorum::{
    member::Id,
    message::{Envelope, Message},
};
use rand::{Rng, rngs::SmallRng};

use super::Faults;

#[derive(Default)]
pub struct Network {
    in_flight: BTreeMap<(u64, u64), (Id, Id, Message)>,
    count: u64,
    /// Pairs (from, to) between which all messages are dropped silently.
    pub cut: BTreeSet<(Id, Id)>,
}

impl Network {
    pub fn send(
        &mut self,
        now: u64,
        from: Id,
        envelope: Envelope,
        faults: &Faults,
        rng: &mut SmallRng,
    ) {
        if self.cut.contains(&(from, envelope.to)) || rng.random_bool(faults.drop) {
            return;
        }
        let copies = if rng.random_bool(faults.double) { 2 } else { 1 };
        for _ in 0..copies {
            self.count += 1;
            let at = now + rng.random_range(0..=faults.delay);
            let message = envelope.message.clone();
            self.in_flight
                .insert((at, self.count), (from, envelope.to, message));
        }
    }

    pub fn due(&mut self, now: u64) -> Vec<(Id, Id, Message)> {
        let later = self.in_flight.split_off(&(now + 1, 0));
        std::mem::replace(&mut self.in_flight, later)
            .into_values()
            .collect()
    }

    /// Cuts one replica off from the others in both directions.
    pub fn isolate<I>(&mut self, one: Id, others: I)
    where
        I: IntoIterator<Item = Id>,
    {
        for other in others.into_iter().filter(|id| *id != one) {
            self.cut.insert((one, other));
            self.cut.insert((other, one));
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }
}
