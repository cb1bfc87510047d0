//! Roles, from their settings.

pub(crate) mod control;
pub(crate) mod entry;
pub(crate) mod gateway;
mod intake;
pub(crate) mod sidecar;
mod tls;
