//! The whole configuration, in bounded pieces.
//!
//! The sending side writes the configuration out once, or keeps the text that it was
//! given itself, and serves pieces of it until its ring of changes no longer reaches back
//! to it: whoever is still reading then could not be brought from there to the present
//! anyway. A reader that begins is given a newer text once the changes since then make up
//! a part of it; those that have begun go on with theirs.
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
pub const MAX_PIECE_BYTES: usize = 64 * 1024;

/// The largest whole that is accepted. At the target's 1,500 organisations and
/// 880 upstreams a configuration takes about a megabyte.
pub const MAX_SNAPSHOT_BYTES: u64 = 32 * 1024 * 1024;

/// The first version of the inner protocol whose processes read packed snapshots.
const PACKED_SINCE: u16 = 2;

/// The quickest level that still finds repeated names.
const LEVEL: u8 = 1;

/// What a text begins with that isn't packed.
const PLAIN_START: u8 = b'{';

/// How a snapshot is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Encoding {
    /// As JSON, which all versions read.
    Plain,
    /// The same, compressed (zlib).
    Compressed,
}

impl Encoding {
    /// What a process of this version of the inner protocol reads.
    pub const fn for_version(version: u16) -> Encoding {
        if version < PACKED_SINCE {
            Encoding::Plain
        } else {
            Encoding::Compressed
        }
    }

    fn write(self, config: &Config) -> Result<Arc<[u8]>, serde_json::Error> {
        let text = serde_json::to_vec(config)?;
        Ok(match self {
            Encoding::Plain => text.into(),
            Encoding::Compressed => compress_to_vec_zlib(&text, LEVEL).into(),
        })
    }
}

/// Texts of one form that are kept: one for readers that begin, and the one before it.
const KEPT: usize = 2;
/// A text is written anew once the changes after it have so many of its parts.
const REWRITE_PART: usize = 4;

/// A configuration written out.
#[derive(Clone, Debug)]
struct Text {
    revision: Revision,
    bytes: Arc<[u8]>,
}

/// The sending side.
#[derive(Debug, Default)]
pub struct Store {
    // Invariant: newest first, at most `KEPT` of each form.
    kept: HashMap<Encoding, Vec<Text>>,
}

impl Store {
    /// Nothing written out yet.
    pub fn new() -> Store {
        Store::default()
    }

    /// A piece from `offset` on of the snapshot of `revision`, or the first
    /// piece of another one when that is gone, which is not older.
    pub fn piece(
        &mut self,
        view: &View,
        form: Encoding,
        revision: Revision,
        offset: u64,
    ) -> Result<Piece, serde_json::Error> {
        let begun = usize::try_from(offset).unwrap_or(usize::MAX);
        self.evict_unusable(view);
        let kept = self.kept.get(&form).into_iter().flatten();
        let mut kept = kept.filter(|text| text.revision == revision && begun > 0);
        let (text, start) = match kept.find(|text| begun < text.bytes.len()) {
            Some(text) => (text.clone(), begun),
            None => (self.current(view, form, revision)?, 0),
        };
        let end = text.bytes.len().min(start + MAX_PIECE_BYTES);
        Ok(Piece {
            revision: text.revision,
            offset: start as u64,
            total: text.bytes.len() as u64,
            data: text.bytes[start..end].to_vec(),
        })
    }

    /// Keeps a text that came whole from another process, to hand it on.
    pub fn insert_received(&mut self, revision: Revision, bytes: Vec<u8>) {
        let form = match bytes.first() {
            Some(&PLAIN_START) => Encoding::Plain,
            _ => Encoding::Compressed,
        };
        let bytes = bytes.into();
        self.put(form, Text { revision, bytes });
    }

    /// Whether the whole is the shorter way for a process that has this
    /// revision. Changes often touch the same things again, so many of them
    /// take more bytes than what they come to.
    pub fn is_shorter(
        &mut self,
        view: &View,
        form: Encoding,
        have: Revision,
    ) -> Result<bool, serde_json::Error> {
        let missed = view.with_ring(|ring| ring.bytes_after(have));
        // What fits one answer is the shorter way without looking.
        Ok(missed > MAX_PIECE_BYTES && self.current(view, form, have)?.bytes.len() < missed)
    }

    /// Bytes held.
    pub fn held_bytes(&self) -> usize {
        let texts = self.kept.values().flatten();
        texts.map(|text| text.bytes.len()).sum()
    }

    /// Lets go of snapshots that nobody can use any more.
    pub fn evict_unusable(&mut self, view: &View) {
        let reaches = |text: &Text| view.with_ring(|ring| ring.has_all_after(text.revision));
        self.kept.values_mut().for_each(|kept| kept.retain(reaches));
    }

    fn put(&mut self, form: Encoding, text: Text) {
        let kept = self.kept.entry(form).or_default();
        kept.retain(|other| other.revision < text.revision);
        kept.insert(0, text);
        kept.truncate(KEPT);
    }

    /// The text for readers that begin: of revision `least` at least, unless the view
    /// itself is older. Whoever can't apply the change that makes `least` would be given
    /// that same change again after an older text, for as long as the text is kept.
    fn current(
        &mut self,
        view: &View,
        form: Encoding,
        least: Revision,
    ) -> Result<Text, serde_json::Error> {
        self.evict_unusable(view);
        let newest = self.kept.get(&form).and_then(|kept| kept.first());
        let is_near = |text: &&Text| {
            let missed = view.with_ring(|ring| ring.bytes_after(text.revision));
            let recent = text.revision >= least.min(view.revision());
            recent && missed < text.bytes.len() / REWRITE_PART
        };
        if let Some(text) = newest.filter(is_near) {
            return Ok(text.clone());
        }
        let config = view.get();
        let text = Text {
            revision: config.revision,
            bytes: form.write(&config)?,
        };
        self.put(form, text.clone());
        Ok(text)
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

    /// The text, as far as it was received.
    pub fn into_text(self) -> Vec<u8> {
        self.text
    }

    /// Adds a piece; gives the configuration once it is whole.
    pub fn add(&mut self, piece: &Piece) -> Result<Option<Config>, Error> {
        if piece.total > MAX_SNAPSHOT_BYTES {
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
    let limit = usize::try_from(MAX_SNAPSHOT_BYTES).unwrap_or(usize::MAX);
    let text = decompress_to_vec_zlib_with_limit(text, limit);
    text.map(Cow::Owned).map_err(|_| Error::Packed)
}
