//! Settings are printed as they count, and secrets are not.

use almondlock_settings::parse;

const TEXT: &str = r#"
# a control replica that is an entry host too
[host]
name = "c1"
domain: d1
region = r1
listen = [::1]:7300
data = C:\data

[entry]
listen = 127.0.0.1:0
body_bytes = 5000000

[replica]
admin = 127.0.0.1:7301
members = r3@[::1]:7300@[::1]:7301, r4@10.0.0.4:7300@10.0.0.4:7301
operator_key = 00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF
"#;

#[test]
fn values_are_read() {
    let settings = parse("c1.ini", TEXT).unwrap_or_else(|errors| panic!("{errors}"));
    let entry = settings.entry.expect("an entry");
    assert_eq!(entry.body_bytes, 5_000_000);
    assert_eq!(entry.header_timeout.as_millis(), 10_000);
    let replica = settings.replica.expect("a replica");
    assert_eq!(replica.members[1].address.to_string(), "10.0.0.4:7300");
    assert_eq!(settings.host.domain.as_str(), "d1");
    assert_eq!(settings.host.data, Some(r"C:\data".into()));
}

#[test]
fn secrets_are_masked() {
    let printed = parse("c1.ini", TEXT).expect("settings").to_string();
    assert!(!printed.to_lowercase().contains("00112233"));
    assert!(printed.contains("operator_key = ********"));
    assert!(printed.contains("# by default\nheader_timeout = 10000"));
    assert!(printed.contains("[log]\n# by default\nformat = text"));
}

#[test]
fn what_is_printed_is_read_back() {
    let printed = parse("c1.ini", TEXT).expect("settings").to_string();
    let hash = "1".repeat(64);
    let again = parse("again.ini", &printed.replace("********", &hash)).expect("settings");
    assert_eq!(again.to_string(), printed.replace("# by default\n", ""));
}
