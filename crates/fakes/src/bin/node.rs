//! A daemon, the operators' command or a stand-in, each as a process of its own.

use std::process::ExitCode;

fn main() -> ExitCode {
    hyssop_fakes::node::main(std::env::args_os())
}
