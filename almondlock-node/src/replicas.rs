//! The control replicas, as the other processes call them.
//!
//! Only the leader decides. A caller doesn't know who leads: it asks one after
//! the other, goes where it is sent, and asks again until the time it allows is
//! over. Everything asked here may be asked again: the replicas recognise a
//! repeated claim by its holder, a repeated announcement by its content and a
//! repeated blame by the death it names.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use almondlock_base::{
    Code, Ran,
    id::{Attempt, Fingerprint, Incarnation, Organisation, Upstream},
    unit::Revision,
};
use almondlock_state::config::Registration;
use almondlock_wire::{
    almondlock_capnp::{Claimed, control, status},
    attempt::{write_id, write_ran},
};
use tokio::time::{sleep, timeout};

use crate::links::Links;

/// How long one replica is waited for.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two rounds over the replicas.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// What a claim came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This holder may run it, and nobody else.
    Granted,
    /// Another copy ended; this is what it left.
    Done(Vec<u8>),
    /// Refused, with the reason.
    Refused(Code),
}

/// What is claimed, and for whom.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Whose request it is.
    pub organisation: Organisation,
    /// Its idempotency key.
    pub key: String,
    /// A hash of its path and body.
    pub body: [u8; 32],
    /// The attempt that stands for this request.
    pub holder: Attempt,
    /// How long the outcome is to be kept.
    pub keep: Duration,
}

/// A request that ran on an upstream when it died.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blame {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whose it is.
    pub organisation: Organisation,
    /// The upstream that died.
    pub upstream: Upstream,
    /// The life that ended.
    pub incarnation: Incarnation,
}

/// The replicas, by the inner addresses in the settings.
#[derive(Clone)]
pub struct Replicas {
    links: Links,
    addresses: Vec<SocketAddr>,
    // Who led when last asked.
    leader: Rc<Cell<Option<SocketAddr>>>,
}

enum Answer<T> {
    Is(T),
    Elsewhere(Option<SocketAddr>),
}

impl Replicas {
    /// Replicas at these addresses.
    pub fn new(links: Links, addresses: Vec<SocketAddr>) -> Replicas {
        Replicas {
            links,
            addresses,
            leader: Rc::default(),
        }
    }

    /// Claims a request. `Err` when no replica decided in time; nothing was
    /// handed on then, but the claim may have been granted all the same.
    pub async fn claim(&self, claim: &Claim, allowed: Duration) -> Result<Verdict, Code> {
        self.until(allowed, async |replica| replica.claim(claim).await)
            .await
    }

    /// Leaves the outcome of a granted claim with the replicas.
    pub async fn settle(
        &self,
        claim: &Claim,
        ran: Ran,
        outcome: &[u8],
        allowed: Duration,
    ) -> Result<(), Code> {
        self.until(allowed, async |r| r.settle(claim, ran, outcome).await)
            .await
    }

    /// Registers an upstream; gives the revision in which it stands.
    pub async fn announce(
        &self,
        upstream: &Upstream,
        registration: &Registration,
        allowed: Duration,
    ) -> Result<Revision, Code> {
        let told = self.until(allowed, async |r| r.announce(upstream, registration).await);
        told.await?
    }

    /// Blames a request for an upstream's death; gives the revision in which
    /// the suspicion stands.
    pub async fn blame(&self, blame: &Blame, allowed: Duration) -> Result<Revision, Code> {
        self.until(allowed, async |replica| replica.blame(blame).await)
            .await
    }

    /// Enters the death that a suspect's run may cause, before it starts.
    pub async fn charge(&self, blame: &Blame, allowed: Duration) -> Result<Revision, Code> {
        self.until(allowed, async |replica| replica.charge(blame).await)
            .await?
    }

    /// Takes a charge back after the run; a harmless one clears the suspect.
    pub async fn clear(
        &self,
        blame: &Blame,
        harmless: bool,
        allowed: Duration,
    ) -> Result<(), Code> {
        self.until(allowed, async |r| r.clear(blame, harmless).await)
            .await
    }

    /// Asks until a replica decides or the time is over.
    async fn until<T, F>(&self, allowed: Duration, ask: F) -> Result<T, Code>
    where
        F: AsyncFn(Replica) -> Result<Answer<T>, capnp::Error>,
    {
        let asked = timeout(allowed, async {
            loop {
                if let Some(value) = self.round(&ask).await {
                    return value;
                }
                sleep(ROUND_PAUSE).await;
            }
        });
        asked.await.map_err(|_| Code::NoQuorum)
    }

    /// Asks each replica once, the one that led last or is named first.
    async fn round<T, F>(&self, ask: &F) -> Option<T>
    where
        F: AsyncFn(Replica) -> Result<Answer<T>, capnp::Error>,
    {
        let mut order: Vec<SocketAddr> = self.leader.get().into_iter().collect();
        let others = self
            .addresses
            .iter()
            .filter(|a| Some(**a) != self.leader.get());
        order.extend(others);
        let mut next = 0;
        while let Some(address) = order.get(next).copied() {
            next += 1;
            match timeout(ASK_TIMEOUT, self.one(address, ask)).await {
                Ok(Ok(Answer::Is(value))) => {
                    self.leader.set(Some(address));
                    return Some(value);
                }
                Ok(Ok(Answer::Elsewhere(Some(leader)))) if !order[..next].contains(&leader) => {
                    order.insert(next, leader);
                }
                Ok(Ok(Answer::Elsewhere(_))) => {}
                Ok(Err(_)) | Err(_) => self.links.drop(address),
            }
        }
        self.leader.set(None);
        None
    }

    async fn one<T, F>(&self, address: SocketAddr, ask: &F) -> Result<Answer<T>, capnp::Error>
    where
        F: AsyncFn(Replica) -> Result<Answer<T>, capnp::Error>,
    {
        let session = self.links.get(address).await;
        let session = session.map_err(|e| capnp::Error::disconnected(e.to_string()))?;
        let control = session.node().control_request().send();
        let control = control.pipeline.get_control();
        ask(Replica { control }).await
    }
}

struct Replica {
    control: control::Client,
}

impl Replica {
    async fn claim(&self, claim: &Claim) -> Result<Answer<Verdict>, capnp::Error> {
        let mut request = self.control.claim_request();
        let mut params = request.get();
        params.set_organisation(claim.organisation.as_str());
        params.set_key(&claim.key);
        params.set_body(&claim.body);
        write_id(&claim.holder, params.reborrow().init_holder());
        params.set_keep_millis(u64::try_from(claim.keep.as_millis()).unwrap_or(u64::MAX));
        let answer = request.send().promise.await?;
        let answer = answer.get()?;
        let code = match decided(answer.get_status()?)? {
            Ok(code) => code,
            Err(elsewhere) => return Ok(Answer::Elsewhere(elsewhere)),
        };
        Ok(Answer::Is(match answer.get_claimed()? {
            Claimed::Granted => Verdict::Granted,
            Claimed::Running => Verdict::Refused(Code::AlreadyRunning),
            Claimed::Done if code.is_none() => Verdict::Done(answer.get_outcome()?.to_vec()),
            Claimed::Done => Verdict::Refused(Code::AnswerDropped),
            Claimed::Lost => Verdict::Refused(Code::OutcomeLost),
            Claimed::Mismatch => Verdict::Refused(Code::KeyReused),
            Claimed::Refused => Verdict::Refused(code.unwrap_or(Code::ClaimUnavailable)),
        }))
    }

    async fn settle(
        &self,
        claim: &Claim,
        ran: Ran,
        outcome: &[u8],
    ) -> Result<Answer<()>, capnp::Error> {
        let mut request = self.control.settle_claim_request();
        let mut params = request.get();
        params.set_organisation(claim.organisation.as_str());
        params.set_key(&claim.key);
        write_id(&claim.holder, params.reborrow().init_holder());
        params.set_ran(write_ran(ran));
        params.set_outcome(outcome);
        let answer = request.send().promise.await?;
        told(answer.get()?.get_status()?)
    }

    async fn announce(
        &self,
        upstream: &Upstream,
        registration: &Registration,
    ) -> Result<Answer<Result<Revision, Code>>, capnp::Error> {
        let text = serde_json::to_vec(&(upstream, registration));
        let text = text.map_err(|e| capnp::Error::failed(e.to_string()))?;
        let mut request = self.control.announce_request();
        request.get().set_upstream(&text);
        let answer = request.send().promise.await?;
        let answer = answer.get()?;
        Ok(match decided(answer.get_status()?)? {
            Ok(None) => Answer::Is(Ok(Revision(answer.get_revision()))),
            Ok(Some(code)) => Answer::Is(Err(code)),
            Err(elsewhere) => Answer::Elsewhere(elsewhere),
        })
    }

    async fn blame(&self, blame: &Blame) -> Result<Answer<Revision>, capnp::Error> {
        let mut request = self.control.blame_request();
        let mut params = request.get();
        params.set_fingerprint(&blame.fingerprint.0);
        params.set_organisation(blame.organisation.as_str());
        params.set_upstream(blame.upstream.as_str());
        params.set_incarnation(blame.incarnation.0);
        let answer = request.send().promise.await?;
        let answer = answer.get()?;
        Ok(match decided(answer.get_status()?)? {
            Ok(_) => Answer::Is(Revision(answer.get_revision())),
            Err(elsewhere) => Answer::Elsewhere(elsewhere),
        })
    }

    async fn charge(&self, blame: &Blame) -> Result<Answer<Result<Revision, Code>>, capnp::Error> {
        let mut request = self.control.charge_request();
        let mut params = request.get();
        params.set_fingerprint(&blame.fingerprint.0);
        params.set_organisation(blame.organisation.as_str());
        params.set_upstream(blame.upstream.as_str());
        params.set_incarnation(blame.incarnation.0);
        let answer = request.send().promise.await?;
        let answer = answer.get()?;
        Ok(match decided(answer.get_status()?)? {
            Ok(None) => Answer::Is(Ok(Revision(answer.get_revision()))),
            Ok(Some(code)) => Answer::Is(Err(code)),
            Err(elsewhere) => Answer::Elsewhere(elsewhere),
        })
    }

    async fn clear(&self, blame: &Blame, harmless: bool) -> Result<Answer<()>, capnp::Error> {
        let mut request = self.control.clear_request();
        let mut params = request.get();
        params.set_fingerprint(&blame.fingerprint.0);
        params.set_organisation(blame.organisation.as_str());
        params.set_upstream(blame.upstream.as_str());
        params.set_incarnation(blame.incarnation.0);
        params.set_harmless(harmless);
        let answer = request.send().promise.await?;
        told(answer.get()?.get_status()?)
    }
}

/// What a replica decided, or where else to ask.
fn decided(
    status: status::Reader<'_>,
) -> Result<Result<Option<Code>, Option<SocketAddr>>, capnp::Error> {
    let code = Code::from_number(status.get_code());
    match code {
        Some(Code::NotLeader | Code::NoQuorum | Code::StorageFailed) => {
            Ok(Err(status.get_leader()?.to_str()?.parse().ok()))
        }
        code => Ok(Ok(code)),
    }
}

fn told(status: status::Reader<'_>) -> Result<Answer<()>, capnp::Error> {
    Ok(match decided(status)? {
        Ok(_) => Answer::Is(()),
        Err(elsewhere) => Answer::Elsewhere(elsewhere),
    })
}
