//! The entry role.

pub mod body;
pub mod caller;
pub mod failure;
