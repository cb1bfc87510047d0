//! A model request's body: what has to be known of it, without copying it.
//!
//! A million-token prompt is a body of several megabytes. It is received into
//! one buffer and stays there; only the members that decide something are
//! read, and the two that must differ for the engine (a stream is always asked
//! for, with its usage) are exchanged by sending the buffer in slices around
//! them.

use std::sync::Arc;

use almondlock_base::{
    Code,
    id::{Adapter, Model},
    unit::Tokens,
};
use almondlock_intake::bodies::Hold;
use almondlock_wire::attempt::Target;
use ntex::util::Bytes;
use serde::{Deserialize, de::IgnoredAny};
use serde_json::value::RawValue;

use crate::failure::Failure;

/// Answer tokens when the caller names no limit.
const DEFAULT_OUTPUT: u64 = 256;

/// Separates model and adapter in the `model` member.
const ADAPTER_MARK: char = '+';

const STREAM: &[u8] = b"true";
const OPTIONS: &[u8] = br#"{"include_usage":true}"#;
const STREAM_MEMBER: &[u8] = br#""stream":true,"#;
const OPTIONS_MEMBER: &[u8] = br#""stream_options":{"include_usage":true},"#;

/// The two kinds of completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl Shape {
    /// The path it is served under, by us and by engines.
    pub const fn path(self) -> &'static str {
        match self {
            Shape::Text => "/v1/completions",
            Shape::Chat => "/v1/chat/completions",
        }
    }
}

/// What a body asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// The model, with an adapter or without.
    pub target: Target,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Whether a stream shall end with its usage.
    pub usage: bool,
    /// Where the prompt stands in the body: start and end.
    pub prompt: (usize, usize),
    /// Upper bound of the answer.
    pub output: Tokens,
}

#[derive(Deserialize)]
struct Raw<'a> {
    model: String,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    stream: Option<&'a RawValue>,
    #[serde(borrow)]
    stream_options: Option<&'a RawValue>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    n: Option<u64>,
    // These change the shape of the answer in ways that the assembly of
    // streams here doesn't know: refused, since an answer that lacks what was
    // asked for is not whole.
    tools: Option<IgnoredAny>,
    functions: Option<IgnoredAny>,
    logprobs: Option<IgnoredAny>,
    best_of: Option<IgnoredAny>,
    echo: Option<IgnoredAny>,
    audio: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Options {
    #[serde(default)]
    include_usage: bool,
}

/// A body in slices, none of them copied.
#[derive(Clone, Debug)]
pub struct Rope {
    original: Bytes,
    parts: Vec<Bytes>,
    /// The memory that the body takes, given back with the last clone.
    hold: Option<Arc<Hold>>,
    // Invariant: the sum of the parts' lengths.
    length: u64,
}

/// The longest escape in a JSON string: a pair of `\uXXXX`.
const ESCAPE: usize = 12;

impl Rope {
    /// A body that is sent as it came.
    pub fn whole(body: Bytes) -> Rope {
        Rope {
            length: body.len() as u64,
            parts: vec![body.clone()],
            original: body,
            hold: None,
        }
    }

    /// Keeps the memory that the body takes for as long as it is used.
    pub fn with_hold(mut self, hold: Option<Hold>) -> Rope {
        self.hold = hold.map(Arc::new);
        self
    }

    /// The body as it came from the caller.
    pub fn original(&self) -> Rope {
        Rope {
            hold: self.hold.clone(),
            ..Rope::whole(self.original.clone())
        }
    }

    /// The first place at or after `at` where the JSON string that stands at
    /// `start..end`, quotes included, may be cut: not inside a character, and
    /// not where an escape may be under way.
    pub fn cut(&self, at: usize, start: usize, end: usize) -> usize {
        let inside = start + 1..end.saturating_sub(1);
        if at <= inside.start {
            return inside.start;
        }
        let may = |place: &usize| {
            let before = place.saturating_sub(ESCAPE).max(inside.start);
            let plain = self.original[before..*place].iter().all(|b| *b != b'\\');
            plain && self.original[*place] & 0xC0 != 0x80
        };
        (at..inside.end).find(may).unwrap_or(inside.end)
    }

    /// Its length in bytes.
    pub fn len(&self) -> u64 {
        self.length
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Copies up to `limit` bytes from `offset` on into one chunk.
    pub fn read(&self, offset: u64, limit: usize) -> Vec<u8> {
        let mut skip = usize::try_from(offset).unwrap_or(usize::MAX);
        let mut chunk = Vec::with_capacity(limit.min(self.parts.iter().map(Bytes::len).sum()));
        for part in &self.parts {
            let rest = part.get(skip..).unwrap_or_default();
            skip = skip.saturating_sub(part.len());
            let room = limit - chunk.len();
            chunk.extend_from_slice(&rest[..rest.len().min(room)]);
        }
        chunk
    }
}

/// Reads a body.
///
/// # Errors
///
/// A numbered refusal; nothing ran.
pub fn read(shape: Shape, body: &Bytes) -> Result<(Spec, Rope), Failure> {
    let raw: Raw<'_> = serde_json::from_slice(body).map_err(unreadable)?;
    refuse_unsupported(&raw)?;
    let prompt = match shape {
        Shape::Text => raw.prompt.ok_or_else(|| missing("prompt"))?,
        Shape::Chat => raw.messages.ok_or_else(|| missing("messages"))?,
    };
    let output = raw.max_completion_tokens.or(raw.max_tokens);
    let spec = Spec {
        target: target(&raw.model)?,
        stream: flag(raw.stream)?,
        usage: options(raw.stream_options)?,
        prompt: span(body, prompt),
        output: Tokens(output.unwrap_or(DEFAULT_OUTPUT).max(1)),
    };
    let rope = splice(body, raw.stream, raw.stream_options);
    Ok((spec, rope))
}

fn unreadable(error: serde_json::Error) -> Failure {
    let message = format!("the body is not a completion request: {error}");
    Failure::with_message(Code::UnreadableBody, message)
}

fn missing(member: &str) -> Failure {
    Failure::with_message(
        Code::UnreadableBody,
        format!("the member `{member}` is missing"),
    )
}

fn refuse_unsupported(raw: &Raw<'_>) -> Result<(), Failure> {
    let members = [
        ("n", raw.n.is_some_and(|n| n != 1)),
        ("tools", raw.tools.is_some()),
        ("functions", raw.functions.is_some()),
        ("logprobs", raw.logprobs.is_some()),
        ("best_of", raw.best_of.is_some()),
        ("echo", raw.echo.is_some()),
        ("audio", raw.audio.is_some()),
    ];
    let found = members.iter().find(|(_, present)| *present);
    found.map_or(Ok(()), |(name, _)| {
        let message = format!("the member `{name}` is not supported");
        Err(Failure::with_message(Code::UnreadableBody, message))
    })
}

fn target(model: &str) -> Result<Target, Failure> {
    let unknown = |_| Failure::new(Code::UnknownModel);
    let (model, adapter) = match model.split_once(ADAPTER_MARK) {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (model, None),
    };
    let adapter = adapter.map(Adapter::new).transpose().map_err(unknown)?;
    Ok(Target::Model(Model::new(model).map_err(unknown)?, adapter))
}

fn flag(value: Option<&RawValue>) -> Result<bool, Failure> {
    match value.map(RawValue::get) {
        None | Some("false" | "null") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(Failure::with_message(
            Code::UnreadableBody,
            "the member `stream` must be true or false",
        )),
    }
}

fn options(value: Option<&RawValue>) -> Result<bool, Failure> {
    let Some(value) = value else {
        return Ok(false);
    };
    let options: Option<Options> = serde_json::from_str(value.get()).map_err(unreadable)?;
    Ok(options.is_some_and(|o| o.include_usage))
}

/// Where a value borrowed from the body stands in it.
fn span(body: &Bytes, value: &RawValue) -> (usize, usize) {
    let start = value.get().as_ptr() as usize - body.as_ptr() as usize;
    (start, start + value.get().len())
}

/// The body as the engine shall see it.
fn splice(body: &Bytes, stream: Option<&RawValue>, options: Option<&RawValue>) -> Rope {
    let mut cuts: Vec<((usize, usize), &'static [u8])> = Vec::new();
    // An object that has read as a request has a brace and a member after it.
    let open = body.iter().position(|b| *b == b'{').map_or(0, |i| i + 1);
    let mut exchange = |value: Option<&RawValue>, new, member| match value {
        Some(value) => cuts.push((span(body, value), new)),
        None => cuts.push(((open, open), member)),
    };
    exchange(stream, STREAM, STREAM_MEMBER);
    exchange(options, OPTIONS, OPTIONS_MEMBER);
    cuts.sort_by_key(|(range, _)| *range);
    let mut parts = Vec::with_capacity(2 * cuts.len() + 1);
    let mut at = 0;
    for ((start, end), new) in cuts {
        parts.push(body.slice(at..start));
        parts.push(Bytes::from_static(new));
        at = end;
    }
    parts.push(body.slice(at..));
    Rope {
        length: parts.iter().map(|p| p.len() as u64).sum(),
        parts,
        original: body.clone(),
        hold: None,
    }
}
