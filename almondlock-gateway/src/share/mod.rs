//! What organisations have in flight at engines: this host's part ([`Ledger`]), and what
//! relays tell of all hosts ([`Known`]).

mod findings;
mod ledger;
mod notice;

pub use self::{
    findings::{Finding, Findings},
    ledger::{Claim, Ledger},
    notice::{Notices, OTHERS},
};
