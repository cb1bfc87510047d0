//! Load orders to upstreams, with fencing against delayed ones.
//!
//! An order to load a version may be delayed and arrive after a later one. Engines that
//! check fencing numbers refuse it then; the others would carry it out and unload the newer
//! version. Four rules protect both:
//!
//! 1. Fencing numbers come from the replicated state, so that a new leader knows the
//!    highest one before it issues an order.
//! 2. Each order names one incarnation of one sidecar, which alone may forward it.
//! 3. An order may be forwarded only until its expiry.
//! 4. After a restart of the sidecar, the next order waits until the last one of the
//!    earlier incarnation can no longer be forwarded, unless the engine checks fencing
//!    numbers.
//!
//! A sidecar whose clock is wrong by more than [`CLOCK_MARGIN`] breaks rule 3. Engines that
//! don't check fencing numbers are not protected against that.

use std::{collections::BTreeMap, time::Duration};

use almondlock_base::{
    id::{Incarnation, Model, Upstream, Version},
    time::Wall,
};
use serde::{Deserialize, Serialize};

use crate::config::{Order, Registration};

/// Time for which an order may be forwarded.
pub const LIFETIME: Duration = Duration::from_secs(600);

/// Allowance for the difference of two hosts' clocks, and for the time that an order takes
/// from the sidecar to the engine.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(10);

/// The last order to each upstream.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    last: BTreeMap<Upstream, LastOrder>,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct LastOrder {
    /// Invariant: the highest fencing number issued for this upstream.
    fence: u64,
    issuer: Incarnation,
    until: Wall,
}

impl Table {
    /// Returns the time from which a new order may be issued to the upstream.
    pub fn ready_at(&self, name: &Upstream, registration: &Registration) -> Wall {
        match self.last.get(name) {
            Some(last) if !registration.fenced && last.issuer != registration.incarnation => {
                last.until + CLOCK_MARGIN
            }
            _ => Wall::default(),
        }
    }

    /// Issues the next order, or returns `None` if it is too early for one.
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
            LastOrder {
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

    /// Removes the last orders of unknown upstreams after
    /// [`limit::INCARNATION_RETENTION`](crate::limit::INCARNATION_RETENTION).
    pub fn expire<F>(&mut self, known: F, now: Wall)
    where
        F: Fn(&Upstream) -> bool,
    {
        let kept = crate::limit::INCARNATION_RETENTION;
        self.last
            .retain(|name, last| known(name) || now.since(last.until) < kept);
    }
}

/// Returns whether an incarnation of a sidecar may forward an order to its upstream now.
pub fn may_forward(order: &Order, incarnation: Incarnation, now: Wall) -> bool {
    order.issuer == incarnation && now < order.until
}
