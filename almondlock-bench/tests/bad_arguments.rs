//! Arguments that can't be used are refused by name.

use almondlock_bench::arguments::Arguments;
use gumdrop::Options;
use yare::parameterized;

fn refusal(arguments: &str) -> String {
    let arguments: Vec<&str> = arguments.split(' ').collect();
    match Arguments::parse_args_default(&arguments) {
        Ok(arguments) => arguments.plan().expect_err("they can't be used"),
        Err(error) => error.to_string(),
    }
}

#[parameterized(
    nothing = { "--seconds 3", "--target" },
    unknown = { "--sceonds 3", "--sceonds" },
    no_number = { "--embedded many", "--embedded" },
    no_seconds = { "--embedded 1 --seconds 0", "--seconds 0" },
    no_rate = { "--embedded 1 --rate nan", "--rate" },
    share = { "--embedded 1 --long-share 1.5", "--long-share" },
    factor = { "--embedded 1 --factor -1", "--factor" },
    policy = { "--embedded 1 --policies fastest", "fastest" },
    framing = { "--embedded 1 --engine-framing odd", "--engine-framing odd" },
    scheme = { "--target 127.0.0.1:80", "127.0.0.1:80" },
    port = { "--target http://127.0.0.1", "http://127.0.0.1" },
    pair = { "--compare http://127.0.0.1:80", "NAME=URL" },
    key = { "--embedded 1 --organisation north", "north" },
    weight = { "--embedded 1 --organisation north:key:x", "north:key:x" },
)]
fn refused(arguments: &str, names: &str) {
    let text = refusal(arguments);
    assert!(text.contains(names), "{text}");
}

#[test]
fn taken() {
    let arguments = "--embedded 2 --policies least-priority --organisation a:k:2 \
                     --compare x=http://127.0.0.1:1,http://127.0.0.1:2 y=http://127.0.0.1:3";
    let arguments: Vec<&str> = arguments.split_whitespace().collect();
    let plan = Arguments::parse_args_default(&arguments)
        .unwrap()
        .plan()
        .unwrap();
    let names: Vec<&str> = plan.arms.iter().map(|arm| arm.name.as_str()).collect();
    assert_eq!(names, ["least-priority", "x", "y"]);
    assert_eq!(plan.manner.keys, ["k"]);
    assert_eq!(plan.workload.organisations, [2]);
}
