//! Fair shares of the engines among organisations.

/// How an organisation stands with its share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Standing {
    /// It has no more than its share, or that isn't known.
    #[default]
    Within,
    /// It has more, and another one that has less waits.
    Over {
        /// By how much, as a part of its share.
        by: f64,
    },
}
