//! Lends the part of each limit that is not given out as floors.

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
    /// Time for which an allotment is lent. An unused one is free again after that.
    pub lease_time: Duration,
    /// Percentage of a limit that the entry hosts have as floors. Must be equal to the
    /// value in their [`Config`](super::Config).
    pub floor_percent: u32,
    /// Time by which requests admitted under a lease may outlast it. Tokens lent to a host
    /// that sends no more messages count as lent for this time after the lease.
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

/// The part of a limit that one host may use.
#[derive(Clone, Debug, Default)]
struct Holding {
    /// The allotments that were lent, with the end of each lease. A smaller one does not
    /// end a larger one that was lent before, since the answer may have been lost.
    leases: Vec<(Allotment, Mono)>,
    /// Maximum number of tokens that the host may have in flight over its floor.
    peak: Tokens,
    /// Time until which `peak` counts.
    peak_until: Mono,
    /// What the host asked for last, so that allotments can follow demand.
    wanted: Allotment,
}

impl Holding {
    /// Returns the most that the host may use now.
    fn max_usable(&self, now: Mono) -> Allotment {
        let live = self.leases.iter().filter(|(_, until)| now < *until);
        let most = live.fold(Allotment::default(), |most, (allotment, _)| Allotment {
            rate_thousandths: most.rate_thousandths.max(allotment.rate_thousandths),
            tokens: most.tokens.max(allotment.tokens),
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

    /// Records the tokens that the host reports in flight over its floor.
    fn note_used(&mut self, used: Tokens, now: Mono) {
        self.leases.retain(|(_, until)| now < *until);
        self.peak = used;
        self.peak_until = Mono::from_micros(u64::MAX);
        self.peak = self.max_usable(now).tokens;
    }

    fn add_lease(&mut self, allotment: Allotment, until: Mono, linger: Duration) {
        self.leases.push((allotment, until));
        self.peak = self.peak.max(allotment.tokens);
        self.peak_until = until + linger;
    }
}

/// Lends to the entry hosts what the floors leave of each organisation's limit.
///
/// An organisation has one lender at a time. A lender stores nothing on disk: after its
/// start it lends nothing until its predecessor's leases have ended, and the requests
/// admitted under them, which takes [`Terms::lease_time`] and [`Terms::linger`].
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
    /// Time from which on it lends.
    opens_at: Mono,
    limits: HashMap<Organisation, Limit>,
    // Invariant: for each organisation, the allotments whose leases have not ended add up
    // to at most what its floors leave.
    holdings: HashMap<Organisation, HashMap<Host, Holding>>,
}

impl Lender {
    /// Returns a lender that starts now.
    pub fn new(terms: Terms, now: Mono) -> Lender {
        Lender {
            terms,
            opens_at: now + terms.lease_time + terms.linger,
            limits: HashMap::new(),
            holdings: HashMap::new(),
        }
    }

    /// Sets an organisation's limit. Allotments that are lent already last until their
    /// leases end.
    pub fn set(&mut self, organisation: &Organisation, limit: Limit) {
        self.limits.insert(organisation.clone(), limit);
    }

    /// Forgets an organisation.
    pub fn remove(&mut self, organisation: &Organisation) {
        self.limits.remove(organisation);
        self.holdings.remove(organisation);
    }

    /// Returns the time for which an allotment is lent. The entry host counts it from
    /// before it asked.
    pub fn lease_time(&self) -> Duration {
        self.terms.lease_time
    }

    /// Lends an allotment to a host. `used` is the number of tokens that the host has in
    /// flight over its floor.
    ///
    /// If the hosts want more than there is, each gets a part in proportion to what it
    /// wants, as soon as the other hosts' leases have ended.
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
        let spare = self.lendable(limit);
        let all = self.holdings.entry(organisation.clone()).or_default();
        all.retain(|name, holding| name == host || holding.max_usable(now) != Allotment::default());
        let own = all.entry(host.clone()).or_default();
        own.note_used(used, now);
        own.wanted = Allotment {
            rate_thousandths: demand.requests.saturating_mul(1_000),
            tokens: demand.tokens,
        };
        if now < self.opens_at {
            return Allotment::default();
        }
        let allotment = fair_allotment(all, host, spare, now);
        if let Some(own) = all.get_mut(host) {
            own.add_lease(allotment, now + self.terms.lease_time, self.terms.linger);
        }
        allotment
    }

    /// Returns what the floors leave of a limit.
    fn lendable(&self, limit: Limit) -> Allotment {
        let rest = u64::from(100 - self.terms.floor_percent.min(100));
        let tokens = u128::from(limit.tokens.0) * u128::from(rest) / 100;
        Allotment {
            rate_thousandths: u64::from(limit.rate) * 10 * rest,
            tokens: Tokens(u64::try_from(tokens).unwrap_or(u64::MAX)),
        }
    }
}

/// Returns a host's fair part of `spare`, at most what the other hosts leave.
fn fair_allotment(
    all: &HashMap<Host, Holding>,
    host: &Host,
    spare: Allotment,
    now: Mono,
) -> Allotment {
    let others = all.iter().filter(|(name, _)| *name != host);
    let taken = sum_allotments(others.map(|(_, holding)| holding.max_usable(now)));
    let wanted = all
        .get(host)
        .map(|holding| holding.wanted)
        .unwrap_or_default();
    let total = sum_allotments(all.values().map(|holding| holding.wanted));
    Allotment {
        rate_thousandths: fair_amount(
            wanted.rate_thousandths,
            total.rate_thousandths,
            spare.rate_thousandths,
            taken.rate_thousandths,
        ),
        tokens: Tokens(fair_amount(
            wanted.tokens.0,
            total.tokens.0,
            spare.tokens.0,
            taken.tokens.0,
        )),
    }
}

/// Returns `wanted`, or its proportional part of `spare` if more is wanted in total, but at
/// most what is not `taken`.
fn fair_amount(wanted: u64, total: u64, spare: u64, taken: u64) -> u64 {
    let amount = if total <= spare {
        wanted
    } else {
        let amount = u128::from(spare) * u128::from(wanted) / u128::from(total.max(1));
        u64::try_from(amount).unwrap_or(u64::MAX)
    };
    amount.min(spare.saturating_sub(taken))
}

fn sum_allotments<S>(allotments: S) -> Allotment
where
    S: Iterator<Item = Allotment>,
{
    allotments.fold(Allotment::default(), |sum, allotment| Allotment {
        rate_thousandths: sum
            .rate_thousandths
            .saturating_add(allotment.rate_thousandths),
        tokens: sum.tokens + allotment.tokens,
    })
}
