//! Reads the parts of a published configuration that differ from the one in force.
//!
//! A version is read in steps of some tens of microseconds each, so that the caller decides
//! when to pause. The version in force isn't changed meanwhile, and dropping a [`Reader`]
//! discards what it has read.
//!
//! The content of the pieces in force is kept only in the [`Rules`]. A piece that a new
//! version lacks is read once more to find out what to remove. This takes less memory than
//! a table of the content of each piece.

mod comparison;
mod current;
mod pace;

use std::sync::Arc;

use almondlock_state::document::{Document, Piece};

use self::comparison::Comparison;
pub use self::{
    current::{Current, Job},
    pace::Pacer,
};
use crate::{
    dialect::{Dialect, Outline, Section},
    rules::{Edit, Entry, Error, Organisation, Rules},
};

/// A version that was read.
#[derive(Clone, Debug)]
pub struct Version {
    /// Text of the version.
    pub document: Document,
    /// Positions of its sections' pieces. `None` if it was read as a whole.
    pub outline: Option<Outline>,
    /// Rules of the version.
    pub rules: Arc<Rules>,
}

impl Version {
    /// Returns the pieces of a section.
    fn section(&self, place: usize) -> &[Piece] {
        section(&self.document, self.outline.as_ref(), place)
    }
}

fn section<'a>(document: &'a Document, outline: Option<&Outline>, place: usize) -> &'a [Piece] {
    let range = outline.and_then(|outline| outline.sections.get(place));
    range
        .and_then(|range| document.pieces.get(range.clone()))
        .unwrap_or_default()
}

/// Number of pieces that were read and kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of pieces that were read, since the version before lacks them.
    pub read: usize,
    /// Number of pieces that the version before has too.
    pub kept: usize,
}

/// State of reading a version after a step.
#[derive(Debug)]
pub enum Progress {
    /// Further steps are needed.
    More,
    /// The version was read, or can't be read.
    Done(Result<Version, Error>),
}

/// Reads one version.
#[derive(Debug)]
pub struct Reader {
    held: Option<Arc<Version>>,
    document: Document,
    outline: Option<Outline>,
    phase: Phase,
    /// Number of pieces that were read and kept so far.
    pub count: Count,
}

/// What a [`Reader`] does next.
#[derive(Debug)]
enum Phase {
    /// Reads the version as a whole in one step, if it has no outline.
    Whole,
    /// Looks for differences, section by section.
    Compare {
        place: usize,
        comparison: Comparison,
        found: Found,
    },
    /// Removes and then adds pieces, from the end of each list.
    Change {
        edit: Box<Edit>,
        removed: Vec<(Section, Piece)>,
        added: Vec<(Section, Piece)>,
    },
    /// The version was read, or can't be read.
    Finished,
}

/// Pieces that differ between the versions.
#[derive(Debug, Default)]
struct Found {
    removed: Vec<(Section, Piece)>,
    added: Vec<(Section, Piece)>,
}

impl Reader {
    /// Begins to read a version. `held` is the last one that was read.
    pub fn new(held: Option<Arc<Version>>, document: Document, outline: Option<Outline>) -> Reader {
        let phase = match &outline {
            None => Phase::Whole,
            Some(_) => Phase::Compare {
                place: 0,
                comparison: Comparison::default(),
                found: Found::default(),
            },
        };
        Reader {
            held,
            document,
            outline,
            phase,
            count: Count::default(),
        }
    }

    /// Returns the number of the version.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// Reads to the end.
    pub fn finish<D>(&mut self, dialect: &D) -> Result<Version, Error>
    where
        D: Dialect,
    {
        loop {
            if let Progress::Done(result) = self.step(dialect) {
                return result;
            }
        }
    }

    /// Performs one step.
    pub fn step<D>(&mut self, dialect: &D) -> Progress
    where
        D: Dialect,
    {
        match self.advance(dialect) {
            Ok(None) => Progress::More,
            Ok(Some(rules)) => Progress::Done(Ok(Version {
                document: self.document.clone(),
                outline: self.outline.clone(),
                rules: Arc::new(rules),
            })),
            Err(error) => Progress::Done(Err(error)),
        }
    }

    fn advance<D>(&mut self, dialect: &D) -> Result<Option<Rules>, Error>
    where
        D: Dialect,
    {
        let phase = std::mem::replace(&mut self.phase, Phase::Finished);
        match phase {
            Phase::Finished => Err(Error::new("the version was already read")),
            Phase::Whole => {
                self.count.read = self.document.pieces.len();
                dialect.parse(&self.document.text()).map(Some)
            }
            Phase::Compare {
                place,
                comparison,
                found,
            } => {
                self.phase = self.compare(place, comparison, found)?;
                Ok(None)
            }
            Phase::Change {
                mut edit,
                mut removed,
                mut added,
            } => {
                if let Some((section, piece)) = removed.pop() {
                    edit.remove(dialect.parse_entry(section, piece.as_str())?);
                } else if let Some((section, piece)) = added.pop() {
                    edit.add(dialect.parse_entry(section, piece.as_str())?)?;
                } else {
                    return edit.build().map(Some);
                }
                self.phase = Phase::Change {
                    edit,
                    removed,
                    added,
                };
                Ok(None)
            }
        }
    }

    fn compare(
        &mut self,
        place: usize,
        mut comparison: Comparison,
        mut found: Found,
    ) -> Result<Phase, Error> {
        let Some(section) = Section::ALL.get(place) else {
            return self.plan_changes(found);
        };
        let held = self.held.as_deref();
        let old = held.map_or(&[] as &[Piece], |held| held.section(place));
        let new = self::section(&self.document, self.outline.as_ref(), place);
        let difference = comparison.step(old, new);
        self.count.kept += difference.kept;
        let mark = |piece| (*section, piece);
        found
            .removed
            .extend(difference.removed.into_iter().map(mark));
        found.added.extend(difference.added.into_iter().map(mark));
        let (place, comparison) = match difference.is_last {
            true => (place + 1, Comparison::default()),
            false => (place, comparison),
        };
        Ok(Phase::Compare {
            place,
            comparison,
            found,
        })
    }

    /// Returns the phase that applies the differences.
    fn plan_changes(&mut self, found: Found) -> Result<Phase, Error> {
        let Some(outline) = &self.outline else {
            return Err(Error::new("the version has no outline"));
        };
        let (version, limits) = (outline.version, outline.limits);
        let Found { removed, added } = found;
        let held = self.held.as_ref().filter(|held| held.outline.is_some());
        // If more pieces were removed than kept, it is faster to read all pieces anew.
        let (edit, removed, mut added) = match held {
            Some(held) if removed.len() <= self.count.kept => {
                (held.rules.edit(version, limits), removed, added)
            }
            _ => {
                let sections = (0..).zip(Section::ALL).flat_map(|(place, section)| {
                    let pieces = self::section(&self.document, Some(outline), place);
                    pieces.iter().map(move |piece| (section, piece.clone()))
                });
                let added = sections.collect();
                self.count.kept = 0;
                let edit = Rules::empty(version, limits).edit(version, limits);
                (edit, Vec::new(), added)
            }
        };
        self.count.read = added.len();
        // The pieces are taken from the end of the list.
        added.reverse();
        Ok(Phase::Change {
            edit: Box::new(edit),
            removed,
            added,
        })
    }
}

/// Reads the keys of a version into rules with nothing else. Returns `None` if they are the
/// same as in the version in force.
///
/// # Errors
///
/// If they can't be read.
pub fn keys<D>(
    dialect: &D,
    held: &Version,
    document: &Document,
    outline: Option<&Outline>,
) -> Result<Option<Rules>, Error>
where
    D: Dialect,
{
    let place = Section::ALL.len() - 1;
    let (version, limits) = (held.rules.version, held.rules.limits);
    let mut edit = Rules::empty(version, limits).edit(version, limits);
    match outline {
        Some(outline) => {
            let pieces = section(document, Some(outline), place);
            if held.outline.is_some() && held.section(place) == pieces {
                return Ok(None);
            }
            for piece in pieces {
                edit.add(dialect.parse_entry(Section::Organisations, piece.as_str())?)?;
            }
        }
        None => {
            for (organisation, keys) in dialect.parse_organisations(&document.text())? {
                edit.add(Entry::Organisation(organisation, keys))?;
            }
        }
    }
    edit.build().map(Some)
}

/// Returns the rules in force without the keys that `next`, the keys of a newer version,
/// lacks or gives to another organisation. Returns `None` if there are no such keys.
///
/// If the newer version has no organisations, requests on it need no key, so none is
/// removed.
pub fn without_revoked(held: &Version, next: &Rules) -> Option<Rules> {
    let is_kept = |key: &str, organisation: &Organisation| {
        let other = next.organisation(key);
        !next.has_organisations() || other.is_some_and(|other| other.name == organisation.name)
    };
    held.rules.retain_keys(is_kept)
}
