//! Tracks organisations' shares of the engines: what they have in flight at this host
//! ([`Ledger`]), and which are over their share by the sums of all hosts ([`Findings`]).

mod findings;
mod ledger;
mod notice;

pub use self::{
    findings::{Finding, Findings},
    ledger::{Claim, Ledger},
    notice::{Notices, OTHERS},
};
