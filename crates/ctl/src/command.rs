//! Runs the subcommands.

mod documents;
mod explain;
mod fleet;

use std::io::Write;

use clap::CommandFactory;
use serde::Serialize;

use crate::{
    arguments::{Arguments, Command},
    error::Error,
    exit::Exit,
};

/// Runs the subcommand of the command line and writes its result to `out`.
pub(crate) fn run(arguments: Arguments, out: &mut dyn Write) -> Result<Exit, Error> {
    let Arguments { command, connection, json } = arguments;
    match command {
        Command::Check { files, parts } => documents::check(&files, parts.as_deref(), json, out),
        Command::Split { file, into, count } => documents::split(&file, &into, count, out),
        Command::Diff { old, new, parts } => {
            documents::diff([&old, &new], parts.as_deref(), json, out)
        }
        Command::Explain { id, files } => explain::explain(&id, &files, json, out),
        Command::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Arguments::command(), "hyssopctl", &mut script);
            out.write_all(&script)?;
            Ok(Exit::Success)
        }
        command => fleet::run(command, &connection, json, out),
    }
}

/// Writes a value as indented JSON.
fn write_json(value: &impl Serialize, out: &mut dyn Write) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(value).expect("all values serialize to JSON");
    writeln!(out, "{text}")?;
    Ok(())
}
