//! A log replicated with Raft, as a state machine without I/O, and its storage on disk.
//!
//! [`machine::Machine`] is the Raft protocol as a plain state machine: messages,
//! ticks, proposals and "synced" notices go in; messages, writes, committed
//! entries and read grants come out. It reads no clock and draws only from a
//! generator seeded by its [`config::Config`], so that a schedule which once
//! failed fails again from the same seed. [`storage::Store`] keeps what the
//! machine asks to have written, in checksummed segments with one sync for many
//! entries, and refuses to open files that are damaged.
//!
//! Commands in the log are opaque bytes. One process may run several groups; each
//! message carries its group's number on the wire.
//!
//! The safety argument, rule by rule, is in `docs/replicated-log.md`.
//!
//! ```
//! use almondlock_base::time::Mono;
//! use almondlock_quorum::{config::Config, machine::Machine, member::Members, storage::Loaded};
//!
//! # fn main() -> Result<(), almondlock_quorum::error::Error> {
//! let member = almondlock_quorum::member::Member::sample(7);
//! let loaded = Loaded::initial(Members::of_voters([member.clone()]));
//! let mut machine = Machine::new(Config::builder().build()?, member.id, loaded, Mono::ZERO);
//! // Alone, it elects itself once its election timeout passes and its vote is synced.
//! machine.tick(Mono::from_millis(10_000));
//! let now = Mono::from_millis(10_000);
//! let write = machine.take(now).write.map(|write| write.sequence);
//! machine.synced(now, write.unwrap_or(0));
//! assert!(machine.is_leader());
//! # Ok(())
//! # }
//! ```

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod config;
pub mod entry;
pub mod error;
mod log;
pub mod machine;
pub mod member;
pub mod message;
pub mod storage;
