//! The control replicas, as one state machine in memory.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use almondlock_base::{
    Code,
    id::{self, Incarnation, Upstream},
};
use almondlock_node::clock;
use almondlock_spread::view::View;
use almondlock_state::{
    claim::Verdict,
    command::{Command, Reply},
    machine::Machine,
};
use almondlock_wire::{
    almondlock_capnp::{Claimed, control, status},
    attempt::{read_id, read_ran},
};

/// The control replicas, as one machine in memory.
#[derive(Clone)]
pub struct Control {
    pub machine: Rc<RefCell<Machine>>,
    view: View,
    /// Answers as a minority does: it can't decide.
    pub mute: Rc<Cell<bool>>,
}

impl Control {
    pub fn new(view: View) -> Control {
        Control {
            machine: Rc::default(),
            view,
            mute: Rc::default(),
        }
    }

    fn apply(&self, command: Command) -> Reply {
        let applied = self.machine.borrow_mut().apply(command);
        for (revision, change) in applied.changes {
            self.view.extend(revision, [change]);
        }
        applied.reply
    }

    fn tell(&self, mut status: status::Builder<'_>, reply: Option<&Reply>) {
        let code = match reply {
            None => Some(Code::NoQuorum),
            Some(reply) => reply.code(),
        };
        status.set_code(code.map_or(0, Code::number));
    }

    fn decide(&self, command: Command) -> Option<Reply> {
        (!self.mute.get()).then(|| self.apply(command))
    }
}

impl control::Server for Control {
    async fn announce(
        self: Rc<Self>,
        params: control::AnnounceParams,
        mut results: control::AnnounceResults,
    ) -> Result<(), capnp::Error> {
        let (upstream, registration) =
            serde_json::from_slice(params.get()?.get_upstream()?).unwrap();
        let reply = self.decide(Command::Announce {
            upstream,
            registration,
            at: clock::wall(),
        });
        self.tell(results.get().init_status(), reply.as_ref());
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: control::ClaimParams,
        mut results: control::ClaimResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let reply = self.decide(Command::Claim {
            organisation: id::Organisation::new(params.get_organisation()?.to_str()?).unwrap(),
            key: params.get_key()?.to_string()?,
            body: params.get_body()?.into(),
            holder: read_id(params.get_holder()?)?,
            retention_ms: params.get_keep_millis(),
            at: clock::wall(),
        });
        self.tell(results.get().init_status(), reply.as_ref());
        let verdict = match &reply {
            Some(Reply::Claimed { verdict }) => verdict.clone(),
            _ => Verdict::Refused(Code::NoQuorum),
        };
        results.get().set_claimed(match verdict {
            Verdict::Granted => Claimed::Granted,
            Verdict::Running => Claimed::Running,
            Verdict::Done(_) | Verdict::Dropped => Claimed::Done,
            Verdict::Lost => Claimed::Lost,
            Verdict::Mismatch => Claimed::Mismatch,
            Verdict::Refused(_) => Claimed::Refused,
        });
        if let Verdict::Done(outcome) = verdict {
            results.get().set_outcome(&outcome.0);
        }
        Ok(())
    }

    async fn settle_claim(
        self: Rc<Self>,
        params: control::SettleClaimParams,
        mut results: control::SettleClaimResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let reply = self.decide(Command::SettleClaim {
            organisation: id::Organisation::new(params.get_organisation()?.to_str()?).unwrap(),
            key: params.get_key()?.to_string()?,
            holder: read_id(params.get_holder()?)?,
            ran: read_ran(params.get_ran()?),
            outcome: params.get_outcome()?.into(),
            at: clock::wall(),
        });
        self.tell(results.get().init_status(), reply.as_ref());
        Ok(())
    }

    async fn blame(
        self: Rc<Self>,
        params: control::BlameParams,
        mut results: control::BlameResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let reply = self.decide(Command::Blame {
            fingerprint: id::Fingerprint::from_slice(params.get_fingerprint()?).unwrap(),
            organisation: id::Organisation::new(params.get_organisation()?.to_str()?).unwrap(),
            upstream: Upstream::new(params.get_upstream()?.to_str()?).unwrap(),
            incarnation: Incarnation(params.get_incarnation()),
            at: clock::wall(),
        });
        results.get().set_revision(self.view.revision().0);
        self.tell(results.get().init_status(), reply.as_ref());
        Ok(())
    }

    async fn charge(
        self: Rc<Self>,
        params: control::ChargeParams,
        mut results: control::ChargeResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let reply = self.decide(Command::Charge {
            fingerprint: id::Fingerprint::from_slice(params.get_fingerprint()?).unwrap(),
            organisation: id::Organisation::new(params.get_organisation()?.to_str()?).unwrap(),
            upstream: Upstream::new(params.get_upstream()?.to_str()?).unwrap(),
            incarnation: Incarnation(params.get_incarnation()),
            at: clock::wall(),
        });
        results.get().set_revision(self.view.revision().0);
        self.tell(results.get().init_status(), reply.as_ref());
        Ok(())
    }

    async fn clear(
        self: Rc<Self>,
        params: control::ClearParams,
        mut results: control::ClearResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let fingerprint = id::Fingerprint::from_slice(params.get_fingerprint()?).unwrap();
        let organisation = id::Organisation::new(params.get_organisation()?.to_str()?).unwrap();
        let at = clock::wall();
        let reply = self.decide(if params.get_harmless() {
            Command::Clear {
                fingerprint,
                organisation,
                at,
            }
        } else {
            Command::Discharge {
                fingerprint,
                organisation,
                upstream: Upstream::new(params.get_upstream()?.to_str()?).unwrap(),
                incarnation: Incarnation(params.get_incarnation()),
                at,
            }
        });
        self.tell(results.get().init_status(), reply.as_ref());
        Ok(())
    }
}
