//! Engines for tests of decisions without a network.

use almondlock_gateway::{
    load::Total,
    pick::{Candidate, Quota},
};
use almondlock_policy::engine::Speed;

/// Speed of an engine that reads 256 tokens in a millisecond and holds 450,000.
pub fn speed() -> Speed {
    Speed {
        slots: 16,
        memory: 450_000,
        step_ms: 0.925,
        step_ms_per_stream: 0.00483,
        step_ms_per_context: 0.00254,
        tokens_per_ms: 256.0,
        ms_per_megapair: 0.0917,
        chunk_tokens: 2048.0,
        steps_per_pass: 46.0,
    }
}

/// Returns an engine with sixteen slots and this work in progress.
pub fn engine(total: Total) -> Candidate {
    Candidate {
        total,
        slots: 16,
        near: true,
        suspect: false,
        quota: Quota::Unlimited,
        full: false,
        cell: 0,
        rate: 1.0,
        ejected: false,
    }
}
