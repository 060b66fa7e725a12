//! Exit codes and messages of the binary for invalid settings and for `--check-settings`.

use std::{
    io::Write as _,
    net::TcpListener,
    path::Path,
    process::{Command, Output},
};

use expect_test::expect;
use tempfile::NamedTempFile;

fn settings(caller_address: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a temporary file can be made");
    let text = format!(
        r#"{{
            "host": "h1", "zone": "z1", "caller_address": "{caller_address}",
            "peer_address": "127.0.0.1:0", "operator_address": "127.0.0.1:0",
            "platform_address": "127.0.0.1:1", "platform_prefix": "p", "operator_keys_sha256": []
        }}"#
    );
    file.write_all(text.as_bytes()).expect("the file can be written");
    file
}

fn run(file: &Path, flags: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hyssopcourse"));
    command.arg("--settings").arg(file).args(flags);
    command.output().expect("the binary starts")
}

fn message(output: &Output, file: &Path) -> String {
    let text = String::from_utf8_lossy(&output.stderr);
    text.replace(&file.display().to_string(), "FILE")
}

#[test]
fn an_address_in_use_is_reported_with_its_field() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("a bound listener has an address").to_string();
    let file = settings(&address);
    let output = run(file.path(), &["--log-level", "off", "--operator-address", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(2));
    let message = message(&output, file.path()).replace(&address, "ADDRESS");
    let expected = "FILE: caller_address: ADDRESS cannot be bound: ";
    assert!(message.starts_with(expected), "{message}");
    assert_eq!(message.lines().count(), 1, "{message}");
}

#[test]
fn a_check_of_invalid_settings_reports_the_faults() {
    let file = settings("nowhere");
    let output = run(file.path(), &["--check-settings", "--platform-address", "127.0.0.1:2"]);
    assert_eq!(output.status.code(), Some(2));
    expect![[r#"
        FILE: caller_address: "nowhere": invalid socket address syntax
    "#]]
    .assert_eq(&message(&output, file.path()));
}

#[test]
fn a_check_of_valid_settings_succeeds() {
    let file = settings("127.0.0.1:8080");
    let addresses = ["--peer-address", "127.0.0.1:8081", "--operator-address", "127.0.0.1:8082"];
    let output = run(file.path(), &[&["--check-settings"], &addresses[..]].concat());
    assert_eq!(output.status.code(), Some(0), "{}", message(&output, file.path()));
}

#[test]
fn a_missing_file_is_reported() {
    let file = Path::new("no-such-settings.json");
    let output = run(file, &[]);
    assert_eq!(output.status.code(), Some(2));
    expect![[r#"
        FILE: file: No such file or directory (os error 2)
    "#]]
    .assert_eq(&message(&output, file));
}
