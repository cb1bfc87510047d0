//! Continuous batching as a model: no I/O, no clock.
//!
//! Time passes in steps. Each step decodes one token for every stream whose
//! prompt is done and spends a bounded number of tokens on prompts, in order of
//! priority (if the engine honours it) and arrival. A request joins the batch
//! when the batch has a place and memory has room for its prompt and answer
//! together; until then it waits, and so does all behind it. That strictness is
//! deliberate: it is where long prompts hold up short ones on an engine that
//! works first come, first served.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::channel::mpsc::UnboundedSender;

use crate::{
    answer::{BLOCK_TOKENS, Key},
    cache::Cache,
    engine::Config,
    report::Load,
};

/// What a request is told while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// The answer's token with this index.
    Token(u64),
    /// All is done; so many prompt tokens came from the cache.
    Done { cached: u64 },
}

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Stream,
    /// A part of a prompt, kept when its prefill is done.
    Segment,
}

/// A planted fault, by a marker in the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    Crash,
    CrashWriting,
    Stall,
}

/// A request in the engine.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) id: Arc<str>,
    pub(crate) kind: Kind,
    pub(crate) key: Key,
    pub(crate) priority: i64,
    pub(crate) blocks: Vec<u64>,
    /// A handle whose memory and KV cache it takes over when it joins the batch.
    pub(crate) import: Option<Arc<str>>,
    /// Tokens to prefill, those of an earlier part of the answer included.
    pub(crate) prompt: u64,
    /// Of these, how many need no work; known once it has joined.
    pub(crate) cached: u64,
    /// Of these, how many are done, the cached ones included.
    pub(crate) prefilled: u64,
    /// Index of the answer's first token, next token, and end.
    pub(crate) first: u64,
    pub(crate) next: u64,
    pub(crate) end: u64,
    pub(crate) fault: Fault,
    pub(crate) events: UnboundedSender<Event>,
}

impl Sequence {
    /// Memory set aside for it from start to end.
    pub(crate) fn reserved(&self) -> u64 {
        self.prompt + (self.end - self.first)
    }

    /// Memory it has filled.
    pub(crate) fn filled(&self) -> u64 {
        self.prefilled + (self.next - self.first)
    }

    fn is_decoding(&self) -> bool {
        self.prefilled >= self.prompt
    }
}

/// KV cache held under a handle, of no running request.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    /// `export`, `import` or `segment`.
    pub(crate) kind: &'static str,
    pub(crate) key: Key,
    pub(crate) tokens: u64,
    /// While this request runs here, it holds the memory, not the handle.
    pub(crate) source: Option<Arc<str>>,
}

/// What a step is going to do. Requests may be cancelled while it lasts, so it
/// names them instead of holding them.
#[derive(Debug, Default)]
pub(crate) struct Step {
    pub(crate) lasts: Duration,
    /// Requests that join the batch in it.
    pub(crate) started: Vec<Arc<str>>,
    /// A request that kills the engine joins the batch.
    pub(crate) crashes: bool,
    prefill: Vec<(Arc<str>, u64)>,
    decode: Vec<Arc<str>>,
}

/// The requests and memory of one engine.
#[derive(Debug)]
pub(crate) struct Batch {
    config: Config,
    // Invariant: both in the order of `rank`, ties in order of arrival.
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    pub(crate) held: BTreeMap<Arc<str>, Held>,
    pub(crate) cache: Cache,
}

impl Batch {
    pub(crate) fn new(config: Config) -> Batch {
        Batch {
            waiting: Vec::new(),
            running: Vec::new(),
            held: BTreeMap::new(),
            cache: Cache::new(config.cache_gaps, config.seed),
            config,
        }
    }

    pub(crate) fn submit(&mut self, sequence: Sequence) {
        insert(&mut self.waiting, sequence, self.config.priorities);
    }

    /// Every request, the running ones first.
    pub(crate) fn sequences(&self) -> impl Iterator<Item = &Sequence> {
        self.running.iter().chain(&self.waiting)
    }

    pub(crate) fn find(&self, id: &str) -> Option<&Sequence> {
        self.sequences().find(|s| &*s.id == id)
    }

    /// Takes a request out wherever it is. What it prefilled stays cached.
    pub(crate) fn cancel(&mut self, id: &str, now: Duration) -> bool {
        let waiting = self.waiting.len();
        self.waiting.retain(|s| &*s.id != id);
        let Some(at) = self.running.iter().position(|s| &*s.id == id) else {
            return self.waiting.len() < waiting;
        };
        let sequence = self.running.remove(at);
        self.retire(&sequence, now);
        true
    }

    /// Memory that requests and handles have reserved.
    pub(crate) fn reserved(&self) -> u64 {
        let running: u64 = self.running.iter().map(Sequence::reserved).sum();
        let is_running = |id: &Arc<str>| self.running.iter().any(|s| s.id == *id);
        let apart = |h: &&Held| !h.source.as_ref().is_some_and(is_running);
        let held: u64 = self.held.values().filter(apart).map(|h| h.tokens).sum();
        running + held
    }

    /// Memory that nothing has reserved. The cache lives in it.
    pub(crate) fn free(&self) -> u64 {
        self.config.memory.saturating_sub(self.reserved())
    }

    pub(crate) fn load(&self) -> Load {
        let backlog = |s: &Sequence| s.prompt.saturating_sub(s.prefilled);
        Load {
            running: self.running.len() as u64,
            queued: self.waiting.len() as u64,
            memory: self.config.memory,
            free: self.free(),
            backlog: self.sequences().map(backlog).sum(),
        }
    }

    /// Lets requests join and lays out the next step; `None` if all is idle.
    pub(crate) fn plan(&mut self, now: Duration) -> Option<Step> {
        let mut step = Step::default();
        self.admit(&mut step, now);
        let mut budget = self.config.chunk;
        for sequence in &self.running {
            if sequence.is_decoding() {
                let written = sequence.next - sequence.first;
                step.crashes |= sequence.fault == Fault::CrashWriting && written >= 2;
                step.decode.push(sequence.id.clone());
                continue;
            }
            let tokens = budget.min(sequence.prompt - sequence.prefilled);
            if tokens > 0 {
                budget -= tokens;
                step.prefill.push((sequence.id.clone(), tokens));
            }
        }
        let prefill = (self.config.chunk - budget) as f64 / self.config.prefill_rate.max(1.0);
        let decode = u32::try_from(step.decode.len()).unwrap_or(u32::MAX);
        step.lasts = self.config.step
            + Duration::from_secs_f64(prefill)
            + self.config.stream.saturating_mul(decode);
        (!self.running.is_empty()).then_some(step)
    }

    fn admit(&mut self, step: &mut Step, now: Duration) {
        while let Some(next) = self.waiting.first() {
            let full = self.running.len() >= self.config.batch;
            let imported = next.import.as_ref().and_then(|h| self.held.get(h));
            let imported = imported.map_or(0, |h| h.tokens);
            if full || next.reserved() > self.free() + imported {
                return;
            }
            let mut sequence = self.waiting.remove(0);
            if let Some(handle) = &sequence.import {
                self.held.remove(handle);
            }
            let leading = self.cache.leading(&sequence.blocks) as u64 * BLOCK_TOKENS;
            // The last token is always computed: its output starts the answer.
            let most = sequence.prompt.saturating_sub(1);
            sequence.cached = leading.max(imported).min(most);
            sequence.prefilled = sequence.cached;
            step.crashes |= sequence.fault == Fault::Crash;
            step.started.push(sequence.id.clone());
            insert(&mut self.running, sequence, self.config.priorities);
            self.trim(now);
        }
    }

    /// Does what the step was to do, for those that are still here, and tells
    /// how many came to their end.
    pub(crate) fn apply(&mut self, step: &Step, now: Duration) -> u64 {
        for (id, tokens) in &step.prefill {
            if let Some(sequence) = self.running.iter_mut().find(|s| s.id == *id) {
                sequence.prefilled += tokens;
            }
        }
        for id in &step.decode {
            if let Some(sequence) = self.running.iter_mut().find(|s| s.id == *id) {
                decode(sequence);
            }
        }
        self.finish(now)
    }

    fn finish(&mut self, now: Duration) -> u64 {
        let is_done = |s: &mut Sequence| s.is_decoding() && s.next >= s.end;
        let done: Vec<Sequence> = self.running.extract_if(.., is_done).collect();
        let ended = done.len() as u64;
        for sequence in done {
            if sequence.kind == Kind::Segment {
                let held = Held {
                    kind: "segment",
                    key: sequence.key,
                    tokens: sequence.prompt,
                    source: None,
                };
                self.held.insert(sequence.id.clone(), held);
            }
            let cached = sequence.cached;
            // A receiver that has gone has cancelled it already.
            let _ = sequence.events.unbounded_send(Event::Done { cached });
            self.retire(&sequence, now);
        }
        ended
    }

    fn retire(&mut self, sequence: &Sequence, now: Duration) {
        let whole = (sequence.prefilled / BLOCK_TOKENS) as usize;
        let known = whole.min(sequence.blocks.len());
        self.cache.store(&sequence.blocks[..known], now);
        self.trim(now);
    }

    /// Keeps the cache within the free memory.
    pub(crate) fn trim(&mut self, now: Duration) {
        let limit = (self.free() / BLOCK_TOKENS) as usize;
        self.cache.shrink(limit, now);
    }
}

fn decode(sequence: &mut Sequence) {
    let stalled = sequence.fault == Fault::Stall && sequence.next > sequence.first;
    if sequence.next < sequence.end && !stalled {
        let _ = sequence.events.unbounded_send(Event::Token(sequence.next));
        sequence.next += 1;
    }
}

fn insert(queue: &mut Vec<Sequence>, sequence: Sequence, priorities: bool) {
    let at = if priorities {
        queue.partition_point(|s| s.priority <= sequence.priority)
    } else {
        queue.len()
    };
    queue.insert(at, sequence);
}
