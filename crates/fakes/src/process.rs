//! A child process that can be killed, suspended and resumed.

use std::{
    ffi::OsString,
    fs::File,
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use anyhow::{Context, Result, bail};
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const SUSPEND_POLL_INTERVAL: Duration = Duration::from_micros(200);
const SUSPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// A child process. It is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    args: Vec<OsString>,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts `program --attached ARGS` with its output appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Fails if the log file cannot be opened or the program cannot be started.
    pub fn start(program: &Path, args: Vec<OsString>, log: PathBuf) -> Result<Self> {
        let child = spawn(program, &args, &log)?;
        Ok(Self { program: program.to_owned(), args, log, child })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The output of the process so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }

    /// Suspends the process with `SIGSTOP`, which keeps its connections open, and waits until all
    /// its threads are stopped.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited or does not stop in time.
    pub fn suspend(&self) -> Result<()> {
        self.signal(Signal::STOP)?;
        let end = Instant::now() + SUSPEND_TIMEOUT;
        let stopped = WaitIdOptions::STOPPED | WaitIdOptions::NOHANG;
        while waitid(WaitId::Pid(self.pid()?), stopped).map_err(io::Error::from)?.is_none() {
            if Instant::now() >= end {
                bail!("process {} is still running after SIGSTOP", self.id());
            }
            std::thread::sleep(SUSPEND_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Resumes a suspended process.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Requests a graceful stop with `SIGTERM`.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// The exit status, or `None` while the process is running.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot report the status.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the process is still running after `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let end = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= end {
                bail!("process {} is still running after {timeout:?}:\n{}", self.id(), self.log());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Kills the process and starts the program again with the same arguments.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn restart(&mut self) -> Result<()> {
        self.kill();
        self.child = spawn(&self.program, &self.args, &self.log)?;
        Ok(())
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        Ok(kill_process(self.pid()?, signal).map_err(io::Error::from)?)
    }

    fn pid(&self) -> Result<Pid> {
        let id = i32::try_from(self.id()).ok().and_then(Pid::from_raw);
        id.context("invalid process id")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, args: &[OsString], log: &Path) -> Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    let child = Command::new(program)
        .arg("--attached")
        .args(args)
        .stdin(Stdio::piped())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn();
    child.with_context(|| format!("cannot start {}", program.display()))
}
