//! The limits of all replicated tables.
//!
//! They are constants and not settings, because replicas with different limits would refuse
//! different commands and hold different states. For the same reason a release that changes
//! a limit has to be installed on all replicas before the limit is reached; nothing enforces
//! that yet. A full table refuses new entries with
//! [`LimitReached`](almondlock_base::Code::LimitReached). Nothing is evicted to make room
//! unless the constant's comment says so.

use std::time::Duration;

/// Maximum number of claims of all organisations. At the measured size of a claim
/// (`docs/claims.md`) the table fits the memory of a replica.
pub const MAX_CLAIMS: usize = 100_000;
/// Maximum number of claims of one organisation, so that one can't fill the table for
/// all.
pub const MAX_CLAIMS_PER_ORGANISATION: usize = MAX_CLAIMS / 4;
/// Maximum number of entry hosts whose last incarnation is remembered for their claims.
pub const MAX_CLAIM_HOSTS: usize = 4_096;
/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;
/// Maximum length of the hash of a claimed request's body, in bytes.
pub const MAX_DIGEST_BYTES: usize = 64;
/// Maximum size of a kept outcome. A larger one is dropped, and a copy of the request is
/// told that it ran.
pub const MAX_OUTCOME_BYTES: usize = 64 * 1024;
/// Maximum size of all kept outcomes. The oldest are evicted first; their claims stay.
pub const MAX_TOTAL_OUTCOME_BYTES: usize = 16 * 1024 * 1024;
/// Shortest time for which a claim is kept after its end.
pub const MIN_CLAIM_RETENTION: Duration = Duration::from_secs(60);
/// Longest time for which a claim is kept after its end.
pub const MAX_CLAIM_RETENTION: Duration = Duration::from_secs(7 * 24 * 3600);
/// Time after its organisation's longest deadline when an open claim counts as lost. It
/// gives an entry host time to get its settlement through.
pub const OPEN_CLAIM_MARGIN: Duration = Duration::from_secs(600);
/// Age at which any open claim counts as lost. No deadline is that long.
pub const MAX_OPEN_CLAIM_AGE: Duration = Duration::from_secs(24 * 3600);
/// Time for which a freed claim remembers the attempt that freed it.
pub const FREED_CLAIM_RETENTION: Duration = Duration::from_secs(120);
/// Shortest time between two sweeps for expired claims and fingerprints.
pub const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// The time after the notice of an instance for which another one, of its next incarnation, may
/// be a late copy of it.
pub const LATE_NOTICE: Duration = Duration::from_secs(60);
/// The time between two records of the numbers of heartbeats.
pub const NUMBERS_INTERVAL: Duration = Duration::from_secs(5);
/// Largest step by which one command may advance the clock of the state.
pub const MAX_CLOCK_STEP: Duration = Duration::from_secs(60);

/// Maximum number of registered upstreams, and of names whose earlier incarnations are
/// remembered.
pub const MAX_UPSTREAMS: usize = 4_000;
/// Maximum number of replaced incarnations that are remembered for each upstream.
pub const MAX_REPLACED_INCARNATIONS: usize = 8;
/// Time for which the incarnations of an upstream that is gone are remembered.
pub const INCARNATION_RETENTION: Duration = Duration::from_secs(30 * 24 * 3600);
/// Largest engine memory that a registration may state, in tokens.
pub const MAX_CAPACITY_TOKENS: u64 = 1 << 36;

/// Maximum number of suspected and refused fingerprints.
pub const MAX_QUARANTINES: usize = 4_096;
/// Maximum number of entry hosts that may share the organisations' limits.
pub const MAX_ENTRY_HOSTS: u32 = 10_000;
/// Maximum number of suspected and refused fingerprints of one organisation.
pub const MAX_QUARANTINES_PER_ORGANISATION: usize = 256;
/// Number of deaths, in all, from which a fingerprint is refused.
pub const MAX_DEATHS: usize = 3;
/// Number of deaths for which no other fingerprint is blamed, from which a fingerprint is
/// refused.
pub const MAX_SOLE_DEATHS: usize = 2;
/// Time for which a suspicion lasts after the last death.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(3600);
/// Time for which a fingerprint is refused after the last death.
pub const REFUSAL_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Maximum number of organisations.
pub const MAX_ORGANISATIONS: usize = 4_000;
/// Maximum number of keys of one organisation.
pub const MAX_KEYS_PER_ORGANISATION: usize = 16;
/// Maximum number of models.
pub const MAX_MODELS: usize = 64;
/// Maximum number of adapters of one model.
pub const MAX_ADAPTERS_PER_MODEL: usize = 512;
/// Maximum number of plain services.
pub const MAX_SERVICES: usize = 256;
/// Maximum number of instances, which are upstreams without a sidecar.
pub const MAX_INSTANCES: usize = 4_096;
/// Maximum number of failure domains that are evacuated at the same time.
pub const MAX_EVACUATIONS: usize = 256;
/// Maximum number of names of gone instances that are remembered, so that a delayed
/// heartbeat brings none back.
pub const MAX_GONE_INSTANCES: usize = 4_096;
/// Maximum number of settings.
pub const MAX_SETTINGS: usize = 256;
/// Maximum length of a setting's name or value, or of a reason, in bytes.
pub const MAX_TEXT_BYTES: usize = 1_024;
/// Maximum number of operators.
pub const MAX_OPERATORS: usize = 256;
/// Maximum number of replicas.
pub const MAX_REPLICAS: usize = 7;

/// Maximum number of plans that are not over.
pub const MAX_OPEN_PLANS: usize = 64;
/// Maximum number of plans that are kept after they are over. The oldest are removed
/// first.
pub const MAX_ENDED_PLANS: usize = 512;
/// Time for which a proposed plan waits for confirmation.
pub const PROPOSAL_LIFETIME: Duration = Duration::from_secs(24 * 3600);
/// Maximum number of change numbers that are remembered, each with its change. The oldest
/// are removed first: at 2,700 changes a day, after a day and a half.
pub const MAX_CHANGE_NUMBERS: usize = 4_096;
/// Maximum length of a change number, in bytes.
pub const MAX_CHANGE_NUMBER_BYTES: usize = 64;
/// Maximum number of records of the history. The oldest are removed first.
pub const MAX_HISTORY_RECORDS: usize = 8_192;
