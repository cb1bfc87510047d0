//! What an entry host holds for its callers, by its metrics.

/// The metrics that are zero where nothing is held, and what each counts.
pub const LEVELS: [(&str, &str); 5] = [
    ("caller_bodies", "held"),
    ("caller_bodies", "bytes"),
    ("answer_bodies", "held"),
    ("answer_bodies", "bytes"),
    ("caller_connections", "open"),
];
