//! A process that runs a daemon, the operators' command or a fake.

use std::process::ExitCode;

fn main() -> ExitCode {
    hyssop_fakes::node::main(std::env::args_os())
}
