//! Wrong answers are found and named.

use almondlock_bench::check::Verdict;
use almondlock_standin::answer::Key;
use yare::parameterized;

/// Pieces of the answer to the prompt, or of the answer to another one.
fn text(pieces: &[(&str, u64, u64)]) -> String {
    let piece = |(prompt, from, to): &(&str, u64, u64)| Key::new(prompt).range(*from, *to);
    pieces.iter().map(piece).collect()
}

#[parameterized(
    whole = { &[("mine", 0, 20)], Verdict::Whole },
    nothing = { &[], Verdict::Truncated(0) },
    truncated = { &[("mine", 0, 13)], Verdict::Truncated(13) },
    swapped = { &[("yours", 0, 20)], Verdict::Foreign(0) },
    swapped_midway = { &[("mine", 0, 9), ("yours", 9, 20)], Verdict::Foreign(9) },
    doubled_token = { &[("mine", 0, 8), ("mine", 7, 20)], Verdict::Doubled(8) },
    doubled_whole = { &[("mine", 0, 20), ("mine", 0, 20)], Verdict::Doubled(20) },
    restarted = { &[("mine", 0, 5), ("mine", 0, 20)], Verdict::Doubled(5) },
    missing = { &[("mine", 0, 5), ("mine", 6, 20)], Verdict::Gap(5) },
    too_long = { &[("mine", 0, 21)], Verdict::Foreign(20) },
)]
fn verdict(pieces: &[(&str, u64, u64)], expected: Verdict) {
    assert_eq!(Verdict::new(&Key::new("mine"), 20, &text(pieces)), expected);
}

// A token cut in its middle is no beginning of a right answer that a stream of
// whole tokens can have, but it is still only too short.
#[test]
fn cut_token() {
    let key = Key::new("mine");
    let whole = key.range(0, 20);
    let cut = &whole[..whole.len() - 3];
    assert_eq!(Verdict::new(&key, 20, cut), Verdict::Truncated(19));
}
