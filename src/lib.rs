//! almondlock: a serving layer for language-model prompts of very unlike
//! lengths on one shared fleet of engines.
//!
//! This package holds the two programs, `almondlockd` and `almondlock`; the
//! work is done by the sibling packages, each useful by itself. Start with
//! `docs/architecture.md`.
