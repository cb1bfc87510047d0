//! A seed decides what is sent and when.

use std::time::Duration;

use almondlock_bench::workload::{Config, LONG_FROM, Request, SHORTEST, plan};
use almondlock_standin::answer;

fn config() -> Config {
    Config {
        seed: 7,
        salt: 1,
        rate: 100.0,
        span: Duration::from_secs(100),
        requests: 100_000,
        median: 2_500.0,
        sigma: 0.8,
        long_share: 0.02,
        longest: 1_000_000,
        answer: 60.0,
        shared: 0.0,
        once: 0.1,
        organisations: vec![1, 3],
    }
}

#[test]
fn same_seed() {
    assert_eq!(plan(&config()), plan(&config()));
    assert_ne!(
        plan(&config()),
        plan(&Config {
            seed: 8,
            ..config()
        })
    );
}

// 10,000 requests are expected; the bounds are five standard deviations wide.
#[test]
fn shares() {
    let requests = plan(&config());
    let count = |test: fn(&Request) -> bool| requests.iter().filter(|r| test(r)).count();
    assert!((9_500..10_500).contains(&requests.len()));
    assert!((130..270).contains(&count(|r| r.prompt >= LONG_FROM)));
    assert!((850..1_150).contains(&count(|r| r.once)));
    assert!((7_200..7_800).contains(&count(|r| r.organisation == 1)));
    assert!(
        requests
            .iter()
            .all(|r| (SHORTEST..=1_000_000).contains(&r.prompt))
    );
    assert!(requests.is_sorted_by_key(|r| r.at));
}

#[test]
fn bounds() {
    let few = plan(&Config {
        requests: 10,
        ..config()
    });
    assert_eq!(few.len(), 10);
    assert_eq!(few[..], plan(&config())[..10]);
    assert!(
        plan(&Config {
            longest: 50_000,
            ..config()
        })
        .iter()
        .all(|r| r.prompt <= 50_000)
    );
}

// Without long prompts the others stay as they are, at the same moments: that is
// what makes a slowdown a slowdown.
#[test]
fn others_unchanged() {
    let with = plan(&config());
    let without = plan(&Config {
        long_share: 0.0,
        ..config()
    });
    assert_eq!(with.len(), without.len());
    for (a, b) in with
        .iter()
        .zip(&without)
        .filter(|(a, _)| a.prompt < LONG_FROM)
    {
        assert_eq!(a, b);
    }
}

#[test]
fn texts() {
    let requests = plan(&Config {
        requests: 50,
        shared: 0.5,
        ..config()
    });
    for request in &requests {
        assert_eq!(answer::prompt_tokens(&request.text()), request.prompt);
    }
    let with = |prefix: u64| requests.iter().filter(move |r| r.prefix == prefix);
    let mut same = with(requests[0].prefix);
    let (a, b) = (same.next().unwrap(), same.next().unwrap());
    let bytes = a.shared.min(b.shared) as usize * answer::BYTES_PER_TOKEN;
    assert!(bytes > 1_000);
    assert_eq!(a.text()[..bytes], b.text()[..bytes]);
    assert_ne!(a.text(), b.text());
}

// A system that is measured twice must not find the prompts of the first time in
// its caches, but be asked for as much as before.
#[test]
fn salted() {
    let first = plan(&config());
    let second = plan(&Config {
        salt: 2,
        ..config()
    });
    for (a, b) in first.iter().zip(&second).take(20) {
        assert_eq!((a.at, a.prompt, a.answer), (b.at, b.prompt, b.answer));
        assert_ne!(a.text()[..40], b.text()[..40]);
    }
}
