//! What requests have in common.

use almondlock_base::id::Fingerprint;

/// What a request can be recognised by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Profile {
    /// Fingerprint of its organisation.
    pub organisation: Fingerprint,
    /// Fingerprints of what other requests may share with it: first the whole request, which
    /// its copies share, then parts of its prompt.
    ///
    /// Invariant: none twice.
    pub prints: Vec<Fingerprint>,
}

/// What some requests have in common. It says which requests are suspected with them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The organisation, if all of them belong to one.
    pub organisation: Option<Fingerprint>,
    /// Fingerprints that all of them have.
    pub prints: Vec<Fingerprint>,
}

impl Rule {
    /// Makes the rule of a single request.
    pub fn of(profile: &Profile) -> Rule {
        Rule {
            organisation: Some(profile.organisation),
            prints: profile.prints.clone(),
        }
    }

    /// Drops what another request doesn't share. Returns whether that was anything.
    pub fn narrow(&mut self, profile: &Profile) -> bool {
        let before = self.prints.len();
        self.prints.retain(|print| profile.prints.contains(print));
        let is_other = self.organisation.is_some_and(|o| o != profile.organisation);
        if is_other {
            self.organisation = None;
        }
        is_other || self.prints.len() < before
    }

    /// Drops a fingerprint, unless it is the only one. Returns whether it was there.
    pub fn remove(&mut self, print: &Fingerprint) -> bool {
        let before = self.prints.len();
        if before > 1 {
            self.prints.retain(|other| other != print);
        }
        self.prints.len() < before
    }

    /// Returns whether the rule names less than another one.
    pub fn is_wider_than(&self, other: &Rule) -> bool {
        let size = |rule: &Rule| (rule.prints.len(), rule.organisation.is_some());
        size(self) < size(other)
    }

    /// Returns whether a request has all that the rule names.
    pub fn matches(&self, profile: &Profile) -> bool {
        let is_same = self.organisation.is_none_or(|o| o == profile.organisation);
        is_same && self.matches_prints(profile)
    }

    /// Returns whether a request of any organisation has all fingerprints that the rule names.
    pub fn matches_prints(&self, profile: &Profile) -> bool {
        let mut prints = self.prints.iter();
        prints.all(|print| profile.prints.contains(print))
    }
}
