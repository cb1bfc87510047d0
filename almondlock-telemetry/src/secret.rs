//! Values that must not reach logs, spans, metrics or error messages.

use std::fmt;

/// What is printed in place of a secret.
pub const MASK: &str = "********";

/// A value that prints as a mask. Reading it takes a call that stands out in
/// review; neither `{}` nor `{:?}` on anything that holds it can leak it.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret<T>(T);

impl<T> Secret<T> {
    /// Wraps a value.
    pub const fn new(value: T) -> Secret<T> {
        Secret(value)
    }

    /// The value itself.
    pub const fn expose(&self) -> &T {
        &self.0
    }
}

impl<T> fmt::Debug for Secret<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(MASK)
    }
}

impl<T> fmt::Display for Secret<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(MASK)
    }
}
