//! A bound on the memory that reading a JSON text takes.
//!
//! The size of a text doesn't bound it: an element of a list may have two bytes in the text,
//! and takes dozens once it is read. So elements and objects are counted before the text is
//! read.
//!
//! ```
//! use almondlock_intake::reading::Reading;
//!
//! let reading = Reading::new(64 << 10);
//! assert!(reading.check(br#"{"routes":[{"name":"r1"}]}"#).is_ok());
//! let many = format!(r#"{{"routes":[{}]}}"#, ["{}"; 1_000].join(","));
//! assert!(reading.check(many.as_bytes()).is_err());
//! assert_eq!(reading.refused(), 1);
//! ```

use std::sync::atomic::{AtomicU64, Ordering};

/// What an object may take, in bytes: the largest one that is kept, its texts, and its place
/// in the tables that are built of it.
const OBJECT_BYTES: u64 = 512;
/// What an element of a list may take besides, in bytes: its place in a list that grows by
/// doubling, and an allocation.
const ELEMENT_BYTES: u64 = 160;
/// Levels of nesting that are told apart. Deeper containers count as lists.
const LEVELS: u32 = 128;

/// The bound, with a count of the texts that it refused.
#[derive(Debug)]
pub struct Reading {
    /// Bytes that a text may take.
    limit: u64,
    refused: AtomicU64,
}

/// A text takes too much memory to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error(
    "{objects} objects and {elements} elements of lists may take {bytes} bytes to read, {limit} \
     at most"
)]
pub struct TooCostly {
    /// Objects in the text.
    pub objects: u64,
    /// Elements of all lists in the text.
    pub elements: u64,
    /// Bytes that they may take.
    pub bytes: u64,
    /// Bytes that a text may take.
    pub limit: u64,
}

impl Reading {
    /// Returns a bound of `limit` bytes.
    pub const fn new(limit: u64) -> Reading {
        Reading {
            limit,
            refused: AtomicU64::new(0),
        }
    }

    /// Checks a text before it is read. Whether it is valid JSON isn't checked.
    ///
    /// # Errors
    ///
    /// If reading it may take more memory than the bound.
    pub fn check(&self, text: &[u8]) -> Result<(), TooCostly> {
        let Count { objects, elements } = Count::of(text);
        let bytes = objects * OBJECT_BYTES + elements * ELEMENT_BYTES;
        if bytes <= self.limit {
            return Ok(());
        }
        self.refused.fetch_add(1, Ordering::Relaxed);
        Err(TooCostly {
            objects,
            elements,
            bytes,
            limit: self.limit,
        })
    }

    /// Returns how many texts were refused since the start.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }
}

/// What a text has of objects and of elements of lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    objects: u64,
    elements: u64,
}

impl Count {
    fn of(text: &[u8]) -> Count {
        let mut count = Count::default();
        let (mut depth, mut lists) = (0_u32, 0_u128);
        let mut bytes = text.iter();
        while let Some(byte) = bytes.next() {
            match byte {
                b'"' => skip_string(&mut bytes),
                b'{' | b'[' => {
                    depth = depth.saturating_add(1);
                    let is_list = *byte == b'[';
                    if depth <= LEVELS {
                        let level = 1 << (depth - 1);
                        lists = if is_list {
                            lists | level
                        } else {
                            lists & !level
                        };
                    }
                    count.objects += u64::from(!is_list);
                    count.elements += u64::from(is_list);
                }
                b'}' | b']' => depth = depth.saturating_sub(1),
                b',' => {
                    let is_list = match depth {
                        0 => false,
                        1..=LEVELS => lists >> (depth - 1) & 1 == 1,
                        _ => true,
                    };
                    count.elements += u64::from(is_list);
                }
                _ => {}
            }
        }
        count
    }
}

/// Goes on behind the end of a string.
fn skip_string(bytes: &mut std::slice::Iter<'_, u8>) {
    while let Some(byte) = bytes.next() {
        match byte {
            b'"' => return,
            b'\\' => drop(bytes.next()),
            _ => {}
        }
    }
}
