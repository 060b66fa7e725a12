//! The entry point of `hyssopctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    hyssop_ctl::main(std::env::args_os())
}
