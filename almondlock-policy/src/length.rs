//! Estimates prompt lengths in tokens and classifies prompts by length.
//!
//! The handling of a prompt depends on its length more than on anything else.
//! The entry knows only its length in bytes: an exact count would need each
//! model's tokenizer, and would take its time for up to six megabytes. Instead,
//! an [`Estimator`] keeps the ratio of bytes to tokens of each model, and
//! corrects it by the token counts that engines report.
//!
//! ```
//! use almondlock_base::{id::Model, unit::Tokens};
//! use almondlock_policy::length::{Class, Estimator};
//!
//! let model = Model::new("large")?;
//! let mut estimator = Estimator::default();
//! assert_eq!(estimator.estimate_tokens(&model, 4_000), Tokens(1_000));
//! // This model's tokens are shorter: the engine counted 2,000.
//! for _ in 0..200 {
//!     estimator.observe(&model, 4_000, Tokens(2_000));
//! }
//! let tokens = estimator.estimate_tokens(&model, 4_000);
//! assert!(tokens > Tokens(1_900));
//! assert_eq!(Class::of(tokens), Class::Short);
//! # Ok::<(), almondlock_base::id::Error>(())
//! ```

use std::collections::HashMap;

use almondlock_base::{id::Model, unit::Tokens};

/// The longest prompt of class [`Class::Short`].
pub const SHORT_LIMIT: Tokens = Tokens(4_096);
/// The longest prompt of class [`Class::Medium`].
pub const MEDIUM_LIMIT: Tokens = Tokens(32_768);
/// The longest prompt of class [`Class::Long`].
pub const LONG_LIMIT: Tokens = Tokens(262_144);

/// Class of prompts by length. Prompts of a class are treated alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Up to [`SHORT_LIMIT`]: a fraction of a second of prefill.
    Short,
    /// Up to [`MEDIUM_LIMIT`].
    Medium,
    /// Up to [`LONG_LIMIT`]: many seconds of prefill.
    Long,
    /// Longer than [`LONG_LIMIT`], possibly too long for the memory of one engine.
    Huge,
}

impl Class {
    /// Every class, shortest first.
    pub const ALL: [Class; 4] = [Class::Short, Class::Medium, Class::Long, Class::Huge];

    /// Returns the class of a prompt of this length.
    ///
    /// ```
    /// use almondlock_base::unit::Tokens;
    /// use almondlock_policy::length::Class;
    ///
    /// assert_eq!(Class::of(Tokens(900)), Class::Short);
    /// assert_eq!(Class::of(Tokens(1_000_000)), Class::Huge);
    /// ```
    pub const fn of(prompt: Tokens) -> Class {
        match prompt.0 {
            n if n <= SHORT_LIMIT.0 => Class::Short,
            n if n <= MEDIUM_LIMIT.0 => Class::Medium,
            n if n <= LONG_LIMIT.0 => Class::Long,
            _ => Class::Huge,
        }
    }

    /// Returns the position of the class in [`Class::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Class::Short => "short",
            Class::Medium => "medium",
            Class::Long => "long",
            Class::Huge => "huge",
        }
    }
}

/// Number of bytes per token that is assumed until an engine has reported.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Range of the number of bytes per token. It limits the effect of a wrong report, which could
/// otherwise make a prompt seem empty or too large for the fleet.
const BYTES_PER_TOKEN_RANGE: std::ops::RangeInclusive<f64> = 0.5..=16.0;
/// Weight of a new report in the running average.
const REPORT_WEIGHT: f64 = 0.02;
/// Length in bytes below which reports are ignored, since the template around a short prompt
/// dominates its token count.
const MIN_SAMPLE_BYTES: u64 = 1_024;
/// Largest number of models whose ratio is kept. It is more than a fleet serves, and bounds the
/// memory that made-up names can take.
const MAX_MODELS: usize = 1_024;

/// Estimates the number of tokens from the number of bytes.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    // Bytes per token of each model. Invariant: within `BYTES_PER_TOKEN_RANGE`.
    ratios: HashMap<Model, f64>,
}

impl Estimator {
    /// Returns the estimated number of tokens in a prompt of this many bytes.
    pub fn estimate_tokens(&self, model: &Model, bytes: u64) -> Tokens {
        let ratio = self.ratios.get(model).copied().unwrap_or(BYTES_PER_TOKEN);
        Tokens((bytes as f64 / ratio).ceil() as u64)
    }

    /// Adjusts the ratio of a model by the number of tokens that an engine counted.
    pub fn observe(&mut self, model: &Model, bytes: u64, tokens: Tokens) {
        if bytes < MIN_SAMPLE_BYTES || tokens == Tokens::ZERO {
            return;
        }
        let (least, most) = BYTES_PER_TOKEN_RANGE.into_inner();
        let seen = (bytes as f64 / tokens.0 as f64).clamp(least, most);
        if let Some(ratio) = self.ratios.get_mut(model) {
            *ratio += (seen - *ratio) * REPORT_WEIGHT;
        } else if self.ratios.len() < MAX_MODELS {
            let ratio = BYTES_PER_TOKEN + (seen - BYTES_PER_TOKEN) * REPORT_WEIGHT;
            self.ratios.insert(model.clone(), ratio);
        }
    }
}
