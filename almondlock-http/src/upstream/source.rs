//! Bodies of requests.

use std::{future::Future, io};

/// Supplies the body of a request in pieces.
pub trait Source {
    /// A piece of the body.
    type Piece: AsRef<[u8]>;

    /// Returns the next piece, or `None` at the end. An error ends the request: the body
    /// can't be completed.
    fn next(&mut self) -> impl Future<Output = Option<io::Result<Self::Piece>>>;
}

/// A body that is in memory as a whole.
#[derive(Clone, Debug)]
pub struct Whole<'a> {
    body: Option<&'a [u8]>,
}

impl<'a> Whole<'a> {
    /// Creates the source of a body.
    pub fn new(body: &'a [u8]) -> Whole<'a> {
        Whole { body: Some(body) }
    }
}

impl<'a> Source for Whole<'a> {
    type Piece = &'a [u8];

    async fn next(&mut self) -> Option<io::Result<&'a [u8]>> {
        self.body.take().map(Ok)
    }
}
