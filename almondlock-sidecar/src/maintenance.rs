//! Periodic work of a sidecar besides running attempts: forwards orders to the
//! upstream, frees engine memory, and reconciles the memory ledger with the
//! engine.

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
    /// Forwards the order that is due, if any.
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
                tracing::info!(upstream = %self.upstream, model, version, "order forwarded");
            }
            Err(failure @ Failure::Refused(..)) => {
                self.orders.mark_forwarded(&order);
                tracing::warn!(upstream = %self.upstream, %failure, "upstream refused the order");
            }
            Err(failure) => {
                tracing::warn!(upstream = %self.upstream, %failure, "order failed, will retry");
            }
        }
    }

    /// Asks the engine to free what the ledger has released, and reconciles the
    /// ledger with the engine's own list when that is due.
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

    /// Drops a reservation whose lease has ended, and grants its memory to
    /// those that wait.
    fn drop_reservation(&self, id: &str) {
        let now = clock::mono();
        let mut table = self.table.borrow_mut();
        table.release_by_engine_id(id, now);
        table.grant_waiting(now);
    }
}
