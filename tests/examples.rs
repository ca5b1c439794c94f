//! Runs the examples and compares their output with the expected output.

use std::process::Command;

use expect_test::expect;

#[test]
fn the_embedded_example_runs_a_job() {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let output = Command::new(cargo)
        .args(["run", "--quiet", "--example", "embedded"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .unwrap();
    let printed = String::from_utf8(output.stdout).unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    expect![[r#"
        the target runs task 0
        the target runs task 1
        the target runs task 2
        complete: 3 answers
        decision 1: Accepted { expected_wait_ms: 75, ahead: 0 }
        decision 2: BestCredit
        decision 3: BestCredit
        decision 4: BestCredit
        decision 5: Completed
    "#]]
    .assert_eq(&printed);
}
