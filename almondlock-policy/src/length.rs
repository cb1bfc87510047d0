//! How long a prompt is, and what that makes of it.
//!
//! The length of a prompt decides more than anything else what happens to it.
//! The entry has only its bytes: counting tokens exactly would need each
//! model's tokenizer there, and its time for each of up to six megabytes. An
//! [`Estimator`] keeps the ratio of bytes to tokens of each model instead, and
//! corrects it by what engines report of the prompts they ran.
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

/// Prompts that are treated alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Up to [`SHORT_LIMIT`]: a fraction of a second of prefill.
    Short,
    /// Up to [`MEDIUM_LIMIT`].
    Medium,
    /// Up to [`LONG_LIMIT`]: many seconds of prefill.
    Long,
    /// Longer than that, perhaps longer than one engine holds.
    Huge,
}

impl Class {
    /// Every class, shortest first.
    pub const ALL: [Class; 4] = [Class::Short, Class::Medium, Class::Long, Class::Huge];

    /// The class of a prompt of this length.
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

    /// The class's place in [`Class::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// The name used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Class::Short => "short",
            Class::Medium => "medium",
            Class::Long => "long",
            Class::Huge => "huge",
        }
    }
}

/// Bytes a token stands for until an engine has reported.
const BYTES: f64 = 4.0;
/// Bounds of the ratio, so that a wrong report can't make a prompt vanish or
/// fill the fleet.
const BYTES_RANGE: std::ops::RangeInclusive<f64> = 0.5..=16.0;
/// How much a report counts against what was known.
const GAIN: f64 = 0.02;
/// Prompts with fewer bytes say little: what surrounds a prompt weighs too much.
const SAMPLE: u64 = 1_024;
/// Models whose ratio is kept. More than a fleet serves; a bound against
/// made-up names.
const MODELS: usize = 1_024;

/// Estimates tokens from bytes.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    // Invariant: every ratio lies within `BYTES_RANGE`.
    ratios: HashMap<Model, f64>,
}

impl Estimator {
    /// How many tokens a prompt of this many bytes has, about.
    pub fn estimate_tokens(&self, model: &Model, bytes: u64) -> Tokens {
        let ratio = self.ratios.get(model).copied().unwrap_or(BYTES);
        Tokens((bytes as f64 / ratio).ceil() as u64)
    }

    /// Learns from a prompt that an engine counted.
    pub fn observe(&mut self, model: &Model, bytes: u64, tokens: Tokens) {
        if bytes < SAMPLE || tokens == Tokens::ZERO {
            return;
        }
        let (least, most) = BYTES_RANGE.into_inner();
        let seen = (bytes as f64 / tokens.0 as f64).clamp(least, most);
        if let Some(ratio) = self.ratios.get_mut(model) {
            *ratio += (seen - *ratio) * GAIN;
        } else if self.ratios.len() < MODELS {
            let ratio = BYTES + (seen - BYTES) * GAIN;
            self.ratios.insert(model.clone(), ratio);
        }
    }
}
