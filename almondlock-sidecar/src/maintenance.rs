//! What the sidecar does for its upstream beside the attempts: orders handed
//! on, memory freed and compared.

use almondlock_node::clock;
use almondlock_policy::ledger::Kind;

use crate::{
    protocol::{Failure, Protocol},
    sidecar::Inner,
};

impl<P> Inner<P>
where
    P: Protocol,
{
    /// Hands on the order that is due.
    pub(crate) async fn forward_due_order(&self) {
        let config = self.handle.view().get();
        let due = self
            .orders
            .due_order(&config, &self.upstream, self.incarnation, clock::wall());
        let Some(order) = due else {
            return;
        };
        let (model, version) = (order.model.as_str(), order.version.as_str());
        match self.protocol.load_model(model, version, order.fence).await {
            Ok(()) => {
                self.orders.mark_forwarded(&order);
                tracing::info!(upstream = %self.upstream, model, version, "ordered to load");
            }
            Err(failure @ Failure::Refused(..)) => {
                self.orders.mark_forwarded(&order);
                tracing::warn!(upstream = %self.upstream, %failure, "the order was refused");
            }
            Err(failure) => {
                tracing::warn!(upstream = %self.upstream, %failure, "the order is tried again");
            }
        }
    }

    /// Gives the orders to free that are due, and compares with the engine.
    pub(crate) async fn maintain_memory(&self) {
        for order in self.memory.take_free_orders(clock::mono()) {
            let asked = clock::mono();
            if self.protocol.cancel(&order.id).await {
                self.memory.confirm_free(&order.id, asked);
            }
            if order.kind == Kind::Reservation {
                self.drop_reservation(&order.id);
            }
        }
        if !self.memory.is_reconcile_due(clock::mono()) {
            return;
        }
        let held = self.memory.held_tokens();
        self.metrics.memory_held(self.upstream.as_str(), held);
        let asked = clock::mono();
        if let Some(list) = self.protocol.list_allocations().await {
            self.memory.reconcile(list, asked, clock::mono());
        }
    }

    /// A reservation's lease has ended: its room goes to the next.
    fn drop_reservation(&self, id: &str) {
        let now = clock::mono();
        let mut table = self.table.borrow_mut();
        table.release_by_engine_id(id, now);
        table.grant_waiting(now);
    }
}
