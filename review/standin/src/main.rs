//! The stand-ins and the course of the cases' scripts. Prints nothing but a summary; the record of
//! each case goes to the file that is named.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod daemon;
mod engine;
mod http;
mod leaving;
mod limited;
mod pages;
mod preempted;
mod store;
mod take_up;

use std::{
    env,
    fmt::Write as _,
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use daemon::Fleet;

/// What a case needs: addresses, a folder, a record.
pub struct Stage {
    pub fleet: Fleet,
    /// Whether the disruption takes place (`TROUBLE` is not 0).
    pub trouble: bool,
    pub began: Instant,
    record: Arc<Mutex<String>>,
    path: PathBuf,
    subnet: (u8, u8),
}

impl Stage {
    fn new(path: PathBuf) -> Self {
        let process = std::process::id();
        // A subnet of loopback of this process's own, so that the ports of the deploy file are free.
        let subnet = (64 + (process >> 8 & 127) as u8, (process & 255) as u8);
        let folder = env::temp_dir().join(format!("hyssop-review-{process}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let root = env::current_dir().expect("the root of the repository");
        let store = SocketAddr::new(Ipv4Addr::new(127, subnet.0, subnet.1, 250).into(), 8742);
        Self {
            fleet: Fleet { root, folder, store, seeds: Vec::new() },
            trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
            began: Instant::now(),
            record: Arc::default(),
            path,
            subnet,
        }
    }

    /// An address of this case's own.
    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, last)
    }

    /// Enters a line into the record, with the time in seconds.
    pub fn note(&self, text: impl std::fmt::Display) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: impl std::fmt::Display) {
        let at = at.saturating_duration_since(self.began).as_secs_f64();
        let mut record = self.record.lock().expect("no panic");
        writeln!(record, "{at:9.3} s  {text}").expect("text can be appended");
    }

    pub fn sleep_until(&self, at: Instant) {
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    }

    fn write_record(&self) {
        let record = self.record.lock().expect("no panic");
        let mut lines: Vec<&str> = record.lines().collect();
        let time = |line: &str| line.trim_start().split(' ').next()?.parse::<f64>().ok();
        lines.sort_by(|a, b| time(a).partial_cmp(&time(b)).unwrap_or(std::cmp::Ordering::Equal));
        let _ = fs::write(&self.path, lines.join("\n") + "\n");
    }
}

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let mut stage = Stage::new(record.into());
    let outcome = match case.as_str() {
        "leaving" => leaving::run(&mut stage),
        "limited" => limited::run(&mut stage),
        "preempted" => preempted::run(&mut stage),
        "pages" => pages::run(&mut stage),
        "take_up" => take_up::run(&mut stage),
        _ => Outcome::CouldNotRun,
    };
    let (verdict, code) = match outcome {
        Outcome::Held => ("the rule held", 0),
        Outcome::Broken => ("the rule was broken", 1),
        Outcome::CouldNotRun => ("the case could not run", 2),
    };
    stage.note(verdict);
    println!("{verdict}");
    stage.write_record();
    ExitCode::from(code)
}

/// A time limit of the whole script: ends it as one that could not run.
pub fn watchdog(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
}
