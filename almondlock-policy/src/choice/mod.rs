//! Which upstream an attempt goes to.
//!
//! An entry host decides alone, at once, and mostly on old news: what it knows
//! of an upstream's load is what the last answer or probe from there said. If
//! every entry host went for the upstream with the lowest figure, all of them
//! would pile onto the same one until the next figures came. [`Sampling`] avoids
//! that in four ways: it looks at a few upstreams drawn at random from a subset
//! of its own, it counts what it has sent itself at once, it lets old figures
//! fade towards the average, and it takes upstreams with too much in flight
//! only when all candidates are like that (the hot/cold rule of Prequal).
//!
//! Where the start of a prompt is likely cached is one more candidate, found by
//! rendezvous hashing, on which all entry hosts agree without talking. A cache
//! is a hint: a wrong one costs the time of the prefill, no more.
//!
//! [`Random`] and [`LeastReported`] are kept as baselines.
//!
//! One [`Table`] holds the upstreams that can serve the same thing, for example
//! one version of a model; it is changed as the configuration changes, and a
//! decision does not depend on how large it is, but for one cheap pass of
//! hashing when a prompt has a prefix.
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
