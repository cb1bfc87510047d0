//! The whole configuration, in bounded pieces.
//!
//! The sending side writes the configuration out once and serves pieces of that
//! text until its ring of changes no longer reaches back to it: whoever is
//! still reading then could not be brought from there to the present anyway.
//!
//! **Packed.** Three thousand servers make a configuration of 0.6 MB. After a loss of
//! all processes each of three hundred asks for it at once, and a process with a link of
//! 20 Mbit/s hands it to a dozen others: a piece to each of them takes 0.3 s, worked
//! out, and an answer that takes 0.4 s is given up and begun again elsewhere. Such texts
//! repeat themselves: 3,000 instances fill less than a fifth once compressed.
//!
//! The receiving side puts pieces together and starts again when the revision
//! changes under it, so a whole is always of one revision.

use std::{borrow::Cow, collections::HashMap, sync::Arc};

use almondlock_base::unit::Revision;
use almondlock_state::config::Config;
use almondlock_wire::spread::Piece;
use miniz_oxide::{deflate::compress_to_vec_zlib, inflate::decompress_to_vec_zlib_with_limit};

use crate::view::View;

/// The largest piece.
pub const PIECE: usize = 64 * 1024;

/// The largest whole that is accepted. At the target's 1,500 organisations and
/// 880 upstreams a configuration takes about a megabyte.
pub const LIMIT: u64 = 32 * 1024 * 1024;

/// The first version of the inner protocol whose processes read packed snapshots.
const PACKED_SINCE: u16 = 2;

/// The quickest level that still finds repeated names.
const LEVEL: u8 = 1;

/// What a text begins with that isn't packed.
const PLAIN_START: u8 = b'{';

/// How a snapshot is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Form {
    /// As JSON, which all versions read.
    Plain,
    /// The same, compressed (zlib).
    Packed,
}

impl Form {
    /// What a process of this version of the inner protocol reads.
    pub const fn of(version: u16) -> Form {
        if version < PACKED_SINCE {
            Form::Plain
        } else {
            Form::Packed
        }
    }

    fn write(self, config: &Config) -> Result<Arc<[u8]>, serde_json::Error> {
        let text = serde_json::to_vec(config)?;
        Ok(match self {
            Form::Plain => text.into(),
            Form::Packed => compress_to_vec_zlib(&text, LEVEL).into(),
        })
    }
}

/// The sending side.
#[derive(Debug, Default)]
pub struct Store {
    kept: HashMap<Form, (Revision, Arc<[u8]>)>,
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
        form: Form,
        revision: Revision,
        offset: u64,
    ) -> Result<Piece, serde_json::Error> {
        let (held, text) = self.current(view, form)?;
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
    pub fn is_shorter(
        &mut self,
        view: &View,
        form: Form,
        have: Revision,
    ) -> Result<bool, serde_json::Error> {
        let missed = view.with_ring(|ring| ring.bytes_after(have));
        // Few changes are the shorter way without looking.
        Ok(missed > 4 * PIECE && self.current(view, form)?.1.len() < missed)
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.kept.values().map(|(_, text)| text.len()).sum()
    }

    /// Lets go of a snapshot that nobody can use any more.
    pub fn trim(&mut self, view: &View) {
        let reaches = |revision| view.with_ring(|ring| ring.reaches(revision));
        self.kept.retain(|_, (revision, _)| reaches(*revision));
    }

    fn current(
        &mut self,
        view: &View,
        form: Form,
    ) -> Result<(Revision, Arc<[u8]>), serde_json::Error> {
        self.trim(view);
        if let Some((revision, text)) = self.kept.get(&form) {
            return Ok((*revision, Arc::clone(text)));
        }
        let config = view.get();
        let text = form.write(&config)?;
        self.kept.insert(form, (config.revision, Arc::clone(&text)));
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
    /// It can't be unpacked, or would be larger than accepted.
    #[error("a snapshot can't be unpacked")]
    Packed,
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
        let config: Config = serde_json::from_slice(&unpacked(&self.text)?)?;
        if config.revision != self.revision {
            return Err(Error::OutOfOrder);
        }
        Ok(Some(config))
    }
}

/// The text as it was before it was packed, if it was.
fn unpacked(text: &[u8]) -> Result<Cow<'_, [u8]>, Error> {
    if text.first() == Some(&PLAIN_START) {
        return Ok(Cow::Borrowed(text));
    }
    let limit = usize::try_from(LIMIT).unwrap_or(usize::MAX);
    let text = decompress_to_vec_zlib_with_limit(text, limit);
    text.map(Cow::Owned).map_err(|_| Error::Packed)
}
