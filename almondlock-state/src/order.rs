//! Orders to upstreams, and why an old one can't do harm.
//!
//! An order (load this version) may be delayed on its way and arrive after a
//! later one. Engines that check fencing numbers refuse it then; the others
//! would act on it and unload what they just loaded. Four rules keep both safe:
//!
//! 1. Fencing numbers come from the replicated state, so that a new leader
//!    knows the highest one before it issues any.
//! 2. Each order names one life of one sidecar, which alone may hand it on.
//! 3. An order may be handed on only until a stated time.
//! 4. When the sidecar's life changes, the next order waits until the last one
//!    of the earlier life can no longer be handed on, unless the engine checks
//!    fencing numbers.
//!
//! A sidecar with a clock that is wrong by more than [`MARGIN`] breaks rule 3;
//! for an engine that doesn't check, that is not defended against.

use std::{collections::BTreeMap, time::Duration};

use almondlock_base::{
    id::{Incarnation, Model, Upstream, Version},
    time::Wall,
};
use serde::{Deserialize, Serialize};

use crate::config::{Order, Registration};

/// How long an order may be handed on.
pub const LIFETIME: Duration = Duration::from_secs(600);

/// What two hosts' clocks may differ by, and what an order may be on its way
/// from sidecar to engine.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(10);

/// The last order to each upstream.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    last: BTreeMap<Upstream, Last>,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Last {
    /// Invariant: the highest fencing number ever given to this upstream.
    fence: u64,
    issuer: Incarnation,
    until: Wall,
}

impl Table {
    /// From when on the upstream, as registered, may be given a new order.
    pub fn ready_at(&self, name: &Upstream, registration: &Registration) -> Wall {
        match self.last.get(name) {
            Some(last) if !registration.fenced && last.issuer != registration.incarnation => {
                last.until + CLOCK_MARGIN
            }
            _ => Wall::default(),
        }
    }

    /// Makes the next order, unless the upstream isn't ready for one.
    pub fn issue(
        &mut self,
        name: &Upstream,
        registration: &Registration,
        (model, version): (&Model, &Version),
        now: Wall,
    ) -> Option<Order> {
        if now < self.ready_at(name, registration) {
            return None;
        }
        let fence = self.last.get(name).map_or(1, |last| last.fence + 1);
        let (issuer, until) = (registration.incarnation, now + LIFETIME);
        self.last.insert(
            name.clone(),
            Last {
                fence,
                issuer,
                until,
            },
        );
        let (model, version) = (model.clone(), version.clone());
        Some(Order {
            fence,
            issuer,
            model,
            version,
            until,
        })
    }

    /// Forgets upstreams that are gone for good, long after their last order.
    pub fn expire<F>(&mut self, known: F, now: Wall)
    where
        F: Fn(&Upstream) -> bool,
    {
        let kept = crate::limit::INCARNATION_RETENTION;
        self.last
            .retain(|name, last| known(name) || now.since(last.until) < kept);
    }
}

/// Whether a sidecar's life may hand an order to its upstream now.
pub fn may_forward(order: &Order, life: Incarnation, now: Wall) -> bool {
    order.issuer == life && now < order.until
}
