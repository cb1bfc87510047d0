//! Counts by organisation that hosts exchange through relays. Whatever is lost, late or of
//! another format, organisations must count as within their shares, and datagrams must stay
//! small.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use almondlock_base::time::Mono;
use almondlock_gateway::{
    exchange::{
        Message, Sum,
        shares::{
            Counts, Envelope, FORMAT, MAX_AGE, MAX_LISTED, PERIOD, Report, Tag, Tally, Totals,
        },
    },
    load::{Key, Table},
    rules::{Limits, Organisation, Rules},
    share::{Findings, Ledger, Notices, OTHERS},
};
use almondlock_policy::share::{Capacity, Unlisted, Usage, demoted_rank};
use yare::parameterized;

const START: Mono = Mono::from_millis(10_000);
const READING: Duration = Duration::from_millis(30);
const CAPACITY: Capacity = Capacity {
    engines: 2,
    slots: 24,
};

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 9))
}

fn after(ms: u64) -> Mono {
    START + Duration::from_millis(ms)
}

fn counts(all: &[(&str, u32, u32)]) -> Counts {
    let all = all.iter().map(|(name, slots, unread)| {
        let count = Usage {
            slots: *slots,
            unanswered: *unread,
            ..Usage::default()
        };
        (Tag::of("e", name), count)
    });
    Counts::new(all.collect(), BTreeMap::new())
}

/// Returns counts in which `large` has three quarters of the slots, and `small` waits.
fn contended() -> Counts {
    counts(&[("large", 18, 2), ("small", 6, 2)])
}

fn report(host: u64, number: u32, counts: Counts) -> Envelope {
    Envelope::encode(&Report {
        host,
        number,
        counts,
    })
    .unwrap()
}

fn totals(envelope: &Envelope) -> Totals {
    envelope.decode(address(99)).unwrap()
}

fn taken(tally: &mut Tally, now: Mono) -> Totals {
    totals(&tally.take_updates(now).unwrap().0)
}

fn is_over(known: &Findings, now: Mono, relay: u8, name: &str) -> bool {
    known
        .excess(now, address(relay), Tag::of("e", name))
        .is_some()
}

fn hear(known: &mut Findings, now: Mono, relay: u8, totals: &Totals) {
    known.receive(now, address(relay), totals, |_| CAPACITY);
}

/// The sum of two hosts shows an organisation over its share that isn't over it at either
/// host.
#[test]
fn sums_over_hosts() {
    let mut tally = Tally::default();
    let half = counts(&[("large", 9, 1), ("small", 3, 1)]);
    tally.receive(START, address(1), &report(1, 1, half.clone()));
    tally.receive(START, address(2), &report(2, 1, half));
    let (envelope, hosts) = tally.take_updates(START).unwrap();
    assert_eq!(hosts.len(), 2);
    let totals = totals(&envelope);
    assert_eq!(totals.counts, contended());
    let mut known = Findings::default();
    hear(&mut known, START, 50, &totals);
    assert!(is_over(&known, START, 50, "large"));
    assert!(!is_over(&known, START, 50, "small"));
    assert!(!is_over(&known, START, 50, "unheard"));
}

/// After relays fall silent, their last sums count for half a second. Then all
/// organisations count as within their shares.
#[test]
fn relays_unavailable() {
    let mut known = Findings::default();
    let totals = Totals {
        age_ms: 0,
        counts: contended(),
    };
    hear(&mut known, START, 50, &totals);
    assert!(is_over(&known, after(499), 50, "large"));
    assert!(!is_over(&known, START + MAX_AGE, 50, "large"));
}

/// Counts that are a second old on arrival are ignored.
#[parameterized(
    fresh = { 999, true },
    stale = { 1_000, false },
)]
fn old_counts(age_ms: u32, over: bool) {
    let mut known = Findings::default();
    let totals = Totals {
        age_ms,
        counts: contended(),
    };
    hear(&mut known, START, 50, &totals);
    assert_eq!(is_over(&known, START, 50, "large"), over);
}

/// After a host is lost, its report counts for half a second at the relay and as long at
/// the other hosts, a second in all.
#[test]
fn lost_host() {
    let mut tally = Tally::default();
    let small = counts(&[("small", 6, 2)]);
    tally.receive(
        START,
        address(1),
        &report(1, 1, counts(&[("large", 18, 2)])),
    );
    tally.receive(after(400), address(2), &report(2, 1, small.clone()));
    let last = taken(&mut tally, after(499));
    assert_eq!((last.age_ms, &last.counts), (499, &contended()));
    tally.receive(after(600), address(2), &report(2, 2, small.clone()));
    let next = taken(&mut tally, after(499) + PERIOD);
    assert_eq!(next.counts, small);
    let mut known = Findings::default();
    hear(&mut known, after(499), 50, &last);
    assert!(is_over(&known, after(998), 50, "large"));
    assert!(!is_over(&known, after(1_000), 50, "large"));
}

/// If two relays know different hosts, a host decides by the sums of the one that its loads
/// come from.
#[test]
fn two_relays() {
    let mut table = Table::default();
    let mut known = Findings::default();
    let told = |counts| Totals { age_ms: 0, counts };
    hear(&mut known, START, 50, &told(contended()));
    hear(&mut known, START, 51, &told(counts(&[("small", 6, 2)])));
    assert_eq!(table.current_relay(START), None);
    let sum = |hosts| Sum {
        hosts,
        ..Sum::default()
    };
    table.receive_sum(START, address(51), sum(5), &[]);
    let relay = table.current_relay(START).unwrap();
    assert!(known.excess(START, relay, Tag::of("e", "large")).is_none());
    table.receive_sum(START, address(50), sum(9), &[]);
    let relay = table.current_relay(START).unwrap();
    assert!(known.excess(START, relay, Tag::of("e", "large")).is_some());
    assert_eq!(table.current_relay(after(1_000)), None);
}

/// A message of another format is ignored, and earlier counts stay.
#[test]
fn other_version() {
    let mut tally = Tally::default();
    let known = report(1, 1, contended());
    tally.receive(START, address(1), &known);
    let newer = Envelope {
        format: FORMAT + 1,
        ..report(1, 2, Counts::default())
    };
    tally.receive(START, address(1), &newer);
    let unreadable = Envelope {
        format: FORMAT,
        body: vec![255; 3],
    };
    tally.receive(START, address(1), &unreadable);
    assert_eq!(taken(&mut tally, START).counts, contended());
}

/// The messages for shares come last, so that a process that doesn't know them reads all
/// others as before.
#[test]
fn known_messages_stay() {
    let bytes = |message: &Message| postcard_of(message);
    assert_eq!(bytes(&Message::Suspects(Vec::new())), [9, 0]);
    let envelope = report(1, 1, Counts::default());
    assert_eq!(bytes(&Message::Shares(envelope.clone()))[0], 10);
    assert_eq!(bytes(&Message::ShareTotals(envelope))[0], 11);
}

fn postcard_of(message: &Message) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap()
}

/// A report that arrives after a later one of the same host doesn't count. One that the
/// host sends after a restart does, though its number is lower.
#[test]
fn overtaken_report() {
    let mut tally = Tally::default();
    tally.receive(START, address(1), &report(1, 2, contended()));
    tally.receive(START, address(1), &report(1, 1, Counts::default()));
    assert_eq!(taken(&mut tally, START).counts, contended());
    tally.receive(after(200), address(1), &report(7, 1, Counts::default()));
    assert!(taken(&mut tally, after(200)).counts.is_empty());
}

/// Without reports a relay sends no sums: with the setting off nothing changes on the wire.
#[test]
fn silent_without_reports() {
    assert!(Tally::default().take_updates(START).is_none());
}

/// With 1,500 organisations at each of 31 hosts, datagrams of hosts and relays stay bounded
/// and list the organisations with the most in flight.
#[test]
fn bounded_size() {
    let mut tally = Tally::default();
    let many = |host: u32| {
        let all = (0..1_500_u32).map(|n| {
            let count = Usage {
                slots: 1 + n % 300,
                unanswered: 1 + (n + host) % 50,
                reading_ms: 300 * (1 + n % 40),
                queued: 1 + n % 3,
                queued_reading_ms: 200 + n,
            };
            (Tag::of("some-service", &format!("organisation-{n}")), count)
        });
        Counts::new(all.collect(), BTreeMap::new())
    };
    for host in 0..31_u8 {
        let envelope = report(host.into(), 1, many(host.into()));
        let size = postcard_of(&Message::Shares(envelope.clone())).len();
        assert!(size < 1_472, "{size}");
        tally.receive(START, address(host), &envelope);
    }
    let (envelope, _) = tally.take_updates(START).unwrap();
    let size = postcard_of(&Message::ShareTotals(envelope.clone())).len();
    println!("totals take {size} bytes");
    assert!(size < 1_472, "{size}");
    let counts = totals(&envelope).counts;
    assert_eq!(counts.listed.len(), MAX_LISTED);
    let (listed, rest) = counts.at(Key::of_name("some-service"));
    assert!(listed.iter().all(|(_, count)| count.slots >= 280 * 31));
    assert!(rest.organisations >= 1_436);
}

/// Organisations with nothing in flight are left out, and a request counts until it ends,
/// in whichever order requests end.
#[test]
fn ledger_counts() {
    let ledger = Ledger::default();
    let name: Arc<str> = "large".into();
    let tag = Tag::of("e", "large");
    let sent = ledger.claim_sent("e", &name, READING);
    let queued = [
        ledger.claim_slot_wait("e", &name),
        ledger.claim_reading_wait("e", &name, READING),
    ];
    let (slots, unread, reading, waiting, queued_reading) = (1, 1, 30, 1, 30);
    let all = Usage {
        slots,
        unanswered: unread,
        reading_ms: reading,
        queued: waiting,
        queued_reading_ms: queued_reading,
    };
    assert_eq!(ledger.counts().listed, [(tag, all)]);
    sent.finish_reading();
    drop(queued);
    let writing = Usage {
        slots: 1,
        ..Usage::default()
    };
    assert_eq!(ledger.counts().listed, [(tag, writing)]);
    assert_eq!(ledger.name(tag.organisation), Some(name));
    drop(sent);
    assert!(ledger.counts().is_empty());
}

/// The number of unlisted organisations isn't added up over hosts, since these are mostly
/// the same ones.
#[test]
fn rests_are_summed() {
    let mut tally = Tally::default();
    let rest = Unlisted {
        organisations: 40,
        usage: Usage {
            slots: 50,
            ..Usage::default()
        },
    };
    for host in 1..=2 {
        let rests = BTreeMap::from([(Key::of_name("e"), rest)]);
        let counts = Counts::new(BTreeMap::new(), rests);
        tally.receive(START, address(host), &report(host.into(), 1, counts));
    }
    let (_, sum) = taken(&mut tally, START).counts.at(Key::of_name("e"));
    assert_eq!((sum.organisations, sum.usage.slots), (40, 100));
}

/// A request that is ranked behind others stays ahead of less urgent kinds, and is never
/// moved ahead.
#[parameterized(
    one_behind = { 1, 1, 0b1010, 2 },
    next_kind_is_close = { 1, 1, 0b0110, 1 },
    low_organisation = { 2, 1, 0b1010, 2 },
    only_kind = { 1, 1, 0b0010, 2 },
    more_urgent_kinds = { 3, 3, 0b1010, 4 },
    last = { 9, 6, 0b100_1010, 9 },
)]
fn ranks(own: u32, kind: u32, kinds: u16, expected: u32) {
    assert_eq!(demoted_rank(own, kind, kinds, 9), expected);
}

/// If each request of 1,500 organisations is ranked behind others, log lines stay few and
/// metrics name only the largest organisations.
#[test]
fn bounded_notices() {
    let mut notices = Notices::default();
    let mut names = BTreeSet::new();
    let mut lines = 0;
    for n in 0..1_500_usize {
        let name: Arc<str> = format!("organisation-{n}").into();
        names.insert(notices.label(&name, n % 20).to_owned());
        lines += u32::from(notices.allow_line(START).is_some());
    }
    assert_eq!((lines, names.len()), (5, 65));
    assert!(names.contains(OTHERS));
    assert_eq!(notices.allow_line(after(1_000)), Some(1_495));
}

/// Without keys, or with the keys of only one organisation, there are no shares.
#[parameterized(
    no_keys = { &[], false },
    one = { &["large"], false },
    two = { &["large", "small"], true },
)]
fn several_organisations(names: &[&str], expected: bool) {
    let limits = Limits {
        head: 16_384,
        body: 1 << 20,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let mut rules = Rules::builder(1, limits);
    for name in names {
        let organisation = Organisation {
            name: (*name).into(),
            priority: None,
        };
        let keys = [1, 2].map(|n| format!("{name}-{n}").into());
        rules.organisation(organisation, &keys).unwrap();
    }
    assert_eq!(rules.build().has_several_organisations(), expected);
}

/// A restarted relay that has heard only one of two hosts shows no organisation as over its
/// share that isn't.
#[test]
fn relay_knows_a_part() {
    let mut tally = Tally::default();
    let half = counts(&[("large", 9, 1), ("small", 3, 1)]);
    tally.receive(START, address(1), &report(1, 1, half));
    let mut known = Findings::default();
    hear(&mut known, START, 50, &taken(&mut tally, START));
    assert!(!is_over(&known, START, 50, "large"));
}
