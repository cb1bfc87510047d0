//! What was sent, answered and run, one line each, with the seconds since the start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    begun: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let out = BufWriter::new(File::create(path)?);
        Ok(Record {
            begun: Instant::now(),
            out: Arc::new(Mutex::new(out)),
        })
    }

    pub fn write(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut out = self.out.lock().unwrap_or_else(|held| held.into_inner());
        // A record that can't be written shows itself by its missing lines.
        let _ = writeln!(out, "{at:8.3} {text}");
    }

    /// Writes a line that is also shown.
    pub fn say(&self, text: &str) {
        self.write(text);
        println!("{text}");
        let _ = self
            .out
            .lock()
            .unwrap_or_else(|held| held.into_inner())
            .flush();
    }
}
