//! `mastknot explain --logs`: log lines and outcome of a request, and the summary of jobs that were
//! not done in time.

use std::path::PathBuf;
use std::process::Command;

use expect_test::{Expect, expect};

const ENTRY: &str = r#"{"at":100.000,"event":"job_taken","job":"aa00000000000001","objective_ms":150,"request_id":"r1","tasks":2,"waiting_jobs":0}
{"at":100.001,"event":"task_placed","run":"aa00000000000001/0/0#7","request_id":"r1","side":"side-1","waited_ms":1}
{"at":100.002,"event":"task_placed","run":"aa00000000000001/0/1#8","request_id":"r1","side":"side-2","waited_ms":2}
{"at":100.090,"event":"run_ended","run":"aa00000000000001/0/1#8","request_id":"r1","side":"side-2","end":"Lost","failures":0}
{"at":100.091,"event":"task_placed","run":"aa00000000000001/0/1#9","request_id":"r1","side":"side-1","waited_ms":91}
{"at":100.200,"event":"job_answered","job":"aa00000000000001","request_id":"r1","answer":"Completed","after_ms":200,"first_start_ms":1,"starts":3,"in_time":false}
not a line of ours
{"at":100.100,"event":"job_taken","job":"aa00000000000002","objective_ms":150,"request_id":"r2","tasks":1,"waiting_jobs":9}
{"at":100.600,"event":"job_answered","job":"aa00000000000002","request_id":"r2","answer":"Refused","after_ms":500,"first_start_ms":null,"starts":0,"in_time":false}
{"at":100.300,"event":"job_taken","job":"aa00000000000003","objective_ms":150,"request_id":"r3","tasks":1,"waiting_jobs":0}
"#;

const SIDE: &str = r#"{"at":100.080,"event":"lease_ended","entry":"entry-1"}
{"at":100.089,"event":"run_ended","run":"aa00000000000001/0/1#8","end":"Lost","ran_ms":87}
"#;

fn explain(name: &str, id: &str) -> (Option<i32>, String) {
    explain_files(name, &[("entry-1.log", ENTRY), ("side-2.log", SIDE)], id)
}

fn explain_files(name: &str, files: &[(&str, &str)], id: &str) -> (Option<i32>, String) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_mastknot"));
    command.arg("explain");
    for (file, text) in files {
        let path = folder.join(file);
        std::fs::write(&path, text).unwrap();
        command.arg("--logs").arg(path);
    }
    let output = command.arg(id).output().unwrap();
    let printed = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(printed).unwrap())
}

fn check(name: &str, id: &str, code: i32, expected: Expect) {
    let (exit, printed) = explain(name, id);
    expected.assert_eq(&printed);
    assert_eq!(exit, Some(code));
}

#[test]
fn a_late_request_shows_the_run_that_made_it_late() {
    check(
        "late",
        "r1",
        0,
        expect![[r#"
                   0 ms  entry-1  job_taken  job=aa00000000000001 objective_ms=150 tasks=2 waiting_jobs=0
                   1 ms  entry-1  task_placed  run=aa00000000000001/0/0#7 side=side-1 waited_ms=1
                   2 ms  entry-1  task_placed  run=aa00000000000001/0/1#8 side=side-2 waited_ms=2
                  89 ms  side-2  run_ended  end=Lost ran_ms=87 run=aa00000000000001/0/1#8
                  90 ms  entry-1  run_ended  end=Lost failures=0 run=aa00000000000001/0/1#8 side=side-2
                  91 ms  entry-1  task_placed  run=aa00000000000001/0/1#9 side=side-1 waited_ms=91
                 200 ms  entry-1  job_answered  after_ms=200 answer=Completed first_start_ms=1 in_time=false job=aa00000000000001 starts=3
            It ended as Completed after 200 ms: 1 runs were broken, last aa00000000000001/0/1#8 on side-2 (Lost).
        "#]],
    );
}

#[test]
fn a_refused_request_found_no_capacity() {
    check(
        "refused",
        "r2",
        0,
        expect![[r#"
               0 ms  entry-1  job_taken  job=aa00000000000002 objective_ms=150 tasks=1 waiting_jobs=9
             500 ms  entry-1  job_answered  after_ms=500 answer=Refused first_start_ms=null in_time=false job=aa00000000000002 starts=0
        It ended as Refused after 500 ms: it found no capacity; 0 starts were turned away.
    "#]],
    );
}

const CRASHING: &str = r#"{"at":100.000,"event":"job_taken","job":"aa00000000000009","objective_ms":150,"request_id":"r9","tasks":1,"waiting_jobs":0}
{"at":100.001,"event":"task_placed","run":"aa00000000000009/0/0#7","request_id":"r9","side":"side-1","waited_ms":1}
{"at":100.014,"event":"run_ended","run":"aa00000000000009/0/0#7","request_id":"r9","side":"side-1","end":"Crashed","failures":0,"crashes":1}
{"at":100.015,"event":"task_placed","run":"aa00000000000009/0/0#8","request_id":"r9","side":"side-2","waited_ms":15}
{"at":100.028,"event":"task_given_up","task":"aa00000000000009/0/0","request_id":"r9","crashes":2,"ran_ms":"[12, 12]"}
{"at":100.028,"event":"job_answered","job":"aa00000000000009","request_id":"r9","answer":"Failed { cause: CrashesTargets }","after_ms":28,"first_start_ms":1,"starts":2,"in_time":true}
"#;

#[test]
fn a_failed_request_shows_the_task_that_crashes_targets() {
    let files = [("entry-1.log", CRASHING)];
    let (exit, printed) = explain_files("crashing", &files, "r9");
    let last = printed.lines().last();
    let expected = "It ended as Failed { cause: CrashesTargets } after 28 ms: 2 targets crashed under task \
                aa00000000000009/0/0, after [12, 12] ms.";
    assert_eq!((exit, last), (Some(0), Some(expected)));
    let (_, summary) = explain_files("crashing-all", &files, "--summary");
    assert!(summary.contains("1  crashes targets"), "{summary}");
}

#[test]
fn a_request_without_an_answer_points_at_its_entry() {
    check(
        "unanswered",
        "r3",
        0,
        expect![[r#"
               0 ms  entry-1  job_taken  job=aa00000000000003 objective_ms=150 tasks=1 waiting_jobs=0
        It was accepted and never answered: the entry stopped or hung; look for its `started` event and for `lease_ended` events of the sides.
    "#]],
    );
}

#[test]
fn an_id_that_no_log_contains_is_not_found() {
    check(
        "unknown",
        "r9",
        4,
        expect![[r#"
        mastknot: no line about r9; give the logs of all entries and sides
    "#]],
    );
}

#[test]
fn a_summary_puts_each_job_that_is_not_in_time_under_one_cause() {
    check(
        "summary",
        "--summary",
        0,
        expect![[r#"
            3 jobs, 3 of them not in time
                  1  no capacity           first request r2
                  1  broken run            first request r1
                  1  no answer             first request r3
            by queue
                no capacity 1, broken run 1, no answer 1
            by entry
              entry-1  no capacity 1, broken run 1, no answer 1
            by second
                  0  no capacity 1, broken run 1, no answer 1
        "#]],
    );
}

const BUSY_ENTRY: &str = r#"{"at":50.000,"event":"job_taken","job":"bb00000000000001","objective_ms":150,"queue":"previews","request_id":"c1","tasks":1}
{"at":50.001,"event":"task_placed","run":"bb00000000000001/0/0#7","request_id":"c1","side":"side-1","waited_ms":1}
{"at":50.100,"event":"job_answered","job":"bb00000000000001","request_id":"c1","answer":"Completed","after_ms":100,"starts":1,"in_time":true}
{"at":50.200,"event":"job_taken","job":"bb00000000000002","objective_ms":150,"queue":"previews","request_id":"c2","tasks":2}
{"at":50.210,"event":"task_placed","run":"bb00000000000002/0/0#8","request_id":"c2","side":"side-1","waited_ms":10}
{"at":50.320,"event":"task_placed","run":"bb00000000000002/0/1#9","request_id":"c2","side":"side-1","waited_ms":120}
{"at":50.400,"event":"job_answered","job":"bb00000000000002","request_id":"c2","answer":"Completed","after_ms":200,"starts":2,"in_time":false}
{"at":50.300,"event":"job_taken","job":"bb00000000000003","objective_ms":150,"queue":"indexes","request_id":"c3","tasks":1}
{"at":50.301,"event":"task_placed","run":"bb00000000000003/0/0#9","request_id":"c3","side":"side-1","waited_ms":1}
{"at":50.600,"event":"job_answered","job":"bb00000000000003","request_id":"c3","answer":"Completed","after_ms":300,"starts":1,"in_time":false}
{"at":51.300,"event":"job_taken","job":"bb00000000000004","objective_ms":150,"queue":"indexes","request_id":"c4","tasks":1}
{"at":51.301,"event":"task_placed","run":"bb00000000000004/0/0#9","request_id":"c4","side":"side-1","waited_ms":1}
{"at":51.900,"event":"job_answered","job":"bb00000000000004","request_id":"c4","answer":"Completed","after_ms":600,"starts":1,"in_time":false}
{"at":51.400,"event":"job_taken","job":"bb00000000000005","objective_ms":150,"queue":"indexes","request_id":"c5","tasks":1}
{"at":51.500,"event":"job_abandoned","job":"bb00000000000005","caller":3,"runs":0}
{"at":51.600,"event":"job_taken","job":"bb00000000000006","objective_ms":150,"queue":"indexes","request_id":"c6","tasks":2}
{"at":51.700,"event":"job_answered","job":"bb00000000000006","request_id":"c6","answer":"TimedOut","after_ms":100,"starts":1,"in_time":false}
{"at":51.800,"event":"job_taken","job":"bb00000000000007","objective_ms":150,"queue":"indexes","request_id":"c7","tasks":2}
{"at":51.900,"event":"job_answered","job":"bb00000000000007","request_id":"c7","answer":"Failed","after_ms":100,"starts":4,"in_time":true}
"#;

const BUSY_SIDE: &str = r#"{"at":51.330,"event":"order_unanswered","run":"bb00000000000004/0/0#9"}
{"at":51.330,"event":"order_unanswered","run":"bb00000000000099/0/0#9"}
"#;

#[test]
fn a_summary_distinguishes_all_causes() {
    let files = [("entry-7.log", BUSY_ENTRY), ("side-8.log", BUSY_SIDE)];
    let (code, printed) = explain_files("causes", &files, "--summary");
    expect![[r#"
        7 jobs, 6 of them not in time
              2  no capacity for rest  first request c2
              1  unanswered order      first request c4
              1  failed                first request c7
              1  slow run              first request c3
              1  caller left           first request c5
        by queue
          indexes  no capacity for rest 1, unanswered order 1, failed 1, slow run 1, caller left 1
          previews  no capacity for rest 1
        by entry
          entry-7  no capacity for rest 2, unanswered order 1, failed 1, slow run 1, caller left 1
        by second
              0  no capacity for rest 1, slow run 1
              1  no capacity for rest 1, unanswered order 1, failed 1, caller left 1
    "#]]
    .assert_eq(&printed);
    assert_eq!(code, Some(0));
}

#[test]
fn a_closed_output_pipe_is_not_an_error() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("closed");
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("entry-7.log");
    std::fs::write(&path, BUSY_ENTRY).unwrap();
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let mut command = Command::new(env!("CARGO_BIN_EXE_mastknot"));
    command.arg("explain").arg("--logs").arg(&path);
    let output = command.arg("--summary").stdout(writer).output().unwrap();
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert_eq!(output.status.code(), Some(0));
}

const FIRST_ENTRY: &str = r#"{"at":60.000,"event":"job_taken","job":"cc00000000000001","objective_ms":150,"queue":"previews","request_id":"d1","tasks":1}
{"at":60.400,"event":"job_answered","job":"cc00000000000001","request_id":"d1","answer":"TimedOut","after_ms":400,"starts":1,"in_time":false}
"#;

const SECOND_ENTRY: &str = r#"{"at":61.700,"event":"job_taken","job":"cc00000000000001","objective_ms":150,"queue":"previews","request_id":"d2","tasks":1}
{"at":61.800,"event":"job_answered","job":"cc00000000000001","request_id":"d2","answer":"Completed","after_ms":100,"starts":1,"in_time":true}
"#;

#[test]
fn a_resubmitted_job_counts_by_its_last_arrival_in_any_order_of_the_files() {
    for files in [
        [("entry-1.log", FIRST_ENTRY), ("entry-2.log", SECOND_ENTRY)],
        [("entry-2.log", SECOND_ENTRY), ("entry-1.log", FIRST_ENTRY)],
    ] {
        let (code, printed) = explain_files("again", &files, "--summary");
        let first = printed.lines().next();
        assert_eq!(first, Some("1 jobs, 0 of them not in time"));
        assert_eq!(code, Some(0));
    }
}
