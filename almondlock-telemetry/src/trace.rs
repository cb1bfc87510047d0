//! Identifiers of W3C Trace Context.
//!
//! A caller may send a `traceparent` header; whoever handles the request makes
//! a child of it for each hop and hands that on. The header is input from
//! strangers: an unreadable one is as good as none, and a new trace begins.
//!
//! ```
//! use almondlock_telemetry::trace::Context;
//! use rand::{SeedableRng, rngs::SmallRng};
//!
//! let mut rng = SmallRng::seed_from_u64(1);
//! let text = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
//! let caller = Context::parse(text).unwrap();
//! let hop = caller.child(&mut rng);
//! assert_eq!(hop.trace(), caller.trace());
//! assert_ne!(hop.span(), caller.span());
//! ```

use std::fmt;

use rand::RngCore;

/// Names a whole trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TraceId(
    // Invariant: not all zero, which the standard keeps for "none".
    [u8; 16],
);

/// Names one span of a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SpanId(
    // Invariant: not all zero.
    [u8; 8],
);

impl fmt::Display for TraceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Display for SpanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// Where in which trace a piece of work belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Context {
    trace: TraceId,
    span: SpanId,
    sampled: bool,
}

const SAMPLED: u8 = 1;

impl Context {
    /// Begins a trace.
    pub fn root<R>(rng: &mut R) -> Context
    where
        R: RngCore,
    {
        Context {
            trace: TraceId(draw(rng)),
            span: SpanId(draw(rng)),
            sampled: true,
        }
    }

    /// Reads a `traceparent` header. `None` when it breaks the standard.
    pub fn parse(text: &str) -> Option<Context> {
        let mut parts = text.trim().split('-');
        let [version] = bytes(parts.next()?)?;
        let trace = bytes::<16>(parts.next()?)?;
        let span = bytes::<8>(parts.next()?)?;
        let [flags] = bytes(parts.next()?)?;
        // Version 255 is forbidden; a later version may append fields.
        let closed = version == 0 && parts.next().is_some();
        if version == u8::MAX || closed || trace == [0; 16] || span == [0; 8] {
            return None;
        }
        Some(Context {
            trace: TraceId(trace),
            span: SpanId(span),
            sampled: flags & SAMPLED != 0,
        })
    }

    /// A new span of the same trace.
    #[must_use]
    pub fn child<R>(&self, rng: &mut R) -> Context
    where
        R: RngCore,
    {
        Context {
            span: SpanId(draw(rng)),
            ..*self
        }
    }

    /// The trace.
    pub const fn trace(&self) -> TraceId {
        self.trace
    }

    /// The span.
    pub const fn span(&self) -> SpanId {
        self.span
    }

    /// Whether whoever began the trace wants it recorded.
    pub const fn is_sampled(&self) -> bool {
        self.sampled
    }
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = if self.sampled { SAMPLED } else { 0 };
        write!(f, "00-{}-{}-{flags:02x}", self.trace, self.span)
    }
}

fn draw<R, const N: usize>(rng: &mut R) -> [u8; N]
where
    R: RngCore,
{
    let mut id = [0; N];
    rng.fill_bytes(&mut id);
    if id == [0; N] {
        id[N - 1] = 1;
    }
    id
}

/// Reads exactly `N` bytes of lower-case hexadecimal digits.
fn bytes<const N: usize>(text: &str) -> Option<[u8; N]> {
    let digits = text.as_bytes();
    if digits.len() != 2 * N {
        return None;
    }
    let mut out = [0; N];
    for (byte, pair) in out.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = digit(pair[0])? << 4 | digit(pair[1])?;
    }
    Some(out)
}

const fn digit(byte: u8) -> Option<u8> {
    match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        _ => None,
    }
}
