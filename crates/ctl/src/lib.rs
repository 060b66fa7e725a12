//! The operators' command line tool, `hyssopctl`.
//!
//! Exit codes: 0 on success; 1 if a document has faults, a daemon refused the request, or nothing
//! was found; 2 if the command line is invalid, reading or writing failed, no daemon gave a valid
//! response, or the outcome of an order is unknown.

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

/// Runs the command. The first argument is the name of the program.
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
        Err(error) => return print_parse_error(&error),
    };
    match command::run(arguments, stdout) {
        Ok(exit) => exit,
        Err(error) if error.is_closed_output() => Exit::Success,
        Err(error) => {
            // A failure to write the error cannot be reported anywhere.
            writeln!(stderr, "hyssopctl: {error}").ok();
            error.exit()
        }
    }
}

/// Prints help, the version or the error in the command line.
fn print_parse_error(error: &clap::Error) -> Exit {
    error.print().ok();
    if error.use_stderr() { Exit::Failure } else { Exit::Success }
}
