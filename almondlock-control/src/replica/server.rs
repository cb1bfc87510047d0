//! The `Control` interface: what other processes and replicas ask.

use std::rc::Rc;

use almondlock_base::{
    Code,
    id::{Fingerprint, Incarnation, Organisation, Upstream},
    unit::Revision,
};
use almondlock_node::clock;
use almondlock_quorum::member::Id;
use almondlock_state::{
    blob::Blob,
    claim::Verdict,
    command::{Command, Reply},
    config::Registration,
};
use almondlock_wire::{
    almondlock_capnp::{Claimed, control, status},
    attempt::{read_id, read_ran},
};

use super::{Replica, peers::Parcel, refusal::Refusal, wire};

/// When to ask again, of a replica that knows no leader.
const RETRY_MILLIS: u64 = 100;

pub(super) struct Server {
    replica: Replica,
}

impl Server {
    pub(super) fn new(replica: Replica) -> Server {
        Server { replica }
    }

    /// Registers an upstream, or renews its lease if it is registered just so,
    /// without a command: hundreds of upstreams say the same all the time.
    async fn register(
        &self,
        upstream: Upstream,
        registration: Registration,
    ) -> Result<Reply, Refusal> {
        let life = registration.incarnation;
        self.replica.read().await?;
        let known = self.replica.state(|state| {
            let config = state.config();
            let same = config.upstreams.get(&upstream) == Some(&registration);
            same.then_some(config.revision)
        });
        let reply = match known {
            Some(revision) => Reply::Accepted { revision },
            None => {
                let command = Command::Announce {
                    upstream: upstream.clone(),
                    registration,
                    at: clock::wall(),
                };
                self.replica.propose(command).await?
            }
        };
        if matches!(reply, Reply::Accepted { .. }) {
            let mut leases = self.replica.inner.leases.borrow_mut();
            leases.renew(clock::mono(), &upstream, life);
        }
        Ok(reply)
    }

    /// Proposes a change; gives the revision in which it is in force.
    async fn change(&self, command: Command, status: status::Builder<'_>) -> Option<Revision> {
        let result = self.replica.propose(command).await;
        write_result(&result, status);
        match result {
            Ok(Reply::Accepted { revision }) => Some(revision),
            _ => None,
        }
    }

    async fn order(&self, command: Command, status: status::Builder<'_>) {
        let result = self.replica.propose(command).await;
        write_result(&result, status);
    }
}

type Done = Result<(), capnp::Error>;

/// Which request a message is about.
fn request(
    print: &[u8],
    owner: capnp::text::Reader<'_>,
) -> Result<(Fingerprint, Organisation), capnp::Error> {
    Ok((fingerprint(print)?, organisation(owner)?))
}

/// Which life of which upstream.
fn life(
    upstream: capnp::text::Reader<'_>,
    incarnation: u64,
) -> Result<(Upstream, Incarnation), capnp::Error> {
    let upstream = Upstream::new(upstream.to_str()?).map_err(|e| failed(&e))?;
    Ok((upstream, Incarnation(incarnation)))
}

impl control::Server for Server {
    async fn announce(
        self: Rc<Self>,
        params: control::AnnounceParams,
        mut results: control::AnnounceResults,
    ) -> Done {
        let parsed = serde_json::from_slice(params.get()?.get_upstream()?);
        let (upstream, registration) = parsed.map_err(|e| failed(&e))?;
        let result = self.register(upstream, registration).await;
        let mut to = results.get();
        write_result(&result, to.reborrow().init_status());
        if let Ok(Reply::Accepted { revision }) = result {
            to.set_revision(revision.0);
        }
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: control::ClaimParams,
        mut results: control::ClaimResults,
    ) -> Done {
        let command = {
            let from = params.get()?;
            Command::Claim {
                organisation: organisation(from.get_organisation()?)?,
                key: from.get_key()?.to_str()?.to_owned(),
                body: Blob::from(from.get_body()?),
                holder: read_id(from.get_holder()?)?,
                retention_ms: from.get_keep_millis(),
                at: clock::wall(),
            }
        };
        let result = self.replica.propose(command).await;
        let mut to = results.get();
        let verdict = match &result {
            Ok(Reply::Claimed { verdict }) => verdict.clone(),
            Ok(reply) => Verdict::Refused(reply.code().unwrap_or(Code::BadChange)),
            Err(refusal) => {
                write_refusal(refusal, to.reborrow().init_status());
                to.set_claimed(Claimed::Refused);
                return Ok(());
            }
        };
        let mut status = to.reborrow().init_status();
        if let Verdict::Refused(_) | Verdict::Dropped = verdict
            && let Some(code) = verdict.code()
        {
            write_code(code, code.text(), status.reborrow());
        }
        to.set_claimed(claimed(&verdict));
        if let Verdict::Done(outcome) = &verdict {
            to.set_outcome(&outcome.0);
        }
        Ok(())
    }

    async fn settle_claim(
        self: Rc<Self>,
        params: control::SettleClaimParams,
        mut results: control::SettleClaimResults,
    ) -> Done {
        let command = {
            let from = params.get()?;
            Command::SettleClaim {
                organisation: organisation(from.get_organisation()?)?,
                key: from.get_key()?.to_str()?.to_owned(),
                holder: read_id(from.get_holder()?)?,
                ran: read_ran(from.get_ran()?),
                outcome: Blob::from(from.get_outcome()?),
                at: clock::wall(),
            }
        };
        self.order(command, results.get().init_status()).await;
        Ok(())
    }

    async fn blame(
        self: Rc<Self>,
        params: control::BlameParams,
        mut results: control::BlameResults,
    ) -> Done {
        let from = params.get()?;
        let (fingerprint, organisation) =
            request(from.get_fingerprint()?, from.get_organisation()?)?;
        let (upstream, incarnation) = life(from.get_upstream()?, from.get_incarnation())?;
        let command = Command::Blame {
            fingerprint,
            organisation,
            upstream,
            incarnation,
            at: clock::wall(),
        };
        let mut to = results.get();
        if let Some(revision) = self.change(command, to.reborrow().init_status()).await {
            to.set_revision(revision.0);
        }
        Ok(())
    }

    async fn charge(
        self: Rc<Self>,
        params: control::ChargeParams,
        mut results: control::ChargeResults,
    ) -> Done {
        let from = params.get()?;
        let (fingerprint, organisation) =
            request(from.get_fingerprint()?, from.get_organisation()?)?;
        let (upstream, incarnation) = life(from.get_upstream()?, from.get_incarnation())?;
        let command = Command::Charge {
            fingerprint,
            organisation,
            upstream,
            incarnation,
            at: clock::wall(),
        };
        let mut to = results.get();
        if let Some(revision) = self.change(command, to.reborrow().init_status()).await {
            to.set_revision(revision.0);
        }
        Ok(())
    }

    async fn clear(
        self: Rc<Self>,
        params: control::ClearParams,
        mut results: control::ClearResults,
    ) -> Done {
        let from = params.get()?;
        let (fingerprint, organisation) =
            request(from.get_fingerprint()?, from.get_organisation()?)?;
        let at = clock::wall();
        let command = if from.get_harmless() {
            Command::Clear {
                fingerprint,
                organisation,
                at,
            }
        } else {
            let (upstream, incarnation) = life(from.get_upstream()?, from.get_incarnation())?;
            Command::Discharge {
                fingerprint,
                organisation,
                upstream,
                incarnation,
                at,
            }
        };
        self.order(command, results.get().init_status()).await;
        Ok(())
    }

    async fn raft(self: Rc<Self>, params: control::RaftParams, _: control::RaftResults) -> Done {
        let from = params.get()?;
        if from.get_group() != self.replica.inner.config.quorum.group() {
            return Err(capnp::Error::failed("no such group here".into()));
        }
        let parcel = wire::read(from.get_message()?)?;
        let id = Id(from.get_from());
        match parcel {
            Parcel::Heartbeats(_, heartbeats) => self.replica.hear(&heartbeats),
            parcel => self
                .replica
                .with(|core| core.receive(clock::mono(), id, parcel)),
        }
        Ok(())
    }
}

fn claimed(verdict: &Verdict) -> Claimed {
    match verdict {
        Verdict::Granted => Claimed::Granted,
        Verdict::Running => Claimed::Running,
        Verdict::Done(_) | Verdict::Dropped => Claimed::Done,
        Verdict::Lost => Claimed::Lost,
        Verdict::Mismatch => Claimed::Mismatch,
        Verdict::Refused(_) => Claimed::Refused,
    }
}

fn write_result(result: &Result<Reply, Refusal>, to: status::Builder<'_>) {
    match result {
        Ok(Reply::Refused { code, message }) => write_code(*code, message, to),
        Ok(reply) => {
            if let Some(code) = reply.code() {
                write_code(code, code.text(), to);
            }
        }
        Err(refusal) => write_refusal(refusal, to),
    }
}

fn write_refusal(refusal: &Refusal, mut to: status::Builder<'_>) {
    write_code(refusal.code, &refusal.message, to.reborrow());
    match refusal.leader {
        Some(leader) => to.set_leader(leader.to_string()),
        None => to.set_retry_after_millis(RETRY_MILLIS),
    }
}

fn write_code(code: Code, message: &str, mut to: status::Builder<'_>) {
    to.set_code(code.number());
    to.set_message(message);
}

fn organisation(text: capnp::text::Reader<'_>) -> Result<Organisation, capnp::Error> {
    Organisation::new(text.to_str()?).map_err(|e| failed(&e))
}

fn fingerprint(bytes: &[u8]) -> Result<Fingerprint, capnp::Error> {
    let print = Fingerprint::from_slice(bytes);
    print.ok_or_else(|| capnp::Error::failed("a fingerprint has 16 bytes".into()))
}

fn failed<E>(error: &E) -> capnp::Error
where
    E: std::error::Error,
{
    capnp::Error::failed(error.to_string())
}
