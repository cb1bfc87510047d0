//! Commands about instances, the upstreams without a sidecar.

use almondlock_base::id::Upstream;

use super::{Changes, Machine};
use crate::{command::Command, instance};

impl Machine {
    /// Returns whether an instance is gone: its last known incarnation gave notice, or another
    /// instance has its address.
    pub fn is_gone(&self, instance: &Upstream) -> bool {
        self.instances.is_gone(instance)
    }

    /// Returns the instances that are gone, or silent.
    pub fn instances(&self) -> &instance::Table {
        &self.instances
    }

    pub(super) fn apply_instance(&mut self, command: Command, changes: &mut Changes) {
        let config = &self.tables.config;
        let made = match command {
            Command::Enrol {
                upstream, instance, ..
            } => self.instances.enrol(config, &upstream, instance),
            Command::Withdraw { upstream, at } => {
                let now = self.clock.max(at);
                let made = self.instances.withdraw(now, config, &upstream);
                made.into_iter().collect()
            }
            Command::Lapse {
                upstream,
                watermark,
                at,
            } => {
                let now = self.clock.max(at);
                let made = self.instances.lapse(now, config, &upstream, watermark);
                made.into_iter().collect()
            }
            Command::Reinstate {
                upstream,
                sequence,
                instance,
                at,
            } => {
                let (now, heartbeat) = (self.clock.max(at), (sequence, instance));
                self.instances.reinstate(now, config, &upstream, heartbeat)
            }
            Command::Heard { heard, .. } => {
                self.instances.note_numbers(config, heard);
                Vec::new()
            }
            _ => Vec::new(),
        };
        self.apply_changes(made, changes);
    }
}
