//! Parts of an answer on their way back.
//!
//! Each frame names its attempt and the offset at which it continues the
//! answer. [`Assembly`] lets a frame through only when both fit, so that the
//! caller never gets part of another answer, a part twice, or a part after one
//! that was lost, whatever the order in which frames arrive.

use almondlock_base::{id::Attempt, unit::Tokens};

use crate::{
    almondlock_capnp::{frame, usage},
    attempt,
    error::Error,
};

/// A part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The attempt that it answers.
    pub attempt: Attempt,
    /// Units (tokens of a model's answer, bytes of a service's) before it.
    pub offset: u64,
    /// Units in it.
    pub count: u32,
    /// What it carries.
    pub part: Part,
}

/// What a frame carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// The answer begins.
    Begin {
        /// HTTP status.
        status: u16,
        /// The body's type.
        content_type: String,
    },
    /// Text of a model's answer.
    Text(String),
    /// Bytes of a service's answer.
    Bytes(Vec<u8>),
    /// The closing record: without it the answer is not whole.
    End(Usage),
}

/// What an answer cost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Of these, found in the engine's prefix cache.
    pub cached: Tokens,
    /// Tokens of the answer.
    pub output: Tokens,
    /// Why it ended: `stop`, `length`.
    pub finish: String,
}

/// Reads a frame.
pub fn read(from: frame::Reader<'_>) -> Result<Frame, Error> {
    let part = match from.which()? {
        frame::Begin(begin) => {
            let begin = begin?;
            Part::Begin {
                status: begin.get_status(),
                content_type: begin.get_content_type()?.to_string()?,
            }
        }
        frame::Text(text) => Part::Text(text?.to_string()?),
        frame::Bytes(bytes) => Part::Bytes(bytes?.to_vec()),
        frame::End(usage) => Part::End(read_usage(usage?)?),
    };
    Ok(Frame {
        attempt: attempt::read_id(from.get_attempt()?)?,
        offset: from.get_offset(),
        count: from.get_count(),
        part,
    })
}

/// Writes a frame.
pub fn write(frame: &Frame, mut to: frame::Builder<'_>) {
    attempt::write_id(&frame.attempt, to.reborrow().init_attempt());
    to.set_offset(frame.offset);
    to.set_count(frame.count);
    match &frame.part {
        Part::Begin {
            status,
            content_type,
        } => {
            let mut begin = to.init_begin();
            begin.set_status(*status);
            begin.set_content_type(content_type);
        }
        Part::Text(text) => to.set_text(text),
        Part::Bytes(bytes) => to.set_bytes(bytes),
        Part::End(usage) => write_usage(usage, to.init_end()),
    }
}

fn read_usage(from: usage::Reader<'_>) -> Result<Usage, Error> {
    Ok(Usage {
        prompt: Tokens(from.get_prompt_tokens()),
        cached: Tokens(from.get_cached_tokens()),
        output: Tokens(from.get_output_tokens()),
        finish: from.get_finish()?.to_string()?,
    })
}

fn write_usage(usage: &Usage, mut to: usage::Builder<'_>) {
    to.set_prompt_tokens(usage.prompt.0);
    to.set_cached_tokens(usage.cached.0);
    to.set_output_tokens(usage.output.0);
    to.set_finish(&usage.finish);
}

/// What becomes of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It continues the answer.
    Next,
    /// It belongs to another attempt, or repeats what was delivered.
    Drop,
    /// Something before it is missing: the answer can't be whole.
    Gap,
}

/// Where an answer stands: checks each frame before it is passed on.
#[derive(Clone, Debug)]
pub struct Assembly {
    attempt: Attempt,
    // Invariant: every unit before this offset was passed on exactly once.
    offset: u64,
    ended: bool,
}

impl Assembly {
    /// An answer of which `offset` units were delivered by earlier attempts.
    pub fn new(attempt: Attempt, offset: u64) -> Assembly {
        Assembly {
            attempt,
            offset,
            ended: false,
        }
    }

    /// Decides on a frame, and counts it if it goes on.
    pub fn accept(&mut self, frame: &Frame) -> Verdict {
        if frame.attempt != self.attempt || self.ended || frame.offset < self.offset {
            return Verdict::Drop;
        }
        if frame.offset > self.offset {
            return Verdict::Gap;
        }
        self.offset += u64::from(frame.count);
        self.ended = matches!(frame.part, Part::End(_));
        Verdict::Next
    }

    /// Units delivered.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether the closing record came.
    pub fn is_whole(&self) -> bool {
        self.ended
    }
}
