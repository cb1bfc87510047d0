//! What befalls a fleet, and what comes of it.

/// What an upstream does to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// So many times slower.
    Slow(f64),
    /// This part of the requests is answered with an error at once.
    Error(f64),
    /// This part is never answered.
    Hang(f64),
}

/// A fleet and what befalls it.
pub struct Setup {
    pub hosts: usize,
    pub upstreams: usize,
    pub per_second: f64,
    pub seed: u64,
    /// Hosts judge.
    pub is_judging: bool,
    /// Reports get through.
    pub has_relays: bool,
    /// This host reports that all upstreams fail and are slow.
    pub liar: Option<usize>,
    /// This host sees everything so much later.
    pub late: Option<(usize, f64)>,
    /// What an upstream does at a time, in seconds.
    pub fault: fn(usize, f64) -> Fault,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            hosts: 27,
            upstreams: 54,
            per_second: 64.0,
            seed: 1,
            is_judging: true,
            has_relays: true,
            liar: None,
            late: None,
            fault: |_, _| Fault::None,
        }
    }
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: u32,
    /// First events within the objective.
    pub in_time: u32,
    /// Attempts that failed.
    pub failures: u32,
    /// Requests that went to ejected upstreams to probe them.
    pub probes: u32,
    /// Changes of belief: time, host, upstream, ejected.
    pub changes: Vec<(f64, usize, usize, bool)>,
    /// The most upstreams that one host had ejected.
    pub most_ejected: usize,
    /// Upstreams that the host had ejected at the end, for each.
    pub ejected: Vec<Vec<usize>>,
}

impl Outcome {
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests)
    }
}
