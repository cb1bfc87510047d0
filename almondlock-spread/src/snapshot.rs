//! The whole configuration, in bounded pieces.
//!
//! The sending side writes the configuration out once and serves pieces of that
//! text until its ring of changes no longer reaches back to it: whoever is
//! still reading then could not be brought from there to the present anyway.
//! The receiving side puts pieces together and starts again when the revision
//! changes under it, so a whole is always of one revision.

use std::sync::Arc;

use almondlock_base::unit::Revision;
use almondlock_state::config::Config;
use almondlock_wire::spread::Piece;

use crate::view::View;

/// The largest piece.
pub const PIECE: usize = 64 * 1024;

/// The largest whole that is accepted. At the target's 1,500 organisations and
/// 880 upstreams a configuration takes about a megabyte.
pub const LIMIT: u64 = 32 * 1024 * 1024;

/// The sending side.
#[derive(Debug, Default)]
pub struct Store {
    kept: Option<(Revision, Arc<[u8]>)>,
}

impl Store {
    /// Nothing written out yet.
    pub fn new() -> Store {
        Store::default()
    }

    /// A piece from `offset` on of the snapshot of `revision`, or the first
    /// piece of another one when that is gone.
    pub fn piece(
        &mut self,
        view: &View,
        revision: Revision,
        offset: u64,
    ) -> Result<Piece, serde_json::Error> {
        let (held, text) = self.current(view)?;
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let start = match held == revision && start < text.len() {
            true => start,
            false => 0,
        };
        let end = text.len().min(start + PIECE);
        Ok(Piece {
            revision: held,
            offset: start as u64,
            total: text.len() as u64,
            data: text[start..end].to_vec(),
        })
    }

    /// Whether the whole is the shorter way for a process that has this
    /// revision. Changes often touch the same things again, so many of them
    /// take more bytes than what they come to.
    pub fn is_shorter(&mut self, view: &View, have: Revision) -> Result<bool, serde_json::Error> {
        let missed = view.with_ring(|ring| ring.bytes_after(have));
        // Few changes are the shorter way without looking.
        Ok(missed > 4 * PIECE && self.current(view)?.1.len() < missed)
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.kept.as_ref().map_or(0, |(_, text)| text.len())
    }

    /// Lets go of a snapshot that nobody can use any more.
    pub fn trim(&mut self, view: &View) {
        let reaches = |revision| view.with_ring(|ring| ring.reaches(revision));
        self.kept.take_if(|(revision, _)| !reaches(*revision));
    }

    fn current(&mut self, view: &View) -> Result<(Revision, Arc<[u8]>), serde_json::Error> {
        self.trim(view);
        if let Some((revision, text)) = &self.kept {
            return Ok((*revision, Arc::clone(text)));
        }
        let config = view.get();
        let text: Arc<[u8]> = serde_json::to_vec(&*config)?.into();
        self.kept = Some((config.revision, Arc::clone(&text)));
        Ok((config.revision, text))
    }
}

/// Why pieces don't make a whole.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// It would be larger than accepted.
    #[error("a snapshot of {0} bytes is larger than accepted")]
    TooLarge(u64),
    /// A piece is not the one asked for.
    #[error("a piece of a snapshot doesn't follow the last one")]
    OutOfOrder,
    /// The text is no configuration.
    #[error("a snapshot can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// The receiving side.
#[derive(Debug, Default)]
pub struct Assembly {
    revision: Revision,
    // Invariant: the first bytes of the snapshot of `revision`, without gap.
    text: Vec<u8>,
}

impl Assembly {
    /// Nothing received yet.
    pub fn new() -> Assembly {
        Assembly::default()
    }

    /// What to ask for next: a revision and an offset.
    pub fn next(&self) -> (Revision, u64) {
        (self.revision, self.text.len() as u64)
    }

    /// Adds a piece; gives the configuration once it is whole.
    pub fn add(&mut self, piece: &Piece) -> Result<Option<Config>, Error> {
        if piece.total > LIMIT {
            return Err(Error::TooLarge(piece.total));
        }
        if piece.revision != self.revision || piece.offset == 0 {
            self.revision = piece.revision;
            self.text.clear();
        }
        let end = piece.offset + piece.data.len() as u64;
        let follows = piece.offset == self.text.len() as u64;
        if !follows || piece.data.is_empty() || end > piece.total {
            return Err(Error::OutOfOrder);
        }
        self.text.extend_from_slice(&piece.data);
        if end < piece.total {
            return Ok(None);
        }
        let config: Config = serde_json::from_slice(&self.text)?;
        if config.revision != self.revision {
            return Err(Error::OutOfOrder);
        }
        Ok(Some(config))
    }
}
