//! Upstreams that start again under their names.

use std::io;

use tokio::time::sleep;

use super::{Fleet, RESTART};

impl Fleet {
    /// An upstream dies and starts again under its own name. If it has `moved`, it serves the
    /// other service from then on.
    pub(super) async fn restart(&self, n: usize, moved: bool) -> io::Result<()> {
        let old = self.present(n);
        old.iter().for_each(|upstream| upstream.crash());
        sleep(RESTART).await;
        let name = old.map(|upstream| upstream.name().to_owned());
        self.replace(n, name, moved).await
    }
}
