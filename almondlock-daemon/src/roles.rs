//! Roles, from their settings.

pub(crate) mod control;
pub(crate) mod entry;
pub(crate) mod gateway;
pub(crate) mod sidecar;
mod tls;
