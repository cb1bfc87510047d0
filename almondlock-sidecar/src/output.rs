//! Streams an answer from the engine to the entry host.
//!
//! The engine's stream is read as fast as the entry host takes the answer.
//! While one push is in flight, further frames are buffered and sent together
//! in the next. Only one push is in flight at a time, so frames arrive in
//! order. The buffer is bounded: when it is full, reading from the engine
//! pauses.

use std::rc::Rc;

use almondlock_base::id::Attempt;
use almondlock_task::{Panicked, guard};
use almondlock_wire::{
    almondlock_capnp::sink,
    answer::{self, Frame, Part},
};
use tokio::{
    sync::mpsc,
    task::{JoinHandle, spawn_local},
};

use crate::protocol::{Closed, Output};

/// Maximum number of frames that wait to be pushed to the entry host.
const MAX_BUFFERED_FRAMES: usize = 64;

/// Is notified when an engine generates the first content of an answer.
pub trait Observer {
    /// Called once the engine has processed the prompt.
    fn on_prefill_end(&self);
}

/// Numbers the parts of an answer and pushes them to the entry host.
pub struct Pusher<W> {
    attempt: Attempt,
    offset: u64,
    began: bool,
    observer: Rc<W>,
    frames: mpsc::Sender<Frame>,
    task: JoinHandle<Result<Result<(), capnp::Error>, Panicked>>,
}

impl<W> Pusher<W>
where
    W: Observer,
{
    /// Starts pushing the answer of an attempt, which resumes at `offset`.
    pub fn new(attempt: Attempt, offset: u64, sink: sink::Client, observer: Rc<W>) -> Pusher<W> {
        let (frames, queue) = mpsc::channel(MAX_BUFFERED_FRAMES);
        Pusher {
            attempt,
            offset,
            began: false,
            observer,
            frames,
            task: spawn_local(guard("frame-push", push_frames(sink, queue))),
        }
    }

    /// Returns the number of units (tokens or bytes) of the answer passed on,
    /// including those delivered by earlier attempts.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns whether any content of the answer was passed on.
    pub fn has_begun(&self) -> bool {
        self.began
    }

    /// Waits until the entry host has received every frame.
    pub async fn flush(self) -> Result<(), Closed> {
        drop(self.frames);
        match self.task.await {
            Ok(Ok(Ok(()))) => Ok(()),
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

/// Pushes queued frames to the entry host in batches, one push at a time.
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
