//! What callers make this host hold: the worker's side of `almondlock_intake`.

use std::sync::Arc;

use almondlock_intake::{
    bodies::{Bodies, Error, Failed, Source},
    connections::GRACE,
};
use bytes::Bytes;

use crate::{
    dialect::Dialect,
    request::Response,
    upstream::{self, Connection, Head},
    worker::Worker,
};

/// Bytes of a refused body that are read and dropped, where no configuration says how large
/// a body may be.
const DISCARD_LIMIT: usize = 256 * 1024;

/// Memory for bodies, shared by the threads of a process.
#[derive(Clone, Debug)]
pub(crate) struct Intake {
    /// For those of requests.
    pub(crate) bodies: Arc<Bodies>,
    /// For those of answers that aren't streams.
    pub(crate) answers: Arc<Bodies>,
}

/// The body of an upstream's answer.
struct Answer<'a>(&'a mut Connection);

impl Source for Answer<'_> {
    type Piece = Bytes;
    type Error = upstream::Error;

    async fn next(&mut self) -> Option<Result<Bytes, upstream::Error>> {
        self.0.next_chunk().await.transpose()
    }
}

impl<D> Worker<D>
where
    D: Dialect,
{
    /// Returns how many bytes of a refused body are read and dropped: a body of a size that
    /// is allowed, so that its sender gets to read the refusal.
    pub(crate) fn discard_limit(&self) -> usize {
        let snapshot = self.snapshot();
        let rules = snapshot.rules.as_ref();
        rules.map_or(DISCARD_LIMIT, |rules| rules.limits.body)
    }

    /// Reads the complete body, of at most `limit` bytes, of an answer that is not passed on
    /// as a stream.
    pub(crate) async fn read_answer(
        &self,
        connection: &mut Connection,
        head: &Head,
        limit: usize,
    ) -> Result<Response, upstream::Error> {
        let collected = self.answers.collect(&mut Answer(connection), limit).await;
        let (body, hold) = collected.map_err(|failed| match failed {
            Failed::Source(error) => error,
            Failed::Body(Error::Shortage) => {
                // Answers that wait for their callers go before those that can be delivered.
                self.connections.close_stalled(GRACE);
                upstream::Error::Invalid("no memory for the body")
            }
            Failed::Body(_) => upstream::Error::Invalid("body too long"),
        })?;
        Ok(Response {
            head: head.clone(),
            body,
            hold,
            end: connection.end(),
        })
    }

    /// Sets the figures of what callers make this host hold.
    pub(crate) fn report_intake(&self) {
        for (what, level) in self.bodies.usage().levels() {
            self.report("caller_bodies", what, level);
        }
        for (what, level) in self.answers.usage().levels() {
            self.report("answer_bodies", what, level);
        }
        for (what, level) in self.connections.usage().levels() {
            self.report("caller_connections", what, level);
        }
    }

    fn report(&self, name: &str, what: &str, level: u64) {
        let level = i64::try_from(level).unwrap_or(i64::MAX);
        let label = format!("what=\"{what}\"");
        self.shared.metrics.set(name, &label, level);
    }
}
