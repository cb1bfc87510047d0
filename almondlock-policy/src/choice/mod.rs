//! Selects the upstream for an attempt.
//!
//! An entry host decides by itself, without delay, and mostly on stale data: it
//! knows an upstream's load from the last answer or probe. If every entry host
//! chose the upstream with the lowest reported load, all of them would send to
//! the same one until the next reports arrived. [`Sampling`] avoids
//! this in four ways: it compares a few upstreams sampled at random from the
//! host's subset, it counts the host's own attempts as soon as they are sent, it
//! lets old reports decay towards the average, and it chooses an upstream with
//! too many requests in flight only if all candidates have too many (the
//! hot/cold rule of Prequal).
//!
//! Upstreams that are likely to have the prompt's prefix cached are candidates
//! as well. They are found by rendezvous hashing, so that all entry hosts agree
//! on them without communicating. A wrong guess costs no more than the time of
//! the prefill.
//!
//! [`Random`] and [`LeastReported`] are baselines to compare with.
//!
//! A [`Table`] holds the upstreams that can serve the same requests, for example
//! one version of a model, and follows the configuration. The time of a decision
//! does not depend on the size of the table, except for one cheap hash per
//! upstream if the prompt has a prefix.
//!
//! ```
//! use almondlock_base::{id::{Domain, Host, Region, Upstream}, time::Mono, unit::Tokens};
//! use almondlock_policy::choice::{Config, Locality, Origin, Picker, Query, Sampling, Table};
//! use rand::{SeedableRng, rngs::SmallRng};
//!
//! let origin = Origin {
//!     host: Host::new("entry-1")?,
//!     domain: Domain::new("leith")?,
//!     region: Region::new("edinburgh")?,
//! };
//! let mut table = Table::new(Config::default(), origin);
//! let name = Upstream::new("engine-1")?;
//! let locality = Locality { domain: Domain::new("gyle")?, region: Region::new("edinburgh")? };
//! table.insert(&name, locality);
//!
//! let mut rng = SmallRng::seed_from_u64(1);
//! let query = Query { prompt: Tokens(1_000), ..Query::default() };
//! let index = Sampling.pick(&table, &query, Mono::ZERO, &mut rng).unwrap();
//! assert_eq!(table.name(index), Some(&name));
//! # Ok::<(), almondlock_base::id::Error>(())
//! ```

mod hint;
mod load;
mod pick;
mod subset;
mod table;

pub use self::{
    load::Report,
    pick::{LeastReported, Picker, Random, Sampling},
    table::{Config, Index, Locality, Origin, Query, Table},
};
