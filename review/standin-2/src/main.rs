//! Stand-ins and checks for the scripts of the second review: `standin-2 CASE RECORD`.
//!
//! Exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment the case runs without its disruption.

mod cases;
mod client;
mod engine;
mod fleet;
mod http;
mod store;

use std::{
    env, fs,
    panic::{catch_unwind, AssertUnwindSafe},
    process::ExitCode,
};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut report = cases::Report::new(case, trouble);
    let result = catch_unwind(AssertUnwindSafe(|| cases::run(case, trouble, &mut report)))
        .unwrap_or_else(|_| Err("the check panicked".to_owned()));
    let code = match &result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    let verdict = match result {
        Ok(true) => "the rule was broken".to_owned(),
        Ok(false) => "the rule held".to_owned(),
        Err(fault) => format!("the case couldn't run: {fault}"),
    };
    report.line(&format!("verdict: {verdict} (exit {code})"));
    print!("{}", report.summary());
    if let Err(fault) = fs::write(record, report.text()) {
        eprintln!("{record} can't be written: {fault}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
