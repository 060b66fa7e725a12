//! Runs `hyssopctl` as a process.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::{path::Path, process::Command};

#[path = "../../../operator/tests/common/mod.rs"]
pub(crate) mod server;

pub(crate) use server::DOCUMENT;

/// A run of `hyssopctl` that does not inherit the environment of the test.
pub(crate) struct Run {
    command: Command,
}

impl Run {
    pub(crate) fn new(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hyssopctl"));
        command.args(arguments).env_clear();
        Self { command }
    }

    pub(crate) fn in_directory(mut self, directory: &Path) -> Self {
        self.command.current_dir(directory);
        self
    }

    pub(crate) fn env(mut self, name: &str, value: &str) -> Self {
        self.command.env(name, value);
        self
    }

    /// Runs the command. Returns its standard output, its standard error and its exit code.
    pub(crate) fn output(mut self) -> String {
        let output = self.command.output().expect("hyssopctl was built");
        let printed = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        let code = output.status.code().expect("hyssopctl was not killed");
        format!("{printed}{errors}exit {code}\n")
    }
}
