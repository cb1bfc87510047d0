//! What reading a JSON text may take.

use almondlock_intake::reading::Reading;
use yare::parameterized;

/// Guards against elements that are missed, so that a text of legal size takes more memory
/// than the process has.
#[parameterized(
    nothing = { "", 0, 0 },
    empty_object = { "{}", 1, 0 },
    object_fields = { r#"{"a":0,"b":1}"#, 1, 0 },
    list_elements = { "[1,2,3]", 0, 3 },
    nested_lists = { r#"{"a":[{"b":[1,2]},{"c":0,"d":1}]}"#, 3, 4 },
    in_strings = { r#"{"a,[{":"\",[{","b":"\\"}"#, 1, 0 },
    after_list = { r#"{"a":[1],"b":0,"c":0}"#, 1, 1 },
    unended_string = { r#"["a,b"#, 0, 1 },
    unopened = { "]]],[0,0]", 0, 2 },
)]
fn counted(text: &str, objects: u64, elements: u64) {
    let bytes = objects * 512 + elements * 160;
    assert!(Reading::new(bytes).check(text.as_bytes()).is_ok());
    if bytes > 0 {
        let error = Reading::new(bytes - 1).check(text.as_bytes()).unwrap_err();
        assert_eq!((error.objects, error.elements), (objects, elements));
    }
}

/// Guards against lists that are hidden behind more levels than are told apart.
#[test]
fn deep_text() {
    let deep = "[".repeat(200) + &"]".repeat(200);
    let text = format!(r#"{{"a":{deep},"b":[0,0,0]}}"#);
    let error = Reading::new(0).check(text.as_bytes()).unwrap_err();
    assert_eq!((error.objects, error.elements), (1, 203));
}

/// Guards against a default that a configuration of thousands of routes meets.
#[test]
fn many_routes() {
    let route = r#"{"name":"r-2yhvz3p","host":"ficu95.example","split":[{"service":"a","weight":90},{"service":"b","weight":10}],"attempts":2}"#;
    let text = format!(r#"{{"routes":[{}]}}"#, vec![route; 20_000].join(","));
    assert!(Reading::new(64 << 20).check(text.as_bytes()).is_ok());
}
