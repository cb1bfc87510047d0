//! A request or its answer is lost in transit. The caller may be told "not run" only if no
//! attempt can have run, and only then is a request that may not be repeated sent again.

use std::time::Duration;

use almondlock_base::{Code, Ran};
use almondlock_gateway::{
    failure::{Failure, may_retry, merge_ran, result_code},
    rules::Kind,
};
use yare::parameterized;

const ONCE: Kind = Kind::Stream {
    resumable: false,
    pause: Duration::ZERO,
};
const RESUMABLE: Kind = Kind::Stream {
    resumable: true,
    pause: Duration::ZERO,
};

#[parameterized(
    unsent = { Failure::Unsent, Ran::No },
    rejected = { Failure::Rejected, Ran::No },
    misdirected = { Failure::Misdirected, Ran::No },
    lost = { Failure::Lost, Ran::Unknown },
    silent = { Failure::Silent, Ran::Unknown },
    answered = { Failure::Answered, Ran::Yes },
)]
fn single_attempt(failure: Failure, ran: Ran) {
    assert_eq!(merge_ran(Ran::No, failure), ran);
    assert_eq!(may_retry(Kind::Unsafe, ran, 0, 2), ran == Ran::No);
    assert_eq!(may_retry(ONCE, ran, 0, 2), ran == Ran::No);
    assert!(may_retry(Kind::Safe, ran, 1, 2));
    assert!(may_retry(RESUMABLE, ran, 1, 2));
    assert!(!may_retry(Kind::Safe, ran, 2, 2));
}

#[test]
fn once_unknown_stays() {
    let ran = merge_ran(Ran::No, Failure::Lost);
    let ran = merge_ran(ran, Failure::Rejected);
    assert_eq!(ran, Ran::Unknown);
    assert!(!may_retry(Kind::Unsafe, ran, 1, 9));
}

/// The statuses 408, 421, 429 and 503 promise that the request has not run.
#[test]
fn status_is_true() {
    use Failure::{Answered, Lost, Misdirected, Rejected, Silent, Unsent};
    for failure in [Unsent, Rejected, Misdirected, Lost, Silent, Answered] {
        for before in [Ran::No, Ran::Unknown, Ran::Yes] {
            let ran = merge_ran(before, failure);
            let promises = matches!(result_code(ran, failure).status(), 408 | 421 | 429 | 503);
            assert_eq!(promises, ran == Ran::No, "{failure:?} after {before:?}");
        }
    }
    assert_eq!(
        result_code(Ran::Unknown, Failure::Silent),
        Code::DeadlinePassed
    );
}
