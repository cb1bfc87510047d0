//! How long a prompt is, and what that makes of it.
//!
//! The length of a prompt decides more than anything else what happens to it,
//! so it is put into one of four classes, once, at the entry.

use almondlock_base::unit::Tokens;

/// The longest prompt of class [`Class::Short`].
pub const SHORT_LIMIT: Tokens = Tokens(4_096);
/// The longest prompt of class [`Class::Medium`].
pub const MEDIUM_LIMIT: Tokens = Tokens(32_768);
/// The longest prompt of class [`Class::Long`].
pub const LONG_LIMIT: Tokens = Tokens(262_144);

/// Prompts that are treated alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Up to [`SHORT_LIMIT`]: a fraction of a second of prefill.
    Short,
    /// Up to [`MEDIUM_LIMIT`].
    Medium,
    /// Up to [`LONG_LIMIT`]: many seconds of prefill.
    Long,
    /// Longer than that, perhaps longer than one engine holds.
    Huge,
}

impl Class {
    /// Every class, shortest first.
    pub const ALL: [Class; 4] = [Class::Short, Class::Medium, Class::Long, Class::Huge];

    /// The class of a prompt of this length.
    ///
    /// ```
    /// use almondlock_base::unit::Tokens;
    /// use almondlock_policy::length::Class;
    ///
    /// assert_eq!(Class::of(Tokens(900)), Class::Short);
    /// assert_eq!(Class::of(Tokens(1_000_000)), Class::Huge);
    /// ```
    pub const fn of(prompt: Tokens) -> Class {
        match prompt.0 {
            n if n <= SHORT_LIMIT.0 => Class::Short,
            n if n <= MEDIUM_LIMIT.0 => Class::Medium,
            n if n <= LONG_LIMIT.0 => Class::Long,
            _ => Class::Huge,
        }
    }

    /// The class's place in [`Class::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// The name used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Class::Short => "short",
            Class::Medium => "medium",
            Class::Long => "long",
            Class::Huge => "huge",
        }
    }
}
