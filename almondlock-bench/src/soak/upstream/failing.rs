//! Upstreams that fail all requests for a while, or ask for pauses.

use std::io;

use tokio::{net::TcpStream, time::sleep};

use super::{EVENT, Upstream, write};
use crate::soak::{proxy::reset, world::Plant};

/// How an upstream fails all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failing {
    /// Turns them away.
    Refuses,
    /// Runs and fails them.
    Fails,
    /// Answers nothing.
    Silent,
}

impl Upstream {
    /// Fails a request.
    pub(super) async fn fail(
        &self,
        stream: &mut TcpStream,
        id: &str,
        failing: Failing,
    ) -> io::Result<()> {
        let place = self.arrive(id, failing != Failing::Refuses, false);
        match failing {
            Failing::Refuses => write(stream, &self.rejection(503, id, &self.leaving_line())).await,
            Failing::Fails => {
                let head = self.head(500, id, Some(place));
                write(stream, &format!("{head}content-length: 0\r\n\r\n")).await
            }
            Failing::Silent => {
                self.world.history.borrow_mut().arrivals[place].is_broken = true;
                while self.failing.get() == Some(failing) {
                    sleep(EVENT).await;
                }
                reset(stream);
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        }
    }

    /// Turns a request away and asks its host for a pause.
    pub(super) fn turn_away(&self, id: &str, pause: u64) -> String {
        let place = self.arrive(id, false, false);
        let until = self.world.now() + pause;
        self.world.history.borrow_mut().arrivals[place].pause = Some(until);
        let told = match self.world.plant {
            Some(Plant::Curt) => 0.0,
            _ => pause as f64 / 1e3,
        };
        let line = format!("{}: {told}\r\n", self.world.names.backoff.as_str());
        self.rejection(503, id, &line)
    }
}
