//! How processes prove to each other who they are.

/// What a session is wrapped in.
#[derive(Clone, Debug, Default)]
pub enum Security {
    /// Plain TCP, for a network that only the system's own processes are on.
    #[default]
    Plain,
}
