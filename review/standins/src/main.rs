//! Cases of the review: each starts a small deployment, disturbs it, and judges what clients
//! and servers saw. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.

mod fleet;
mod frozen;
mod http;
mod moved;
mod named;
mod server;
mod wiped;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let mut arguments = env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let root = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let record = PathBuf::from(arguments.next().unwrap_or_else(|| "record.txt".to_owned()));
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let result = match name.as_str() {
        "named" => named::run(&root, &record, trouble),
        "wiped" => wiped::run(&root, &record, trouble),
        "moved" => moved::run(&root, &record),
        "frozen" => frozen::run(&root, &record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(true) => {
            println!("the rule held");
            exit(0)
        }
        Ok(false) => {
            println!("the rule was broken");
            exit(1)
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            exit(2)
        }
    }
}
