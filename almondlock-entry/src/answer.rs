//! An answer as its caller wants it: an event stream, one whole document, or a
//! service's bytes.

use almondlock_base::time::Wall;
use almondlock_wire::answer::Usage;
use ntex::util::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{body::Shape, failure::Failure};

/// Ends a stream that is whole.
pub const DONE: &str = "data: [DONE]\n\n";

/// Writes the answers of one request.
#[derive(Clone, Debug)]
pub struct Writer {
    shape: Shape,
    id: String,
    created: u64,
    model: String,
    usage: bool,
}

impl Writer {
    /// A writer for a request. `usage`: whether a stream ends with its usage.
    pub fn new(shape: Shape, request: &str, now: Wall, model: &str, usage: bool) -> Writer {
        let prefix = match shape {
            Shape::Text => "cmpl",
            Shape::Chat => "chatcmpl",
        };
        Writer {
            shape,
            id: format!("{prefix}-{request}"),
            created: now.as_millis() / 1000,
            model: model.to_owned(),
            usage,
        }
    }

    fn event(&self, choices: serde_json::Value, usage: Option<&Usage>) -> Bytes {
        let object = match self.shape {
            Shape::Text => "text_completion",
            Shape::Chat => "chat.completion.chunk",
        };
        let mut event = json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        });
        if let Some(usage) = usage {
            event["usage"] = counts(usage);
        }
        Bytes::from(format!("data: {event}\n\n"))
    }

    /// A part of a streamed answer.
    pub fn text(&self, text: &str) -> Bytes {
        let choice = match self.shape {
            Shape::Text => json!([{"index": 0, "text": text, "finish_reason": null}]),
            Shape::Chat => json!([{
                "index": 0,
                "delta": {"role": "assistant", "content": text},
                "finish_reason": null
            }]),
        };
        self.event(choice, None)
    }

    /// The end of a streamed answer.
    pub fn end(&self, usage: &Usage) -> Vec<Bytes> {
        let choice = match self.shape {
            Shape::Text => json!([{"index": 0, "text": "", "finish_reason": usage.finish}]),
            Shape::Chat => json!([{"index": 0, "delta": {}, "finish_reason": usage.finish}]),
        };
        let mut events = vec![self.event(choice, None)];
        if self.usage {
            events.push(self.event(json!([]), Some(usage)));
        }
        events.push(Bytes::from_static(DONE.as_bytes()));
        events
    }

    /// The last event of a stream that failed; there is no closing record.
    pub fn failed(failure: &Failure) -> Bytes {
        Bytes::from(format!("event: error\ndata: {}\n\n", failure.to_json()))
    }

    /// A whole answer in one document.
    pub fn whole(&self, text: &str, usage: &Usage) -> String {
        let (object, choice) = match self.shape {
            Shape::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": usage.finish}),
            ),
            Shape::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": usage.finish
                }),
            ),
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": counts(usage),
        })
        .to_string()
    }
}

fn counts(usage: &Usage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.output,
        "total_tokens": usage.prompt + usage.output,
        "prompt_tokens_details": {"cached_tokens": usage.cached},
    })
}

/// An answer kept for later copies of a request that may not be repeated.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Kept {
    /// HTTP status.
    pub status: u16,
    /// The body's type.
    pub content_type: String,
    /// Text of a model's answer.
    #[serde(default)]
    pub text: String,
    /// Bytes of a service's answer.
    #[serde(default)]
    pub bytes: almondlock_state::blob::Blob,
    /// What it cost.
    pub usage: Cost,
}

/// The form in which usage is kept.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Cost {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the answer.
    pub output: u64,
    /// Why it ended.
    pub finish: String,
}

impl From<&Usage> for Cost {
    fn from(usage: &Usage) -> Cost {
        Cost {
            prompt: usage.prompt.0,
            output: usage.output.0,
            finish: usage.finish.clone(),
        }
    }
}

impl From<&Cost> for Usage {
    fn from(cost: &Cost) -> Usage {
        Usage {
            prompt: almondlock_base::unit::Tokens(cost.prompt),
            cached: almondlock_base::unit::Tokens::ZERO,
            output: almondlock_base::unit::Tokens(cost.output),
            finish: cost.finish.clone(),
        }
    }
}
