//! The daemon's entry point.

use std::process::ExitCode;

fn main() -> ExitCode {
    hyssop_daemon::main(std::env::args_os())
}
