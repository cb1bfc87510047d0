//! A panic is logged as one line. A file of its own, since the hook and the log are those of
//! the whole process.

use std::sync::{Arc, Mutex};

use almondlock_task::{Panicked, guard, log_panics};
use tokio::runtime::Builder;
use tracing_subscriber::fmt::MakeWriter;

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Lines;

    fn make_writer(&'a self) -> Lines {
        self.clone()
    }
}

/// Guards against a panic without a line that names the task and the place.
#[test]
fn named_line() {
    let lines = Lines::default();
    let log = tracing_subscriber::fmt().json().with_writer(lines.clone());
    let result = tracing::subscriber::with_default(log.finish(), || {
        log_panics();
        let runtime = Builder::new_current_thread().build().unwrap();
        runtime.block_on(guard("logged", async {
            let number = 7;
            panic!("a number: {number}")
        }))
    });
    assert_eq!(result, Err::<(), _>(Panicked { task: "logged" }));
    let text = String::from_utf8(lines.0.lock().unwrap().clone()).unwrap();
    let line = text.lines().find(|line| line.contains("\"logged\""));
    let line = line.unwrap();
    assert!(line.contains("logged_panic.rs:"), "{line}");
    assert!(line.contains("a number: 7"), "{line}");
}
