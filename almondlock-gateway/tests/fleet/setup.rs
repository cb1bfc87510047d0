//! Settings and outcome of a simulated fleet.

/// Fault of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// The upstream is slower by this factor.
    Slow(f64),
    /// This fraction of requests is answered with an error at once.
    Error(f64),
    /// This fraction of requests is never answered.
    Hang(f64),
}

/// Size, load and faults of a fleet.
pub struct Setup {
    pub hosts: usize,
    pub upstreams: usize,
    pub per_second: f64,
    pub seed: u64,
    /// Whether hosts eject upstreams.
    pub is_judging: bool,
    /// Whether reports get through.
    pub has_relays: bool,
    /// Host that reports that all upstreams fail and are slow.
    pub liar: Option<usize>,
    /// Host that sees every event later, and by how much.
    pub late: Option<(usize, f64)>,
    /// Returns the fault of an upstream at a time in seconds.
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

/// Outcome of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: u32,
    /// Number of first events within the objective.
    pub in_time: u32,
    /// Number of attempts that failed.
    pub failures: u32,
    /// Number of requests that probed ejected upstreams.
    pub probes: u32,
    /// Ejections and reinstatements: time, host, upstream, and whether it was ejected.
    pub changes: Vec<(f64, usize, usize, bool)>,
    /// Maximum number of upstreams that one host had ejected.
    pub most_ejected: usize,
    /// Upstreams that each host had ejected at the end.
    pub ejected: Vec<Vec<usize>>,
}

impl Outcome {
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests)
    }
}
