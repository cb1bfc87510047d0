//! The replica role: the replicated log served to processes and operators.

pub mod admin;
