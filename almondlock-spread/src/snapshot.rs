//! Transfers a whole configuration as a snapshot, in pieces of bounded size.
//!
//! The sender encodes the configuration once, or keeps the encoded text that it received
//! itself, and serves pieces of it until its ring of changes no longer reaches back to that
//! revision: a receiver still in progress could not be brought from there to the newest
//! revision anyway. A new receiver is given a newer text once the bytes of the changes since
//! the kept one exceed a fraction of its size; receivers in progress continue with theirs.
//!
//! **Compression.** A configuration of 3,000 servers takes 0.6 MB. After a loss of all
//! processes each of 300 asks for it at once, and a process with a link of 20 Mbit/s
//! sends it to a dozen others. Sending each of them a piece takes 0.3 s by calculation, and
//! an answer that takes 0.4 s is abandoned and requested elsewhere. The text is repetitive:
//! 3,000 instances compress to less than a fifth.
//!
//! The receiver joins the pieces, and starts again if the revision changes during the
//! transfer, so a snapshot is always of one revision.

use std::{borrow::Cow, collections::HashMap, sync::Arc};

use almondlock_base::unit::Revision;
use almondlock_state::config::Config;
use almondlock_wire::spread::Piece;
use miniz_oxide::{deflate::compress_to_vec_zlib, inflate::decompress_to_vec_zlib_with_limit};

use crate::view::View;

/// Maximum size of a piece.
pub const MAX_PIECE_BYTES: usize = 64 * 1024;

/// Maximum size of a snapshot that is accepted, compressed or not. A configuration of
/// the target size, 1,500 organisations and 880 upstreams, takes about a megabyte.
pub const MAX_SNAPSHOT_BYTES: u64 = 32 * 1024 * 1024;

/// The first version of the inner protocol whose processes read compressed snapshots.
const COMPRESSED_SINCE: u16 = 2;

/// Compression level: the fastest that still finds repeated names.
const COMPRESSION_LEVEL: u8 = 1;

/// First byte of a text that isn't compressed.
const PLAIN_START: u8 = b'{';

/// The encoding of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Encoding {
    /// JSON, which all versions read.
    Plain,
    /// JSON compressed with zlib.
    Compressed,
}

impl Encoding {
    /// Returns the encoding to use for a process of this version of the inner protocol.
    pub const fn for_version(version: u16) -> Encoding {
        if version < COMPRESSED_SINCE {
            Encoding::Plain
        } else {
            Encoding::Compressed
        }
    }

    fn encode(self, config: &Config) -> Result<Arc<[u8]>, serde_json::Error> {
        let text = serde_json::to_vec(config)?;
        Ok(match self {
            Encoding::Plain => text.into(),
            Encoding::Compressed => compress_to_vec_zlib(&text, COMPRESSION_LEVEL).into(),
        })
    }
}

/// Number of texts kept per encoding: one for new receivers, and the one before it.
const MAX_TEXTS: usize = 2;
/// A text is replaced once the changes after it reach its size divided by this.
const REWRITE_DIVISOR: usize = 4;

/// An encoded configuration.
#[derive(Clone, Debug)]
struct Text {
    revision: Revision,
    bytes: Arc<[u8]>,
}

/// The sender's encoded snapshots.
#[derive(Debug, Default)]
pub struct Store {
    // Invariant: newest first, at most `MAX_TEXTS` of each encoding.
    kept: HashMap<Encoding, Vec<Text>>,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Store {
        Store::default()
    }

    /// Returns the piece at `offset` of the snapshot of `revision`. If that snapshot is
    /// gone, returns the first piece of another one, which is not older unless the view
    /// itself is.
    pub fn piece(
        &mut self,
        view: &View,
        encoding: Encoding,
        revision: Revision,
        offset: u64,
    ) -> Result<Piece, serde_json::Error> {
        let begun = usize::try_from(offset).unwrap_or(usize::MAX);
        self.evict_unusable(view);
        let kept = self.kept.get(&encoding).into_iter().flatten();
        let mut kept = kept.filter(|text| text.revision == revision && begun > 0);
        let (text, start) = match kept.find(|text| begun < text.bytes.len()) {
            Some(text) => (text.clone(), begun),
            None => (self.current_text(view, encoding, revision)?, 0),
        };
        let end = text.bytes.len().min(start + MAX_PIECE_BYTES);
        Ok(Piece {
            revision: text.revision,
            offset: start as u64,
            total: text.bytes.len() as u64,
            data: text.bytes[start..end].to_vec(),
        })
    }

    /// Keeps a complete text received from another process, to serve it to others.
    pub fn insert_received(&mut self, revision: Revision, bytes: Vec<u8>) {
        let encoding = match bytes.first() {
            Some(&PLAIN_START) => Encoding::Plain,
            _ => Encoding::Compressed,
        };
        let bytes = bytes.into();
        self.insert(encoding, Text { revision, bytes });
    }

    /// Returns true if a snapshot takes fewer bytes than the changes after revision
    /// `have`. Changes often modify the same items again, so many of them can take more
    /// bytes than their result.
    pub fn is_shorter(
        &mut self,
        view: &View,
        encoding: Encoding,
        have: Revision,
    ) -> Result<bool, serde_json::Error> {
        let missed = view.with_ring(|ring| ring.bytes_after(have));
        // Changes that fit one answer are sent without encoding a snapshot to compare.
        Ok(missed > MAX_PIECE_BYTES
            && self.current_text(view, encoding, have)?.bytes.len() < missed)
    }

    /// Returns the number of bytes of all texts held.
    pub fn held_bytes(&self) -> usize {
        let texts = self.kept.values().flatten();
        texts.map(|text| text.bytes.len()).sum()
    }

    /// Removes snapshots from which the ring can no longer bring a receiver up to date.
    pub fn evict_unusable(&mut self, view: &View) {
        let reaches = |text: &Text| view.with_ring(|ring| ring.has_all_after(text.revision));
        self.kept.values_mut().for_each(|kept| kept.retain(reaches));
    }

    fn insert(&mut self, encoding: Encoding, text: Text) {
        let kept = self.kept.entry(encoding).or_default();
        kept.retain(|other| other.revision < text.revision);
        kept.insert(0, text);
        kept.truncate(MAX_TEXTS);
    }

    /// Returns the text for new receivers: of at least revision `least`, unless the view
    /// itself is older. A process that can't apply the change that makes `least` would be
    /// sent that change again after an older text, for as long as that text is kept.
    fn current_text(
        &mut self,
        view: &View,
        encoding: Encoding,
        least: Revision,
    ) -> Result<Text, serde_json::Error> {
        self.evict_unusable(view);
        let newest = self.kept.get(&encoding).and_then(|kept| kept.first());
        let is_near = |text: &&Text| {
            let missed = view.with_ring(|ring| ring.bytes_after(text.revision));
            let recent = text.revision >= least.min(view.revision());
            recent && missed < text.bytes.len() / REWRITE_DIVISOR
        };
        if let Some(text) = newest.filter(is_near) {
            return Ok(text.clone());
        }
        let config = view.get();
        let text = Text {
            revision: config.revision,
            bytes: encoding.encode(&config)?,
        };
        self.insert(encoding, text.clone());
        Ok(text)
    }
}

/// The reason why received pieces don't make up a configuration.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The snapshot is larger than [`MAX_SNAPSHOT_BYTES`].
    #[error("a snapshot of {0} bytes is larger than accepted")]
    TooLarge(u64),
    /// The piece doesn't follow the last one, or its text is of another revision.
    #[error("a piece of a snapshot doesn't follow the last one")]
    OutOfOrder,
    /// The text can't be decompressed, or would be larger than [`MAX_SNAPSHOT_BYTES`].
    #[error("a snapshot can't be unpacked")]
    Decompress,
    /// The text is not a valid configuration.
    #[error("a snapshot can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// The pieces of a snapshot that were received so far.
#[derive(Debug, Default)]
pub struct Assembly {
    revision: Revision,
    // Invariant: the first bytes of the snapshot of `revision`, without gaps.
    text: Vec<u8>,
}

impl Assembly {
    /// Creates an assembly without any piece.
    pub fn new() -> Assembly {
        Assembly::default()
    }

    /// Returns the revision and the offset of the next piece to request.
    pub fn next(&self) -> (Revision, u64) {
        (self.revision, self.text.len() as u64)
    }

    /// Returns the text received so far.
    pub fn into_text(self) -> Vec<u8> {
        self.text
    }

    /// Adds a piece. Returns the configuration once the text is complete.
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
        let config: Config = serde_json::from_slice(&decompressed(&self.text)?)?;
        if config.revision != self.revision {
            return Err(Error::OutOfOrder);
        }
        Ok(Some(config))
    }
}

/// Returns the JSON text, decompressed if necessary.
fn decompressed(text: &[u8]) -> Result<Cow<'_, [u8]>, Error> {
    if text.first() == Some(&PLAIN_START) {
        return Ok(Cow::Borrowed(text));
    }
    let limit = usize::try_from(MAX_SNAPSHOT_BYTES).unwrap_or(usize::MAX);
    let text = decompress_to_vec_zlib_with_limit(text, limit);
    text.map(Cow::Owned).map_err(|_| Error::Decompress)
}
