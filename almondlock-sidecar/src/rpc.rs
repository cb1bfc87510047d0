//! Serves the sidecar's interface of the inner protocol to entry hosts.

use std::rc::Rc;

use almondlock_base::id::{Host, Incarnation};
use almondlock_wire::{
    almondlock_capnp::sidecar,
    attempt::{read_head, read_id, read_part, write_load, write_outcome, write_ran, write_segment},
    error as wire,
    peer::Peer,
};
use capnp::Error;

use crate::{protocol::Protocol, sidecar::Sidecar};

impl<P> sidecar::Server for Sidecar<P>
where
    P: Protocol,
{
    async fn submit(
        self: Rc<Self>,
        params: sidecar::SubmitParams,
        mut results: sidecar::SubmitResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let head = read_head(params.get_head()?)?;
        let source = params.get_source()?;
        let sink = params.get_sink()?;
        let outcome = Sidecar::submit(&self, &head, source, sink).await;
        let mut answer = results.get().init_outcome();
        write_outcome(&outcome, answer.reborrow());
        self.handle().peer().write(answer.init_from());
        Ok(())
    }

    async fn settle(
        self: Rc<Self>,
        params: sidecar::SettleParams,
        mut results: sidecar::SettleResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let attempt = read_id(params.get_attempt()?)?;
        let target = Incarnation(params.get_target());
        let ran = Sidecar::settle(&self, &attempt, target);
        results.get().set_ran(write_ran(ran));
        self.handle().peer().write(results.get().init_from());
        Ok(())
    }

    async fn probe(
        self: Rc<Self>,
        params: sidecar::ProbeParams,
        mut results: sidecar::ProbeResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        if let Ok(peer) = Peer::read(params.get_from()?) {
            self.handle().heard(&peer);
        }
        let prefix: Vec<u64> = params.get_prefix()?.iter().collect();
        write_load(&self.load(&prefix), results.get().init_load());
        self.handle().peer().write(results.get().init_from());
        Ok(())
    }

    async fn renew(
        self: Rc<Self>,
        params: sidecar::RenewParams,
        mut results: sidecar::RenewResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let host = Host::new(params.get_owner()?.to_str()?).map_err(wire::Error::from)?;
        Sidecar::renew(&self, host, Incarnation(params.get_incarnation()));
        if let Ok(peer) = Peer::read(params.get_from()?) {
            self.handle().heard(&peer);
        }
        self.handle().peer().write(results.get().init_from());
        Ok(())
    }

    async fn reserve(
        self: Rc<Self>,
        params: sidecar::ReserveParams,
        mut results: sidecar::ReserveResults,
    ) -> Result<(), Error> {
        let part = read_part(params.get()?.get_part()?)?;
        let outcome = Sidecar::reserve(&self, &part).await;
        let mut answer = results.get().init_outcome();
        write_outcome(&outcome, answer.reborrow());
        self.handle().peer().write(answer.init_from());
        Ok(())
    }

    async fn process(
        self: Rc<Self>,
        params: sidecar::ProcessParams,
        mut results: sidecar::ProcessResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let part = read_part(params.get_part()?)?;
        let source = params.get_source()?;
        let (outcome, segment) = Sidecar::process(&self, &part, source).await;
        let mut answer = results.get().init_outcome();
        write_outcome(&outcome, answer.reborrow());
        self.handle().peer().write(answer.init_from());
        if let Some(segment) = segment {
            write_segment(&segment, results.get().init_segment());
        }
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        params: sidecar::ReleaseParams,
        mut results: sidecar::ReleaseResults,
    ) -> Result<(), Error> {
        let attempt = read_id(params.get()?.get_attempt()?)?;
        Sidecar::release(&self, &attempt);
        self.handle().peer().write(results.get().init_from());
        Ok(())
    }
}
