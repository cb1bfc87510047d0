//! What an upstream names in the heads of its answers.

use super::Upstream;

impl Upstream {
    /// The header line that names its limit, if it names one.
    pub(super) fn limit_line(&self, limit: Option<u32>) -> String {
        let name = self.world.names.limit.as_str();
        match limit {
            _ if self.garbled.get() => format!("{name}: soon\r\n"),
            Some(limit) => format!("{name}: {}\r\n", f64::from(limit) / 1e3),
            None => String::new(),
        }
    }
}
