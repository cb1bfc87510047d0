//! A request's tie to whoever waits for it.

use std::{cell::Cell, rc::Rc};

use futures::{
    channel::oneshot,
    future::{Either, select},
};
use ntex::io::IoRef;

use crate::{batch::Sequence, engine::Engine, http::Refusal};

/// A request in the engine that is cancelled when its answer is dropped, or its
/// connection lost, before its end.
#[derive(Debug)]
pub(crate) struct Running {
    engine: Rc<Engine>,
    life: u64,
    pub(crate) id: String,
    over: Cell<bool>,
    // Ends the watch over the connection, by being dropped.
    _watch: oneshot::Sender<()>,
}

impl Running {
    /// Submits a request and watches over the connection it came by.
    pub(crate) fn start(
        engine: &Rc<Engine>,
        sequence: Sequence,
        connection: Option<IoRef>,
    ) -> Result<Rc<Running>, Refusal> {
        let id = sequence.id.to_string();
        let life = engine.submit(sequence)?;
        let (watch, ended) = oneshot::channel();
        let running = Rc::new(Running {
            engine: engine.clone(),
            life,
            id,
            over: Cell::new(false),
            _watch: watch,
        });
        if let Some(connection) = connection {
            let running = Rc::downgrade(&running);
            ntex::rt::spawn(async move {
                let gone = connection.on_disconnect();
                if let Either::Left(_) = select(gone, ended).await
                    && let Some(running) = running.upgrade()
                {
                    running.cancel();
                }
            });
        }
        Ok(running)
    }

    /// Takes it out of the engine, once.
    pub(crate) fn cancel(&self) {
        if !self.over.replace(true) {
            self.engine.cancel(self.life, &self.id);
        }
    }

    /// It came to its end by itself.
    pub(crate) fn finish(&self) {
        self.over.set(true);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.cancel();
    }
}
