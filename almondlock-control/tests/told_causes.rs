//! What replicas log of their group tells why nobody leads it, from the lines of one replica
//! alone.

#![allow(clippy::unwrap_used)]

mod group;

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError},
};

use group::{Group, announce, until};
use serde_json::Value;
use tracing_subscriber::fmt::MakeWriter;

/// All lines of the process. Fields of a replica tell whose a line is.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    fn named(&self, message: &str) -> Vec<Value> {
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let text = String::from_utf8(bytes.clone()).unwrap();
        let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
        let fields = lines.map(|line: Value| line["fields"].clone());
        fields.filter(|line| line["message"] == message).collect()
    }

    async fn until<F>(&self, message: &str, test: F) -> Value
    where
        F: Fn(&Value) -> bool,
    {
        until(message, async || {
            let lines = self.named(message).into_iter();
            lines.rev().find(|line| test(line))
        })
        .await
    }
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Lines;

    fn make_writer(&'a self) -> Lines {
        self.clone()
    }
}

fn text<'a>(line: &'a Value, field: &str) -> &'a str {
    line[field].as_str().unwrap_or_default()
}

/// Guards against a group that lost its quorum, of whose voters no line says who they are,
/// which of them answer and what the leader did about it. One test, since the lines of all
/// replicas of a process arrive at one place.
#[tokio::test]
async fn lost_quorum() {
    let lines = Lines::default();
    tracing_subscriber::fmt()
        .json()
        .with_writer(lines.clone())
        .init();
    let mut group = Group::new(|builder| builder.repairs(true));
    group.accept(announce(1)).await;
    let leader = group.leader().await;
    let mut ids = Vec::new();
    for n in 0..3 {
        ids.push(group.status(n).await.id.to_string());
    }
    lines
        .until("members in force", |line| {
            let voters = text(line, "voters");
            ids.iter().all(|id| voters.contains(id)) && line["accepted"] == true
        })
        .await;

    let newcomer = group.add_host();
    group.start(newcomer);
    let new = group.status(newcomer).await.id.to_string();
    let added = lines
        .until("changes the members", |line| line["kind"] == "add")
        .await;
    assert!(text(&added, "member").contains(&new), "{added}");
    assert!(
        text(&added, "others").contains("voter silent_ms="),
        "{added}"
    );
    lines
        .until("members in force", |line| {
            text(line, "learners").contains(&new) && line["accepted"] == true
        })
        .await;

    let lost = (leader + 1) % 3;
    group.kill(lost);
    let removed = lines
        .until("changes the members", |line| {
            line["kind"] == "remove" && text(line, "member").contains(&ids[lost])
        })
        .await;
    assert!(removed["silent_ms"].as_u64() > Some(0), "{removed}");
    lines
        .until("members in force", |line| {
            let voters = text(line, "voters");
            voters.contains(&new) && !voters.contains(&ids[lost]) && line["accepted"] == true
        })
        .await;

    let second = (leader + 2) % 3;
    group.kill(second);
    let silent = lines
        .until("member silent", |line| {
            text(line, "member").contains(&ids[second])
        })
        .await;
    assert_eq!(
        (&silent["answering"], &silent["quorum"]),
        (&2.into(), &2.into())
    );
    group.kill(newcomer);
    lines
        .until("leads no more", |line| text(line, "others").contains(&new))
        .await;
    let failed = lines
        .until("no leader, votes are missing", |line| {
            let unanswered = text(line, "unanswered");
            [&new, &ids[second]]
                .iter()
                .all(|id| unanswered.contains(*id))
        })
        .await;
    assert_eq!(
        (&failed["quorum"], &failed["voters"]),
        (&2.into(), &3.into())
    );
    assert!(text(&failed, "granted").contains(&ids[leader]), "{failed}");

    group.wipe(lost);
    group.start(lost);
    let wiped = group.status(lost).await.id.to_string();
    lines
        .until("replicas ask to join", |line| {
            text(line, "newcomers").contains(&wiped)
        })
        .await;
    group.start(second);
    group.accept(announce(2)).await;
}
