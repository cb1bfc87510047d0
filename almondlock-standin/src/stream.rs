//! Answers as callers get them: server-sent events or one JSON body.

use std::{io, rc::Rc};

use futures::{FutureExt, StreamExt, channel::mpsc::UnboundedReceiver, stream};
use ntex::{
    http::{Response, StatusCode},
    util::Bytes,
};
use serde_json::{Value, json};

use crate::{
    answer::Key,
    batch::Event,
    http::{self, Refusal},
    running::Running,
};

/// An answer on its way out.
pub(crate) struct Answer {
    pub(crate) running: Rc<Running>,
    pub(crate) events: UnboundedReceiver<Event>,
    /// An event read ahead of its turn.
    pub(crate) pending: Option<Event>,
    pub(crate) key: Key,
    pub(crate) model: String,
    pub(crate) version: String,
    pub(crate) prompt_tokens: u64,
    /// Index of the first token of this answer, and of the one after the last.
    pub(crate) first: u64,
    pub(crate) end: u64,
    pub(crate) chat: bool,
    pub(crate) over: bool,
}

impl Answer {
    fn usage(&self, cached: u64) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.end,
            "total_tokens": self.prompt_tokens + self.end,
            "prompt_tokens_details": { "cached_tokens": cached.min(self.prompt_tokens) },
        })
    }

    fn frame(&self, choice: &Value, chunk: bool) -> Value {
        let object = match (self.chat, chunk) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        };
        json!({
            "id": self.running.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "version": self.version,
            "choices": [choice],
        })
    }

    fn choice(&self, text: &str, finish: Option<&str>, chunk: bool) -> Value {
        match (self.chat, chunk) {
            (false, _) => json!({ "index": 0, "text": text, "finish_reason": finish }),
            (true, true) => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish })
            }
            (true, false) => {
                let message = json!({ "role": "assistant", "content": text });
                json!({ "index": 0, "message": message, "finish_reason": finish })
            }
        }
    }

    fn tokens(&self, from: u64, to: u64) -> Bytes {
        let mut choice = self.choice(&self.key.range(from, to), None, true);
        choice["offset"] = from.into();
        choice["tokens"] = (to - from).into();
        event(&self.frame(&choice, true))
    }

    fn last(&self, cached: u64) -> Bytes {
        let mut frame = self.frame(&self.choice("", Some("length"), true), true);
        frame["usage"] = self.usage(cached);
        let mut bytes = event(&frame).to_vec();
        bytes.extend_from_slice(b"data: [DONE]\n\n");
        Bytes::from(bytes)
    }

    /// The next piece of the stream: all tokens there are, or its end.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.over {
            return None;
        }
        let event = match self.pending.take() {
            Some(event) => Some(event),
            None => self.events.next().await,
        };
        match event {
            Some(Event::Token(from)) => {
                let mut to = from + 1;
                // Tokens come in order. What is no token waits for the next call.
                while self.pending.is_none() {
                    match self.events.next().now_or_never().flatten() {
                        Some(Event::Token(index)) => to = index + 1,
                        Some(other) => self.pending = Some(other),
                        None => break,
                    }
                }
                Some(Ok(self.tokens(from, to)))
            }
            Some(Event::Done { cached }) => {
                self.over = true;
                self.running.finish();
                Some(Ok(self.last(cached)))
            }
            // The engine died or the request was cancelled. An error makes the
            // library drop the connection: it must not look like an end.
            None => {
                self.over = true;
                Some(Err(io::ErrorKind::ConnectionAborted.into()))
            }
        }
    }

    /// The answer as a stream of server-sent events.
    pub(crate) fn stream(self) -> Response {
        let body = stream::unfold(self, |mut answer| async move {
            let piece = answer.next().await?;
            Some((piece, answer))
        });
        let mut response = Response::Ok();
        response.content_type("text/event-stream");
        response.streaming(Box::pin(body))
    }

    /// The answer in one piece.
    pub(crate) async fn whole(mut self) -> Result<Response, Refusal> {
        let mut tokens = 0;
        loop {
            match self.events.next().await {
                Some(Event::Token(_)) => tokens += 1,
                Some(Event::Done { cached }) => {
                    self.running.finish();
                    let text = self.key.range(self.first, self.first + tokens);
                    let choice = self.choice(&text, Some("length"), false);
                    let mut frame = self.frame(&choice, false);
                    frame["usage"] = self.usage(cached);
                    return Ok(http::json(&frame));
                }
                None => {
                    let text = "the request was cancelled";
                    return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, text));
                }
            }
        }
    }
}

fn event(frame: &Value) -> Bytes {
    Bytes::from(format!("data: {frame}\n\n"))
}
