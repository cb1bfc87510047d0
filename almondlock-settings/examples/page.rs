//! Prints `docs/settings.md`.

fn main() {
    print!("{}", almondlock_settings::page());
}
