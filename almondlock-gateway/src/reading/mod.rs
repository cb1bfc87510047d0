//! Reads a published configuration, as far as it differs from the one in force.
//!
//! A version is read in steps, each of some tens of microseconds, so that whoever reads
//! decides when to pause. The version in force isn't touched meanwhile, and what was read of
//! another one is lost with its [`Reader`].
//!
//! What pieces of the version in force say is kept in its [`Rules`]; a piece that a new
//! version lacks is read once more to know what to take away. This costs less memory than a
//! table of what each piece says.

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
    /// Its text.
    pub document: Document,
    /// Where its pieces stand. None: it was read whole.
    pub outline: Option<Outline>,
    /// What it says.
    pub rules: Arc<Rules>,
}

impl Version {
    /// The pieces of a section.
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

/// How much was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Pieces that the version before lacks.
    pub read: usize,
    /// Pieces that it has.
    pub kept: usize,
}

/// What has become of a version after a step.
#[derive(Debug)]
pub enum Progress {
    /// Steps are left.
    More,
    /// It is read, or can't be.
    Done(Result<Version, Error>),
}

/// Reads one version.
#[derive(Debug)]
pub struct Reader {
    held: Option<Arc<Version>>,
    document: Document,
    outline: Option<Outline>,
    phase: Phase,
    /// How much it has read so far.
    pub count: Count,
}

#[derive(Debug)]
enum Phase {
    /// Without an outline there is one step.
    Whole,
    /// Looks for differences, section by section.
    Compare {
        place: usize,
        comparison: Comparison,
        found: Found,
    },
    /// Takes away and adds, the last ones first.
    Change {
        edit: Box<Edit>,
        gone: Vec<(Section, Piece)>,
        fresh: Vec<(Section, Piece)>,
    },
    /// Nothing is left to do.
    Finished,
}

/// Pieces that differ.
#[derive(Debug, Default)]
struct Found {
    gone: Vec<(Section, Piece)>,
    fresh: Vec<(Section, Piece)>,
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

    /// The version that is read.
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

    /// Reads some more.
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
            Phase::Finished => Err(Error::new("it was read before")),
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
                mut gone,
                mut fresh,
            } => {
                if let Some((section, piece)) = gone.pop() {
                    edit.remove(dialect.parse_entry(section, piece.as_str())?);
                } else if let Some((section, piece)) = fresh.pop() {
                    edit.add(dialect.parse_entry(section, piece.as_str())?)?;
                } else {
                    return edit.build().map(Some);
                }
                self.phase = Phase::Change { edit, gone, fresh };
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
            return self.change(found);
        };
        let held = self.held.as_deref();
        let old = held.map_or(&[] as &[Piece], |held| held.section(place));
        let new = self::section(&self.document, self.outline.as_ref(), place);
        let difference = comparison.step(old, new);
        self.count.kept += difference.kept;
        let mark = |piece| (*section, piece);
        found.gone.extend(difference.gone.into_iter().map(mark));
        found.fresh.extend(difference.fresh.into_iter().map(mark));
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

    /// What has to be done once the differences are known.
    fn change(&mut self, found: Found) -> Result<Phase, Error> {
        let Some(outline) = &self.outline else {
            return Err(Error::new("no outline"));
        };
        let (version, limits) = (outline.version, outline.limits);
        let Found { gone, fresh } = found;
        let held = self.held.as_ref().filter(|held| held.outline.is_some());
        // Beyond half of the pieces, reading all anew takes less.
        let (edit, gone, mut fresh) = match held {
            Some(held) if gone.len() <= self.count.kept => {
                (held.rules.edit(version, limits), gone, fresh)
            }
            _ => {
                let sections = (0..).zip(Section::ALL).flat_map(|(place, section)| {
                    let pieces = self::section(&self.document, Some(outline), place);
                    pieces.iter().map(move |piece| (section, piece.clone()))
                });
                let fresh = sections.collect();
                self.count.kept = 0;
                let edit = Rules::empty(version, limits).edit(version, limits);
                (edit, Vec::new(), fresh)
            }
        };
        self.count.read = fresh.len();
        // They are taken from the end.
        fresh.reverse();
        Ok(Phase::Change {
            edit: Box::new(edit),
            gone,
            fresh,
        })
    }
}

/// Reads the keys of a version into rules with nothing else; None if they are those in force.
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

/// The rules in force without the keys that a version with the keys `next` lacks or gives to
/// another organisation; None if there are none such.
///
/// A version without organisations asks for no keys, so none is refused on its account.
pub fn without_revoked(held: &Version, next: &Rules) -> Option<Rules> {
    let is_kept = |key: &str, organisation: &Organisation| {
        let other = next.organisation(key);
        !next.has_organisations() || other.is_some_and(|other| other.name == organisation.name)
    };
    held.rules.retain_keys(is_kept)
}
