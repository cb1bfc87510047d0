//! Handing orders on to the upstream.
//!
//! Orders come with the configuration. Only the life of the sidecar that an
//! order names hands it on, and only until the time it names: an engine that
//! doesn't check fencing numbers would act on a delayed one and unload what a
//! later order loaded. An order that was handed on is not handed on again.

use std::cell::Cell;

use almondlock_base::{
    id::{Incarnation, Upstream},
    time::Wall,
};
use almondlock_state::{
    config::{Config, Order},
    order,
};

/// Which orders were handed on.
#[derive(Debug, Default)]
pub struct Forwarder {
    // The highest fencing number handed on in this life.
    highest_fence: Cell<u64>,
}

impl Forwarder {
    /// The order that is to be handed on now, if any.
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

    /// Notes that an order was handed on, or refused as old.
    pub fn mark_forwarded(&self, order: &Order) {
        self.highest_fence
            .set(self.highest_fence.get().max(order.fence));
    }
}
