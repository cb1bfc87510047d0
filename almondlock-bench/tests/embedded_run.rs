//! A small experiment on embedded engines, from arguments to figures.

use almondlock_bench::{arguments::Arguments, plot, report, summary::Summary};
use gumdrop::Options;
use yare::parameterized;

// Two policies, two runs, with and without long prompts: every answer is whole,
// and each comparison that was asked for is there.
#[test]
fn figures() {
    let arguments = "--embedded 2 --policies random,least-priority --factor 100 --rate 2 \
                     --seconds 0.4 --drain 60 --requests 40 --longest 120000 --long-share 0.1 \
                     --answer 10 --runs 2 --slowdown";
    let arguments: Vec<&str> = arguments.split_whitespace().collect();
    let plan = Arguments::parse_args_default(&arguments)
        .unwrap()
        .plan()
        .unwrap();
    let measured = plan.run(|_, _, _| {}).unwrap();
    assert_eq!(measured.len(), 2 * 2 * 2);
    let summary = Summary::new(&plan.arms, &measured);
    assert_eq!(summary.wrong, 0);
    for row in &summary.rows {
        assert_eq!(row.ends.get("whole"), Some(&row.requests), "{row:?}");
    }
    let ratio = |arm: &str, against: &str| {
        let mut ratios = summary.ratios.iter();
        ratios.any(|r| r.arm == arm && r.against == against && r.class == "short")
    };
    assert!(ratio("least-priority", "random"));
    assert!(ratio("random", "random without long"));

    let table = report::table(&summary);
    assert!(table.contains("wrong answers: 0"));
    let csv = report::csv(&summary);
    let columns: Vec<usize> = csv.lines().map(|line| line.split(',').count()).collect();
    assert!(columns.iter().all(|count| *count == columns[0]));
    assert_eq!(columns.len(), summary.rows.len() + 1);
    let svg = plot::svg(&summary);
    assert!(svg.starts_with("<svg") && svg.ends_with("</svg>\n"));
    assert_eq!(svg.matches("stroke=\"black\"").count(), bars(&summary));
}

fn ends(framing: &str) -> (u64, u64, u64) {
    let arguments = format!(
        "--embedded 2 --policies least --factor 100 --rate 2 --seconds 0.2 --drain 60 \
         --requests 20 --longest 20000 --answer 10 --engine-framing {framing}"
    );
    let arguments: Vec<&str> = arguments.split_whitespace().collect();
    let plan = Arguments::parse_args_default(&arguments).unwrap().plan();
    let plan = plan.unwrap();
    let measured = plan.run(|_, _, _| {}).unwrap();
    let summary = Summary::new(&plan.arms, &measured);
    let count = |end: &str| {
        let ends = summary.rows.iter().map(|row| row.ends.get(end));
        ends.map(|count| count.copied().unwrap_or_default()).sum()
    };
    (count("whole"), count("lost"), summary.wrong)
}

/// Guards against engines' answers that end with their connection being taken for empty, and
/// against cut ones being taken for whole.
#[parameterized(
    unmarked = { "unmarked", true },
    cut = { "cut:500", false },
    reset = { "reset:500", false },
)]
fn unmarked_answers(framing: &str, is_whole: bool) {
    let (whole, lost, wrong) = ends(framing);
    assert_eq!(wrong, 0);
    assert_eq!((whole > 0, lost > 0), (is_whole, !is_whole));
}

fn bars(summary: &Summary) -> usize {
    let rows = summary.rows.iter().filter(|row| row.pass == "all");
    rows.filter(|row| row.first_p95.is_some()).count()
}
