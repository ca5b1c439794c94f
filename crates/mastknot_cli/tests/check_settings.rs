//! `mastknot check` reports an invalid settings file with one error that names the file, the line
//! or key, the value and the allowed values.

use std::path::PathBuf;
use std::process::Command;

use expect_test::{Expect, expect};
use rstest::rstest;

const ENTRY: &str = include_str!("../../../examples/settings/entry.toml");

fn check(kind: &str, name: &str, text: &str) -> (Option<i32>, String) {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = directory.join(format!("{name}.toml"));
    std::fs::write(&file, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_mastknot"))
        .args(["check", kind])
        .arg(&file)
        .output()
        .unwrap();
    let printed = [output.stdout, output.stderr].concat();
    let printed = String::from_utf8(printed).unwrap();
    let directory = format!("{}/", directory.display());
    (output.status.code(), printed.replace(&directory, ""))
}

#[rstest]
#[case::unknown_key(
    "unknown_key",
    ENTRY.replace("max_waiting =", "max_wait ="),
    expect![[r#"
        mastknot: unknown_key.toml, line 29: `max_wait = 50000        # tasks that may wait here, 1 to 1000000`: unknown field `max_wait`, expected one of `name`, `hall`, `callers_listen`, `operators_listen`, `metrics_listen`, `links_listen`, `links_address`, `store`, `vm_list`, `peers`, `statsd`, `profile`, `max_waiting`, `max_body_bytes`, `answer_bytes`, `max_records`, `max_key_age_s`, `max_clock_skew_ms`, `store_limit_ms`, `stop_deadline_ms`, `log`
    "#]]
)]
#[case::wrong_unit(
    "wrong_unit",
    ENTRY.replace("store_limit_ms = 1000", "store_limit_ms = \"1s\""),
    expect![[r#"
        mastknot: wrong_unit.toml, line 35: `store_limit_ms = "1s"      # longest call to the store, 50 to 10000`: invalid type: string "1s", expected u64
    "#]]
)]
#[case::out_of_range(
    "out_of_range",
    ENTRY.replace("max_waiting = 50000", "max_waiting = 0"),
    expect![[r#"
        mastknot: out_of_range.toml: `max_waiting` is 0, allowed is 1 to 1000000
    "#]]
)]
#[case::no_address(
    "no_address",
    ENTRY.replace("\"127.0.0.1:7100\"", "\"localhost\""),
    expect![[r#"
        mastknot: no_address.toml: `store` is "localhost", allowed is an IP address and a port, such as 127.0.0.1:7001
    "#]]
)]
#[case::unknown_profile(
    "unknown_profile",
    ENTRY.replace("profile = \"kalahari\"", "profile = \"fast\""),
    expect![[r#"
        mastknot: unknown_profile.toml: `profile` is "fast", allowed is kalahari, co-op
    "#]]
)]
#[case::no_toml("no_toml", "name = ".to_owned(), expect![[r#"
    mastknot: no_toml.toml, line 1: `name =`: string values must be quoted, expected literal string
"#]])]
fn bad_entry_settings_are_named(
    #[case] name: &str,
    #[case] text: String,
    #[case] expected: Expect,
) {
    let (code, printed) = check("entry", name, &text);
    assert_eq!(code, Some(2), "{printed}");
    expected.assert_eq(&printed);
}

#[rstest]
#[case("entry", "good-entry", ENTRY)]
#[case("entry", "good-entry-2", include_str!("../../../examples/settings/entry-2.toml"))]
#[case("side", "good-side", include_str!("../../../examples/settings/side.toml"))]
#[case("side", "good-side-2", include_str!("../../../examples/settings/side-2.toml"))]
fn the_example_settings_are_good(#[case] kind: &str, #[case] name: &str, #[case] text: &str) {
    let (code, printed) = check(kind, name, text);
    assert_eq!(code, Some(0), "{printed}");
}
