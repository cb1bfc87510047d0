//! Limits of what callers make a process hold, from its settings and its host.

use almondlock_intake::host::{Host, Limits};
use almondlock_settings::{self as settings, Intake};

/// Returns the limits of a role.
pub(crate) fn limits(host: &settings::Host, intake: &Intake) -> Limits {
    Limits::new(
        Host::detect(host.memory, host.descriptors),
        (intake.head_bytes, intake.socket_buffer, intake.pipelined),
        intake.body_memory,
        intake.connections,
    )
}
