//! Decides whether an order to load a model is forwarded to the upstream.
//!
//! Orders arrive with the configuration. An order names one incarnation of the
//! sidecar and a time; only that incarnation forwards it, and only until that
//! time. An engine that doesn't check fencing numbers would otherwise act on a
//! delayed order and unload what a later order loaded. An order is forwarded
//! once.

use std::cell::Cell;

use almondlock_base::{
    id::{Incarnation, Upstream},
    time::Wall,
};
use almondlock_state::{
    config::{Config, Order},
    order,
};

/// Remembers which orders were forwarded.
#[derive(Debug, Default)]
pub struct Forwarder {
    // Highest fencing number forwarded in this incarnation.
    highest_fence: Cell<u64>,
}

impl Forwarder {
    /// Returns the order to forward now, if any.
    pub fn due_order(
        &self,
        config: &Config,
        upstream: &Upstream,
        own: Incarnation,
        now: Wall,
    ) -> Option<Order> {
        let order = config.orders.get(upstream)?;
        let loaded = config.upstreams.get(upstream);
        let loaded = loaded.and_then(|registered| registered.model.as_ref());
        let done = loaded.is_some_and(|(m, v)| *m == order.model && *v == order.version);
        let fresh = order.fence > self.highest_fence.get();
        let due = !done && fresh && order::may_forward(order, own, now);
        due.then(|| order.clone())
    }

    /// Records that an order was forwarded, or that the upstream refused it.
    pub fn mark_forwarded(&self, order: &Order) {
        self.highest_fence
            .set(self.highest_fence.get().max(order.fence));
    }
}
