//! The operators' command.
//!
//! Exit codes: 0 when all went well, 1 when a document has faults or an order was refused, 2 when
//! the command line is wrong or no daemon could be asked.

mod arguments;
mod command;
mod connection;
mod error;
mod exit;
mod table;
mod view;

use std::{
    ffi::OsString,
    io::{self, Write},
    process::ExitCode,
};

use clap::Parser;

use crate::{arguments::Arguments, exit::Exit};

/// Runs the command with these arguments, the first of which is the program's name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let stdout = &mut io::stdout().lock();
    let stderr = &mut io::stderr().lock();
    run(arguments, stdout, stderr).into()
}

fn run(
    arguments: impl IntoIterator<Item = OsString>,
    stdout: &mut dyn Write,
    stderr: &mut dyn Write,
) -> Exit {
    let arguments = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(error) => return explain(&error),
    };
    match command::run(arguments, stdout) {
        Ok(exit) => exit,
        Err(error) if error.is_closed_output() => Exit::Success,
        Err(error) => {
            // Nothing is left to be done if the error cannot be written.
            writeln!(stderr, "hyssopctl: {error}").ok();
            error.exit()
        }
    }
}

/// Prints help, the version or what is wrong with the command line.
fn explain(error: &clap::Error) -> Exit {
    error.print().ok();
    if error.use_stderr() { Exit::Usage } else { Exit::Success }
}
