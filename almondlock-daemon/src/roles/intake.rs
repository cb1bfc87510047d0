//! Limits of what callers make a process hold, from its settings and its host.

use almondlock_intake::host::{Host, Limits, Set};
use almondlock_settings::{self as settings, Intake};

/// Returns the limits of a role.
pub(crate) fn limits(host: &settings::Host, intake: &Intake) -> Limits {
    let set = Set {
        body_memory: intake.body_memory,
        answer_memory: intake.answer_memory,
        connections: intake.connections,
        head: intake.head_bytes,
        socket_buffer: intake.socket_buffer,
        pipelined: intake.pipelined,
        body_pieces: intake.body_pieces,
        discard_time: intake.discard_time,
        ..Set::default()
    };
    Limits::new(Host::detect(host.memory, host.descriptors), &set)
}
