//! The interfaces that every process serves.

use std::rc::Rc;

use almondlock_base::id::Upstream;
use almondlock_wire::{
    almondlock_capnp::{node, spread},
    peer::Peer,
};

use crate::{handle::Handle, node::Parts};

/// The bootstrap interface.
pub struct Server {
    handle: Handle,
    parts: Parts,
}

impl Server {
    /// Serves the parts of a process.
    pub fn new(handle: Handle, parts: Parts) -> Server {
        Server { handle, parts }
    }
}

type Reply = Result<(), capnp::Error>;

impl node::Server for Server {
    async fn hello(
        self: Rc<Self>,
        params: node::HelloParams,
        mut results: node::HelloResults,
    ) -> Reply {
        let from = Peer::read(params.get()?.get_from()?)?;
        self.handle.heard(&from);
        self.handle.peer().write(results.get().init_from());
        Ok(())
    }

    async fn sidecar(
        self: Rc<Self>,
        params: node::SidecarParams,
        mut results: node::SidecarResults,
    ) -> Reply {
        let name = params.get()?.get_upstream()?.to_str()?;
        let name = Upstream::new(name).map_err(|error| capnp::Error::failed(error.to_string()))?;
        match self.parts.sidecars.get(&name) {
            Some(client) => {
                results.get().set_sidecar(client);
                Ok(())
            }
            None => Err(capnp::Error::failed(format!(
                "no sidecar of {name} on this host"
            ))),
        }
    }

    async fn spread(
        self: Rc<Self>,
        _: node::SpreadParams,
        mut results: node::SpreadResults,
    ) -> Reply {
        let handle = self.handle.clone();
        results
            .get()
            .set_spread(capnp_rpc::new_client(Spread { handle }));
        Ok(())
    }

    async fn control(
        self: Rc<Self>,
        _: node::ControlParams,
        mut results: node::ControlResults,
    ) -> Reply {
        let control = self.parts.control.clone();
        let control = control
            .ok_or_else(|| capnp::Error::failed("this host is no control replica".into()))?;
        results.get().set_control(control);
        Ok(())
    }
}

struct Spread {
    handle: Handle,
}

impl spread::Server for Spread {
    async fn fetch(
        self: Rc<Self>,
        params: spread::FetchParams,
        mut results: spread::FetchResults,
    ) -> Reply {
        let have = params.get()?.get_have();
        let config = self.handle.view().get();
        let mut delta = results.get().init_delta();
        delta.set_newest(config.revision.0);
        if config.revision.0 > have {
            let data = serde_json::to_vec(&*config)
                .map_err(|error| capnp::Error::failed(error.to_string()))?;
            let mut piece = delta.reborrow().init_piece();
            piece.set_revision(config.revision.0);
            piece.set_total(data.len() as u64);
            piece.set_data(&data);
        }
        self.handle.peer().write(delta.init_from());
        Ok(())
    }
}
