//! Output and exit code of commands on files.

mod process;

use std::{fs, path::PathBuf};

use expect_test::expect;
use process::{DOCUMENT, Run};
use tempfile::TempDir;

fn write(directory: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = directory.path().join(name);
    fs::write(&path, text).expect("the directory is writable");
    path
}

fn run(directory: &TempDir, arguments: &[&str]) -> String {
    Run::new(arguments).in_directory(directory.path()).output()
}

#[test]
fn check() {
    let directory = TempDir::new().unwrap();
    write(&directory, "good.json", DOCUMENT);
    let faulty =
        DOCUMENT.replace("\"tier\": 1", "\"tier\": 9").replace("\"share\": 3", "\"part\": 3");
    write(&directory, "faulty.json", &faulty);
    expect![[r#"
        good.json: no faults: environment trial, revision 7, 1 classes, 1 workspaces, 2 zones, 1 pools, 1 backend servers in 1 groups
        good.json: note: pools[0]: all backend servers of pool drafting are in zone south-1, so without it there are none
        good.json: note: pools[0].cold_limit: with 1, a backend server in cold start gets no work while hosts are cut into even halves
        exit 0
    "#]].assert_eq(&run(&directory, &["check", "good.json"]));
    expect![[r#"
        good.json: no faults: environment trial, revision 7, 1 classes, 1 workspaces, 2 zones, 1 pools, 1 backend servers in 1 groups
        good.json: note: pools[0]: all backend servers of pool drafting are in zone south-1, so without it there are none
        good.json: note: pools[0].cold_limit: with 1, a backend server in cold start gets no work while hosts are cut into even halves
        faulty.json: classes[0].tier: a whole number from 1 to 8 is needed, found 9
        faulty.json: workspaces[0].share: the field is missing
        faulty.json: workspaces[0].part: the field is unknown, known are name, share, key_sha256
        exit 1
    "#]].assert_eq(&run(&directory, &["check", "good.json", "faulty.json"]));
    expect![[r#"
        hyssopctl: missing.json: No such file or directory (os error 2)
        exit 2
    "#]]
    .assert_eq(&run(&directory, &["check", "missing.json"]));
    expect![[r#"
        [
          {
            "file": "faulty.json",
            "valid": false,
            "environment": null,
            "revision": null,
            "digest": null,
            "faults": [
              {
                "path": "classes[0].tier",
                "message": "a whole number from 1 to 8 is needed, found 9"
              },
              {
                "path": "workspaces[0].share",
                "message": "the field is missing"
              },
              {
                "path": "workspaces[0].part",
                "message": "the field is unknown, known are name, share, key_sha256"
              }
            ],
            "notes": []
          }
        ]
        exit 1
    "#]]
    .assert_eq(&run(&directory, &["--json", "check", "faulty.json"]));
}

#[test]
fn diff() {
    let directory = TempDir::new().unwrap();
    write(&directory, "old.json", DOCUMENT);
    let new = DOCUMENT
        .replace("\"revision\": 7", "\"revision\": 8")
        .replace("\"warm_limit\": 8", "\"warm_limit\": 12")
        .replace("\"idempotent\": true", "\"idempotent\": false");
    write(&directory, "new.json", &new);
    write(&directory, "faulty.json", "{}");
    expect![[r#"
        document trial: revision 7 -> 8
        class desk: idempotent true -> false
            warning: requests of this class without an idempotency key are refused from then on
        pool drafting: warm_limit 8 -> 12
            warning: each backend server gets more work at once
        exit 0
    "#]]
    .assert_eq(&run(&directory, &["diff", "old.json", "new.json"]));
    expect![[r#"
        document trial: revision 7 -> 7
            warning: only a higher revision is adopted
        no other differences
        exit 0
    "#]]
    .assert_eq(&run(&directory, &["diff", "old.json", "old.json"]));
    expect![[r#"
        hyssopctl: faulty.json: 7 faults, the first is environment: the field is missing
        exit 1
    "#]]
    .assert_eq(&run(&directory, &["diff", "old.json", "faulty.json"]));
    expect![[r#"
        hyssopctl: missing.json: No such file or directory (os error 2)
        exit 2
    "#]]
    .assert_eq(&run(&directory, &["diff", "old.json", "missing.json"]));
    let json = run(&directory, &["diff", "old.json", "new.json", "--json"]);
    assert!(json.contains("\"field\": \"warm_limit\""), "{json}");
}

#[test]
fn split() {
    let directory = TempDir::new().unwrap();
    write(&directory, "whole.json", DOCUMENT);
    write(&directory, "faulty.json", "{}");
    let split = ["split", "whole.json", "--into", "published", "--count", "2"];
    expect![[r#"
        2 parts and a document of 527 bytes in published
        exit 0
    "#]]
    .assert_eq(&run(&directory, &split));
    let check = ["check", "published/document", "--parts", "published/parts"];
    expect![[r#"
        published/document: no faults: environment trial, revision 7, 1 classes, 1 workspaces, 2 zones, 1 pools, 1 backend servers in 1 groups
        published/document: note: pools[0]: all backend servers of pool drafting are in zone south-1, so without it there are none
        published/document: note: pools[0].cold_limit: with 1, a backend server in cold start gets no work while hosts are cut into even halves
        exit 0
    "#]].assert_eq(&run(&directory, &check));
    let diff = ["diff", "whole.json", "published/document", "--parts", "published/parts"];
    expect![[r#"
        document trial: revision 7 -> 7
            warning: only a higher revision is adopted
        no other differences
        exit 0
    "#]]
    .assert_eq(&run(&directory, &diff));
    let part = fs::read_dir(directory.path().join("published/parts")).unwrap().next().unwrap();
    let part = part.unwrap();
    fs::write(part.path(), "{}").unwrap();
    let missing = run(&directory, &check).replace(part.file_name().to_str().unwrap(), "DIGEST");
    assert!(missing.contains("DIGEST is not at hand\n") && missing.ends_with("exit 1\n"));
    expect![[r#"
        hyssopctl: faulty.json: 7 faults, the first is environment: the field is missing
        exit 1
    "#]]
    .assert_eq(&run(&directory, &["split", "faulty.json", "--into", "none"]));
    assert!(!directory.path().join("none").exists());
}

#[test]
fn usage() {
    let directory = TempDir::new().unwrap();
    expect![[r#"
        error: the following required arguments were not provided:
          <FILE>...

        Usage: hyssopctl check <FILE>...

        For more information, try '--help'.
        exit 2
    "#]]
    .assert_eq(&run(&directory, &["check"]));
    expect![[r#"
        error: invalid value 'south 1' for '<NAME>': a name contains ' ', only letters, digits, '.', '_', '-' and '/' are allowed

        For more information, try '--help'.
        exit 2
    "#]].assert_eq(&run(&directory, &["zone", "out", "south 1"]));
    expect![[r#"
        hyssopctl: no daemon to ask: give --server or set HYSSOP_SERVERS
        exit 2
    "#]]
    .assert_eq(&run(&directory, &["status"]));
    expect![[r#"
        hyssopctl: no key: give --key-file or set HYSSOP_OPERATOR_KEY
        exit 2
    "#]]
    .assert_eq(&run(&directory, &["status", "--server", "127.0.0.1:1"]));
    expect![[r#"
        error: invalid value '0' for '--timeout <SECONDS>': 0 is not in 1..=3600

        For more information, try '--help'.
        exit 2
    "#]]
    .assert_eq(&run(&directory, &["status", "--timeout", "0"]));
}

#[test]
fn completions() {
    let directory = TempDir::new().unwrap();
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let script = run(&directory, &["completions", shell]);
        assert!(script.contains("if-revision") && script.contains("exit 0"), "{shell}");
    }
}

#[test]
fn explain() {
    let directory = TempDir::new().unwrap();
    let one = [
        r#"{"timestamp":"2026-12-04T01:00:00.100000Z","level":"WARN","event":"source_lost","fault":"refused with status 503"}"#,
        r#"{"timestamp":"2026-12-04T01:00:01.000000Z","level":"INFO","event":"sent","id":"r-1","server":"i-1","predicted_ms":70}"#,
        r#"{"timestamp":"2026-12-04T01:00:01.100000Z","level":"INFO","event":"sent","id":"r-2","server":"i-2","predicted_ms":70}"#,
        "not a line of a log",
        r#"{"timestamp":"2026-12-04T01:00:02.000000Z","level":"INFO","event":"broken","id":"r-1","server":"i-1","fault":"closed without an answer"}"#,
        r#"{"timestamp":"2026-12-04T01:00:02.050000Z","level":"WARN","event":"blamed","server":"i-1","standing":"suspect"}"#,
        r#"{"timestamp":"2026-12-04T01:00:02.050000Z","level":"WARN","event":"blamed","server":"i-2","standing":"suspect"}"#,
        r#"{"timestamp":"2026-12-04T01:00:02.060000Z","level":"INFO","event":"answered","id":"r-1","status":502,"reason":"broken"}"#,
        r#"{"timestamp":"2026-12-04T01:00:09.000000Z","level":"INFO","event":"source_back","gone_ms":8900}"#,
    ];
    let two = r#"{"timestamp":"2026-12-04T01:00:01.500000Z","level":"WARN","event":"suspended","gap_ms":900}"#;
    write(&directory, "h1.log", &one.join("\n"));
    write(&directory, "h2.log", two);
    expect![[r#"
          2026-12-04T01:00:00.100000Z h1 source_lost fault="refused with status 503"
        * 2026-12-04T01:00:01.000000Z h1 sent predicted_ms=70 server=i-1
        * 2026-12-04T01:00:02.000000Z h1 broken fault="closed without an answer" server=i-1
          2026-12-04T01:00:02.050000Z h1 blamed server=i-1 standing=suspect
        * 2026-12-04T01:00:02.060000Z h1 answered reason=broken status=502
        exit 0
    "#]]
    .assert_eq(&run(&directory, &["explain", "r-1", "h1.log", "h2.log"]));
    expect![[r#"
        r-9: not in these logs
        exit 1
    "#]]
    .assert_eq(&run(&directory, &["explain", "r-9", "h1.log"]));
    expect![[r#"
        hyssopctl: missing.log: No such file or directory (os error 2)
        exit 2
    "#]]
    .assert_eq(&run(&directory, &["explain", "r-1", "missing.log"]));
}
