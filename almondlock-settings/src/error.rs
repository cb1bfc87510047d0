//! What is wrong with a file.

use std::fmt;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    // Lines count from 1; 0 stands for the file as a whole, so that such
    // problems sort first.
    line: usize,
    field: String,
    message: String,
    remedy: String,
}

impl Problem {
    pub(crate) fn new(line: usize, field: &str, message: &str, remedy: &str) -> Problem {
        Problem {
            line,
            field: field.to_owned(),
            message: message.to_owned(),
            remedy: remedy.to_owned(),
        }
    }

    /// The line it stands on, if it stands on one.
    pub fn line(&self) -> Option<usize> {
        (self.line > 0).then_some(self.line)
    }

    /// The section and key, as `[section] key`, or empty.
    pub fn field(&self) -> &str {
        &self.field
    }

    /// What is wrong.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// What to do about it.
    pub fn remedy(&self) -> &str {
        &self.remedy
    }
}

/// All that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Errors {
    file: String,
    // Invariant: not empty, sorted by line.
    problems: Vec<Problem>,
}

impl Errors {
    pub(crate) fn new(file: &str, mut problems: Vec<Problem>) -> Errors {
        problems.sort();
        Errors {
            file: file.to_owned(),
            problems,
        }
    }

    pub(crate) fn whole(file: &str, message: &str, remedy: &str) -> Errors {
        Errors::new(file, vec![Problem::new(0, "", message, remedy)])
    }

    /// The file's name as it was given.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// What is wrong, by line.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.problems.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{}", self.file)?;
            if let Some(line) = problem.line() {
                write!(f, ":{line}")?;
            }
            write!(f, ": ")?;
            if !problem.field.is_empty() {
                write!(f, "{}: ", problem.field)?;
            }
            write!(f, "{}; {}", problem.message, problem.remedy)?;
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}
