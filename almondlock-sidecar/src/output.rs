//! An answer on its way to the entry host.
//!
//! The engine's stream is read as fast as it comes and sent as fast as the
//! entry host takes it: while one push is on its way, the frames behind it are
//! gathered and go together with the next. Only one push is ever on its way,
//! so frames arrive in order. The buffer between the two is bounded; when it is
//! full, the engine's stream is not read on.

use std::rc::Rc;

use almondlock_base::id::Attempt;
use almondlock_wire::{
    almondlock_capnp::sink,
    answer::{self, Frame, Part},
};
use tokio::{
    sync::mpsc,
    task::{JoinHandle, spawn_local},
};

use crate::protocol::{Closed, Output};

/// Frames that wait for the entry host at most.
const MAX_BUFFERED_FRAMES: usize = 64;

/// Told of the first part of an answer that took the engine's work.
pub trait Observer {
    /// The prompt has been processed.
    fn on_prefill_end(&self);
}

/// Gives an answer's parts their places and pushes them to the entry host.
pub struct Pusher<W> {
    attempt: Attempt,
    offset: u64,
    began: bool,
    observer: Rc<W>,
    frames: mpsc::Sender<Frame>,
    task: JoinHandle<Result<(), capnp::Error>>,
}

impl<W> Pusher<W>
where
    W: Observer,
{
    /// Pushes the answer of an attempt that goes on at `offset`.
    pub fn new(attempt: Attempt, offset: u64, sink: sink::Client, observer: Rc<W>) -> Pusher<W> {
        let (frames, queue) = mpsc::channel(MAX_BUFFERED_FRAMES);
        Pusher {
            attempt,
            offset,
            began: false,
            observer,
            frames,
            task: spawn_local(push_frames(sink, queue)),
        }
    }

    /// Units of the answer passed on, with what was delivered before.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether any part of the answer itself was passed on.
    pub fn has_begun(&self) -> bool {
        self.began
    }

    /// Waits until the entry host has taken everything.
    pub async fn flush(self) -> Result<(), Closed> {
        drop(self.frames);
        match self.task.await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Closed),
        }
    }
}

impl<W> Output for Pusher<W>
where
    W: Observer,
{
    async fn put(&mut self, count: u32, part: Part) -> Result<(), Closed> {
        if !self.began && count > 0 {
            self.began = true;
            self.observer.on_prefill_end();
        }
        let frame = Frame {
            attempt: self.attempt.clone(),
            offset: self.offset,
            count,
            part,
        };
        self.offset += u64::from(count);
        self.frames.send(frame).await.map_err(|_| Closed)
    }
}

async fn push_frames(
    sink: sink::Client,
    mut queue: mpsc::Receiver<Frame>,
) -> Result<(), capnp::Error> {
    let mut batch = Vec::with_capacity(MAX_BUFFERED_FRAMES);
    while queue.recv_many(&mut batch, MAX_BUFFERED_FRAMES).await > 0 {
        let mut request = sink.push_request();
        let count = u32::try_from(batch.len()).unwrap_or(u32::MAX);
        let mut list = request.get().init_frames(count);
        for (i, frame) in (0..count).zip(&batch) {
            answer::write(frame, list.reborrow().get(i));
        }
        batch.clear();
        request.send().promise.await?;
    }
    Ok(())
}
