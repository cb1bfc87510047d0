//! Lending what is over the floors.

use std::{collections::HashMap, time::Duration};

use almondlock_base::{
    id::{Host, Organisation},
    time::Mono,
    unit::Tokens,
};

use super::{Demand, Limit};

/// How a [`Lender`] lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long a part is lent. An unused one is back after that.
    pub lease_time: Duration,
    /// The share of a limit, in percent, that the entry hosts have as floors.
    /// The same figure as in their [`Config`](super::Config).
    pub floor_percent: u32,
    /// How long requests admitted under a lease may outlast it. Tokens lent to a
    /// host that is not heard of any more count as lent for so long after the
    /// lease.
    pub linger: Duration,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            lease_time: Duration::from_secs(2),
            floor_percent: 50,
            linger: Duration::from_secs(60),
        }
    }
}

/// A part of a limit as the lender counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allotment {
    /// Thousandths of requests per second.
    pub rate_thousandths: u64,
    /// Tokens in flight.
    pub tokens: Tokens,
}

/// What one host may hold of a limit.
#[derive(Clone, Debug, Default)]
struct Lent {
    /// What was lent, with the end of each lease. A smaller part does not end a
    /// larger one that was lent before: the answer may have been lost.
    leases: Vec<(Allotment, Mono)>,
    /// The most tokens that it may have in flight over its floor, and until
    /// when.
    peak: Tokens,
    peak_until: Mono,
    /// What it asked for last, so that parts can follow demand.
    wanted: Allotment,
}

impl Lent {
    /// The most that it may use now.
    fn most(&self, now: Mono) -> Allotment {
        let live = self.leases.iter().filter(|(_, until)| now < *until);
        let most = live.fold(Allotment::default(), |most, (part, _)| Allotment {
            rate_thousandths: most.rate_thousandths.max(part.rate_thousandths),
            tokens: most.tokens.max(part.tokens),
        });
        let lingering = if now < self.peak_until {
            self.peak
        } else {
            Tokens::ZERO
        };
        Allotment {
            tokens: most.tokens.max(lingering),
            ..most
        }
    }

    /// Takes the host's word for what it has in flight over its floor.
    fn hear(&mut self, used: Tokens, now: Mono) {
        self.leases.retain(|(_, until)| now < *until);
        self.peak = used;
        self.peak_until = Mono::from_micros(u64::MAX);
        self.peak = self.most(now).tokens;
    }

    fn lend(&mut self, part: Allotment, until: Mono, linger: Duration) {
        self.leases.push((part, until));
        self.peak = self.peak.max(part.tokens);
        self.peak_until = until + linger;
    }
}

/// Lends what the floors leave of each organisation's limit.
///
/// There is one per organisation at a time. It keeps nothing on disk: one that
/// starts lends nothing until its predecessor's leases have ended, and what was
/// admitted under them: [`Terms::lease`] and [`Terms::linger`].
///
/// ```
/// use almondlock_base::{id::{Host, Organisation}, time::Mono, unit::Tokens};
/// use almondlock_policy::limit::{Demand, Lender, Limit, Terms};
///
/// let mut lender = Lender::new(Terms::default(), Mono::ZERO);
/// let used = Tokens::ZERO;
/// let bank = Organisation::new("bank")?;
/// lender.set(&bank, Limit { rate: 0, tokens: Tokens(100_000) });
/// let entry = Host::new("entry-1")?;
/// let demand = Demand { requests: 0, tokens: Tokens(30_000) };
/// assert_eq!(lender.allot(&entry, &bank, demand, used, Mono::ZERO).tokens, Tokens::ZERO);
/// let later = Mono::from_millis(62_000);
/// assert_eq!(lender.allot(&entry, &bank, demand, used, later).tokens, Tokens(30_000));
/// # Ok::<(), almondlock_base::id::Error>(())
/// ```
#[derive(Debug)]
pub struct Lender {
    terms: Terms,
    opens: Mono,
    limits: HashMap<Organisation, Limit>,
    // Invariant: for each organisation, the parts that have not ended add up to
    // at most what its floors leave.
    lent: HashMap<Organisation, HashMap<Host, Lent>>,
}

impl Lender {
    /// A lender that starts now.
    pub fn new(terms: Terms, now: Mono) -> Lender {
        Lender {
            terms,
            opens: now + terms.lease_time + terms.linger,
            limits: HashMap::new(),
            lent: HashMap::new(),
        }
    }

    /// Sets an organisation's limit. What is lent runs out by itself.
    pub fn set(&mut self, organisation: &Organisation, limit: Limit) {
        self.limits.insert(organisation.clone(), limit);
    }

    /// Forgets an organisation.
    pub fn remove(&mut self, organisation: &Organisation) {
        self.limits.remove(organisation);
        self.lent.remove(organisation);
    }

    /// How long a part is lent. The entry host counts it from before it asked.
    pub fn lease_time(&self) -> Duration {
        self.terms.lease_time
    }

    /// Lends a part. `used` is what the host has in flight over its floor.
    ///
    /// Where more is wanted than there is, each host gets a part in proportion
    /// to what it wants, as soon as the others' leases have ended.
    pub fn allot(
        &mut self,
        host: &Host,
        organisation: &Organisation,
        demand: Demand,
        used: Tokens,
        now: Mono,
    ) -> Allotment {
        let Some(limit) = self.limits.get(organisation).copied() else {
            return Allotment::default();
        };
        let spare = self.spare(limit);
        let all = self.lent.entry(organisation.clone()).or_default();
        all.retain(|name, lent| name == host || lent.most(now) != Allotment::default());
        let own = all.entry(host.clone()).or_default();
        own.hear(used, now);
        own.wanted = Allotment {
            rate_thousandths: demand.requests.saturating_mul(1_000),
            tokens: demand.tokens,
        };
        if now < self.opens {
            return Allotment::default();
        }
        let part = portion(all, host, spare, now);
        if let Some(own) = all.get_mut(host) {
            own.lend(part, now + self.terms.lease_time, self.terms.linger);
        }
        part
    }

    /// What the floors leave of a limit.
    fn spare(&self, limit: Limit) -> Allotment {
        let rest = u64::from(100 - self.terms.floor_percent.min(100));
        let tokens = u128::from(limit.tokens.0) * u128::from(rest) / 100;
        Allotment {
            rate_thousandths: u64::from(limit.rate) * 10 * rest,
            tokens: Tokens(u64::try_from(tokens).unwrap_or(u64::MAX)),
        }
    }
}

/// A host's fair part of `spare`, and never more than what the others leave.
fn portion(all: &HashMap<Host, Lent>, host: &Host, spare: Allotment, now: Mono) -> Allotment {
    let others = all.iter().filter(|(name, _)| *name != host);
    let taken = sum(others.map(|(_, lent)| lent.most(now)));
    let wanted = all.get(host).map(|lent| lent.wanted).unwrap_or_default();
    let total = sum(all.values().map(|lent| lent.wanted));
    Allotment {
        rate_thousandths: fair(
            wanted.rate_thousandths,
            total.rate_thousandths,
            spare.rate_thousandths,
            taken.rate_thousandths,
        ),
        tokens: Tokens(fair(
            wanted.tokens.0,
            total.tokens.0,
            spare.tokens.0,
            taken.tokens.0,
        )),
    }
}

fn fair(wanted: u64, total: u64, spare: u64, taken: u64) -> u64 {
    let part = if total <= spare {
        wanted
    } else {
        let part = u128::from(spare) * u128::from(wanted) / u128::from(total.max(1));
        u64::try_from(part).unwrap_or(u64::MAX)
    };
    part.min(spare.saturating_sub(taken))
}

fn sum<S>(parts: S) -> Allotment
where
    S: Iterator<Item = Allotment>,
{
    parts.fold(Allotment::default(), |sum, part| Allotment {
        rate_thousandths: sum.rate_thousandths.saturating_add(part.rate_thousandths),
        tokens: sum.tokens + part.tokens,
    })
}
