//! What organisations have in flight at engines: this host's part ([`Ledger`]), and what
//! relays tell of all hosts ([`Known`]).

mod known;
mod ledger;
mod notice;

pub use self::{
    known::{Finding, Known},
    ledger::{Claim, Ledger},
    notice::{Notices, OTHERS},
};
