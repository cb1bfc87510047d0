//! A process returns after many changes.

mod fleet;

use almondlock_base::unit::Revision;
use almondlock_spread::view::View;
use almondlock_transport::fault::Plan;
use fleet::{accept, all_have, process, source, until};
use yare::parameterized;

/// A process starts when so many changes have been accepted that those it lacks
/// fit one answer, or several, or are no longer kept, so that it needs the
/// whole configuration in pieces (F22). Until it has all of it, it is not ready;
/// meanwhile changes go on.
#[parameterized(
    one_answer = { 500 },
    several = { 5_000 },
    whole = { 50_000 },
)]
fn catches_up(missed: u64) {
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(async move {
        let view = View::new();
        accept(&view, missed);
        let root = source("c1", &view, None).await;
        let plan = Plan::new();
        let node = process("h1", "d1", &[root.address()], &plan).await;
        let mut last = Revision::ZERO;
        until("it is ready", || {
            accept(&view, 1);
            let revision = node.handle().view().revision();
            assert!(revision >= last, "back from {last} to {revision}");
            last = revision;
            assert!(!node.is_recent() || revision.0 >= missed);
            node.is_recent()
        })
        .await;
        until("it has everything", || {
            all_have(std::slice::from_ref(&node), &view)
        })
        .await;
    });
}
