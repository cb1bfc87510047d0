//! The figures of a replica tell how its group stands, also without a leader.

#![allow(clippy::unwrap_used)]

mod group;

use group::{Group, announce, until};

/// What a line says, if there is one.
fn figure(text: &str, name: &str) -> Option<u64> {
    let found = text.lines().find_map(|line| line.strip_prefix(name));
    found.map(|level| level.trim().parse().unwrap())
}

async fn figures(group: &Group, n: usize) -> String {
    group.status(n).await.figures()
}

#[tokio::test]
async fn calm() {
    let group = Group::new(|b| b);
    group.accept(announce(1)).await;
    let leader = group.leader().await;
    for n in 0..3 {
        let text = until("a leader is known and nothing lacks", async || {
            let text = figures(&group, n).await;
            let known = figure(&text, "leader{known}") == Some(1);
            let applied = figure(&text, "log{applied}") == figure(&text, "log{last}");
            (known && applied).then_some(text)
        })
        .await;
        assert_eq!(figure(&text, "members{voters}"), Some(3));
        assert_eq!(figure(&text, "members{learners}"), Some(0));
        assert_eq!(figure(&text, "vote{own}"), Some(1));
        let leads = u64::from(n == leader);
        assert_eq!(figure(&text, "leader{own}"), Some(leads), "{text}");
        assert!(figure(&text, "changes{leaders}") >= Some(1));
        assert!(figure(&text, "log{syncs}") >= Some(1));
        assert_eq!(figure(&text, "votes{needed}"), None);
        let silent = figure(&text, "members{silent}");
        assert_eq!(silent, (n == leader).then_some(0));
        let behind = text
            .lines()
            .filter(|line| line.starts_with("behind{member="));
        assert_eq!(behind.count(), if n == leader { 3 } else { 0 });
    }
}

/// Guards against a group without a leader whose replicas tell nothing until there is one.
#[tokio::test]
async fn lost_quorum() {
    let mut group = Group::new(|b| b);
    group.accept(announce(1)).await;
    let leader = group.leader().await;
    let (silent, last) = ((leader + 1) % 3, (leader + 2) % 3);
    group.kill(silent);
    until("the leader counts one as silent", async || {
        let text = figures(&group, leader).await;
        (figure(&text, "members{silent}") == Some(1)).then_some(())
    })
    .await;
    let lost = group.status(leader).await;
    group.kill(leader);
    let text = until("votes are missing", async || {
        let text = figures(&group, last).await;
        (figure(&text, "votes{unanswered}") == Some(2)).then_some(text)
    })
    .await;
    assert_eq!(figure(&text, "leader{known}"), Some(0));
    assert_eq!(figure(&text, "votes{needed}"), Some(2));
    assert_eq!(figure(&text, "votes{granted}"), Some(1));
    let name = format!(
        "unanswered{{voter={}@{}}}",
        lost.id, group.addresses[leader]
    );
    assert_eq!(figure(&text, &name), Some(1), "{text}");
}
