//! Publication of the deployment's configuration text in the replicated state.

use super::{Changes, Machine, Refusal, accepted};
use crate::{
    command::Reply,
    document::{self, Mismatch, Publication},
};

impl Machine {
    /// Shares the memory of those pieces of the published text that an earlier state
    /// holds too.
    pub fn share_document(&mut self, earlier: &Machine) {
        if let Some(held) = &earlier.config().document {
            let document = &mut self.tables.config.document;
            *document = document.take().map(|document| document.share_pieces(held));
        }
    }

    pub(super) fn publish(
        &mut self,
        publication: Publication,
        changes: &mut Changes,
    ) -> Result<Reply, Refusal> {
        match document::publish(&self.tables.config, publication) {
            Ok(made) => {
                self.apply_changes(made.into_iter().collect(), changes);
                Ok(accepted())
            }
            Err(Mismatch::Version { .. } | Mismatch::Missing { .. }) => {
                let held = self.config().document.as_ref();
                let held = held.map(|held| held.version);
                Ok(Reply::BaseMoved { held })
            }
            // The proposer holds the same version cut into other pieces, so one of the two
            // states isn't what the log produces.
            Err(mismatch @ (Mismatch::Shape(_) | Mismatch::Pieces(_))) => Err(Refusal {
                code: almondlock_base::Code::StorageFailed,
                message: format!("a delta in the log can't be applied: {mismatch}"),
            }),
        }
    }
}
