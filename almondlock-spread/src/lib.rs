//! Spreading configuration revisions to every process.

pub mod view;
