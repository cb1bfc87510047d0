//! Playing a crowd beside ordinary callers, and what came of it.

use std::{collections::BTreeMap, time::Duration};

use super::{
    Crowd, Door, Kind, Ordinary, Outcomes, Watch,
    ordinary::Tally,
    watch::{Peak, Watched},
};

/// Ordinary callers begin this long before the crowd.
const LEAD: Duration = Duration::from_millis(500);

/// A crowd to play.
pub struct Play<'a> {
    pub kinds: &'a [(Kind, usize)],
    pub doors: &'a [Door],
    pub ordinary: Door,
    pub watched: Vec<Watched>,
    pub span: Duration,
    pub seed: u64,
}

/// What a crowd did.
#[derive(Debug)]
pub struct Report {
    pub peaks: Vec<Peak>,
    pub tally: Tally,
    pub outcomes: Outcomes,
}

impl Play<'_> {
    /// Plays the crowd to its end.
    pub async fn run(self) -> Report {
        let watch = Watch::begin(self.watched);
        let ordinary = Ordinary::begin(self.ordinary, 0);
        tokio::time::sleep(LEAD).await;
        let crowd = Crowd::begin(self.kinds, self.doors, (self.span, self.seed));
        let waiting = tokio::task::spawn_blocking(move || (crowd.wait(), ordinary.end()));
        let (outcomes, tally) = waiting.await.unwrap();
        let peaks = watch.end();
        Report {
            peaks,
            tally,
            outcomes,
        }
    }
}

impl Report {
    /// Prints the figures, and checks what must hold whatever the crowd did: no process
    /// passed its machine's memory, and all ordinary requests were served.
    pub fn check(&self, what: &str) {
        let mebibytes = |bytes: u64| bytes as f64 / f64::from(1 << 20);
        for peak in &self.peaks {
            println!(
                "{what}: {} {:.0} MiB, {:.0} in the kernel, {} connections{}",
                peak.name,
                mebibytes(peak.bytes),
                mebibytes(peak.queued),
                peak.connections,
                if peak.ended { ", ended" } else { "" }
            );
        }
        let tally = &self.tally;
        println!(
            "{what}: ordinary {} of {}, median {:?}, 0.99 {:?}, statuses {:?}",
            tally.served,
            tally.sent,
            tally.quantile(0.5),
            tally.quantile(0.99),
            self.statuses()
        );
        for peak in &self.peaks {
            assert!(!peak.ended, "{what}: {peak:?} passed its machine's memory");
        }
        assert!(tally.failures.is_empty(), "{what}: {:?}", tally.failures);
    }

    /// How many requests of the crowd got which status; 0 stands for none.
    fn statuses(&self) -> BTreeMap<u16, usize> {
        let mut counts = BTreeMap::new();
        for (_, status) in &self.outcomes {
            *counts.entry(*status).or_default() += 1;
        }
        counts
    }
}
