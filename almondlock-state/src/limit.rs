//! The bounds of every replicated table, in one place.
//!
//! They are constants and not settings: replicas that disagreed about a bound
//! would refuse different commands and hold different states. For the same reason
//! a release that changes one has to be brought to all replicas before the bound
//! is reached; there is no gate for that yet. A full table
//! refuses with [`LimitReached`](almondlock_base::Code::LimitReached); nothing
//! is dropped to make room unless its section says so.

use std::time::Duration;

/// Claims in all. At the measured bytes per claim (`docs/claims.md`) the table
/// stays within a replica's memory.
pub const MAX_CLAIMS: usize = 100_000;
/// Claims of one organisation, so that one can't fill the table for all.
pub const MAX_CLAIMS_PER_ORGANISATION: usize = MAX_CLAIMS / 4;
/// Entry hosts whose last life is remembered.
pub const MAX_CLAIM_HOSTS: usize = 4_096;
/// The longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;
/// The longest hash of a claim's body, in bytes.
pub const MAX_DIGEST_BYTES: usize = 64;
/// An outcome above this size is not kept: a second copy is told that it ran.
pub const MAX_OUTCOME_BYTES: usize = 64 * 1024;
/// Outcomes kept in all; the oldest are dropped first, their claims stay.
pub const MAX_TOTAL_OUTCOME_BYTES: usize = 16 * 1024 * 1024;
/// The shortest time a claim is kept after it ended.
pub const MIN_CLAIM_RETENTION: Duration = Duration::from_secs(60);
/// The longest time a claim is kept after it ended.
pub const MAX_CLAIM_RETENTION: Duration = Duration::from_secs(7 * 24 * 3600);
/// An open claim counts as lost this long after its organisation's longest
/// deadline. Enough for an entry host to get its settlement through.
pub const OPEN_CLAIM_MARGIN: Duration = Duration::from_secs(600);
/// An open claim as old as this counts as lost: no deadline is that long.
pub const MAX_OPEN_CLAIM_AGE: Duration = Duration::from_secs(24 * 3600);
/// How long a freed claim remembers the attempt that gave it back.
pub const FREED_CLAIM_RETENTION: Duration = Duration::from_secs(120);
/// Claims and fingerprints are looked through for expiry at most this often.
pub const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// How far one command may move the state's clock.
pub const MAX_CLOCK_STEP: Duration = Duration::from_secs(60);

/// Registered upstreams, and names whose earlier lives are remembered.
pub const MAX_UPSTREAMS: usize = 4_000;
/// Earlier lives remembered of each upstream.
pub const MAX_REPLACED_INCARNATIONS: usize = 8;
/// How long the lives of an upstream that is gone are remembered.
pub const INCARNATION_RETENTION: Duration = Duration::from_secs(30 * 24 * 3600);
/// The largest engine memory believed, in tokens.
pub const MAX_CAPACITY_TOKENS: u64 = 1 << 36;

/// Fingerprints under suspicion or refused.
pub const MAX_QUARANTINES: usize = 4_096;
/// Entry hosts that may share the organisations' limits.
pub const MAX_ENTRY_HOSTS: u32 = 10_000;
/// Fingerprints of one organisation.
pub const MAX_QUARANTINES_PER_ORGANISATION: usize = 256;
/// Deaths in all from which a fingerprint is refused.
pub const MAX_DEATHS: usize = 3;
/// Deaths that blame it alone from which a fingerprint is refused.
pub const MAX_SOLE_DEATHS: usize = 2;
/// How long a suspicion lasts after the last death.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(3600);
/// How long a fingerprint is refused after the last death.
pub const REFUSAL_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Organisations.
pub const MAX_ORGANISATIONS: usize = 4_000;
/// Keys of one organisation.
pub const MAX_KEYS_PER_ORGANISATION: usize = 16;
/// Models.
pub const MAX_MODELS: usize = 64;
/// Adapters of one model.
pub const MAX_ADAPTERS_PER_MODEL: usize = 512;
/// Plain services.
pub const MAX_SERVICES: usize = 256;
/// Instances that are called without a sidecar.
pub const MAX_INSTANCES: usize = 4_096;
/// Failure domains that are evacuated at one time.
pub const MAX_EVACUATIONS: usize = 256;
/// Names of instances that are gone, kept so that a delayed heartbeat brings none back.
pub const MAX_GONE_INSTANCES: usize = 4_096;
/// Settings.
pub const MAX_SETTINGS: usize = 256;
/// Bytes of a setting's name or value, a reason, or a method list's entry.
pub const MAX_TEXT_BYTES: usize = 1_024;
/// Operators.
pub const MAX_OPERATORS: usize = 256;
/// Replicas.
pub const MAX_REPLICAS: usize = 7;

/// Plans that are not over yet.
pub const MAX_OPEN_PLANS: usize = 64;
/// Plans remembered after they are over; the oldest go first.
pub const MAX_ENDED_PLANS: usize = 512;
/// How long a proposed plan waits for its confirmation.
pub const PROPOSAL_LIFETIME: Duration = Duration::from_secs(24 * 3600);
/// Change numbers remembered, each with the change it stands for. The oldest
/// go first: at 2,700 changes a day, a day and a half.
pub const MAX_CHANGE_NUMBERS: usize = 4_096;
/// The longest change number, in bytes.
pub const MAX_CHANGE_NUMBER_BYTES: usize = 64;
/// Records of the history; the oldest go first.
pub const MAX_HISTORY_RECORDS: usize = 8_192;
