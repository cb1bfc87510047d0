//! Orders that set memory aside on an engine.

use almondlock_platform::counterpart::Order;

use super::Upstream;
use crate::soak::world::Plant;

/// Tokens that fit into an engine.
const MEMORY: u64 = 100_000;

impl Upstream {
    /// Carries an order out. Returns the response.
    pub(super) fn order(&self, order: &Order) -> String {
        let now = self.world.now();
        let mut memory = self.memory.borrow_mut();
        memory.retain(|_, (_, until)| now < *until);
        let status = match order {
            Order::Reserve {
                id,
                tokens,
                hold_ms,
            } => {
                let others = memory.iter().filter(|(name, _)| *name != id);
                let held: u64 = others.map(|(_, (tokens, _))| tokens).sum();
                match held + tokens <= MEMORY {
                    true => {
                        memory.insert(id.clone(), (*tokens, now + hold_ms));
                        200
                    }
                    false => 409,
                }
            }
            Order::Release { id } => {
                if self.world.plant == Some(Plant::Leak) {
                    let kept = memory.get_mut(id);
                    kept.into_iter().for_each(|(_, until)| *until = u64::MAX);
                } else {
                    memory.remove(id);
                }
                200
            }
        };
        format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\n{{}}")
    }
}
