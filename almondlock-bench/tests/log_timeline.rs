//! The log of entry hosts, summed up by when requests were sent and how long their
//! prompts were.

use std::time::Duration;

use almondlock_bench::timeline::{Length, csv, read, rows};

const LOG: &str = r#"
text that is no line of a log
   1.2000 entry-1 {"message":"sent","request":"a","prompt":5000,"expected_ms":"100"}
   1.3000 entry-1 {"message":"sent","request":"b","prompt":4000,"expected_ms":"120"}
   1.4000 entry-2 {"message":"sent","request":"c","prompt":210000,"expected_ms":"900"}
   1.4500 entry-2 {"message":"sent","request":"d","prompt":0,"expected_ms":"0"}
   1.9000 entry-2 {"message":"attempt failed","request":"c","reason":"the stream stopped"}
   2.0000 entry-2 {"message":"sent","request":"c","prompt":210000,"expected_ms":"300"}
   2.5000 entry-1 {"message":"ended","request":"a","first_ms":"150","longest_pause_ms":"60"}
   2.6000 entry-1 {"message":"ended","request":"b","outcome":"refused"}
   3.0000 entry-2 {"message":"ended","request":"c","first_ms":1400,"longest_pause_ms":"80"}
   3.1000 entry-2 {"message":"ended","request":"d"}
"#;

#[test]
fn by_length() {
    let log = read(LOG);
    assert_eq!(log.requests.len(), 3);
    assert_eq!(log.failures, [(1.9, "the stream stopped".to_owned())]);
    let rows = rows(&log, Duration::from_secs(2));
    let [short, long] = &rows[..] else {
        panic!("{rows:?}");
    };
    assert_eq!((short.from, short.length), (0, Length::Short));
    assert_eq!((short.count, short.unserved, short.again), (2, 1, 0));
    assert_eq!((short.error, short.pause), ((50.0, 50.0), (60.0, 60.0)));
    assert_eq!((long.length, long.count, long.again), (Length::Long, 1, 1));
    // Of the attempts before, the first one's expectation counts.
    assert_eq!((long.expected, long.error.0), (900.0, 500.0));
}

#[test]
fn as_table() {
    let table = csv(&rows(&read(LOG), Duration::from_secs(2)));
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines.len(), 3);
    assert_eq!(lines[1], "0,short,2,1,0,120,50,50,60,60");
}
