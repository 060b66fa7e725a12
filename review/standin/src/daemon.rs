//! The project's daemons as separate processes, with the command and the template of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr},
    os::unix::process::CommandExt as _,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize) -> i32;
}

/// Has a process get a signal when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

const FRONT: u16 = 8740;
const DIRECTORY: u16 = 8746;
const CONTROL: u16 = 8748;
const READY: u16 = 8749;

/// What all daemons share.
pub struct Fleet {
    /// The root of the repository.
    pub root: PathBuf,
    /// A temporary folder, removed at the end.
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub seeds: Vec<Ipv4Addr>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub struct Daemon {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    child: Option<Child>,
    starts: u32,
}

impl Daemon {
    pub fn new(name: &str, zone: &str, ip: Ipv4Addr) -> Self {
        Self { name: name.into(), zone: zone.into(), ip, child: None, starts: 0 }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), FRONT)
    }

    /// Fills in the template of the deploy file, and starts its command.
    pub fn start(&mut self, fleet: &Fleet, first_start: bool) {
        let template = fs::read_to_string(fleet.root.join("deploy/settings.json.in"));
        let mut settings = template.expect("deploy/settings.json.in");
        let ip = self.ip;
        let seeds: Vec<String> =
            fleet.seeds.iter().map(|ip| format!("\"{ip}:{CONTROL}\"")).collect();
        let fields = [
            ("node|json", format!("\"{}\"", self.name)),
            ("zone|json", format!("\"{}\"", self.zone)),
            ("listen.front|json", format!("\"{ip}:{FRONT}\"")),
            ("listen.ready|json", format!("\"{ip}:{READY}\"")),
            ("listen.directory|json", format!("\"{ip}:{DIRECTORY}\"")),
            ("portRange", "7200,7215".into()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("bootstrap|json", first_start.to_string()),
            ("provider.address|json", format!("\"{}\"", fleet.store)),
            ("limits.cpuShare|json", "0.25".into()),
            ("limits.cores|json", "1".into()),
            ("limits.linkMbps|json", "1000.0".into()),
            ("limits.memoryMb|json", "110".into()),
            ("bounds.graceS|json", "8".into()),
            ("bounds.ttl_max_s|json", "5".into()),
            ("bounds.retryRatio|json", "0.2".into()),
            ("bounds.retryBurst|json", "52".into()),
            ("bounds.retryWindowS|json", "10".into()),
            ("bounds.coldOver|json", "1.5".into()),
            ("bounds.coldSlack|json", "5".into()),
        ];
        for (name, value) in fields {
            settings = settings.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(!settings.contains("{{"), "a placeholder is left in {settings}");
        let path = fleet.folder.join(format!("{}.json", self.name));
        fs::write(&path, settings).expect("the settings file can be written");
        let deploy =
            fs::read_to_string(fleet.root.join("deploy/system.toml")).expect("deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let mut words = run.expect("a command").split(' ');
        let program = fleet.root.join(words.next().expect("a program"));
        self.starts += 1;
        let log = fleet.folder.join(format!("{}.{}.log", self.name, self.starts));
        let mut command = Command::new(program);
        command.args(words).current_dir(&fleet.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("HYSSOPCOURSE_SETTINGS", path).stdin(Stdio::null()).stderr(Stdio::null());
        command.stdout(File::create(log).expect("the log can be written"));
        // SAFETY: the call is safe between fork and exec.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        self.child = Some(command.spawn().expect("the program of the deploy file starts"));
    }

    /// Changes the settings file: `retryBurst` is 54 instead of 52.
    pub fn change_settings(&self, fleet: &Fleet) {
        let path = fleet.folder.join(format!("{}.json", self.name));
        let settings = fs::read_to_string(&path).expect("the settings file was written");
        let changed = settings.replace("\"repeat_burst\": 52", "\"repeat_burst\": 54");
        assert_ne!(changed, settings, "the settings have a burst of repeats");
        fs::write(path, changed).expect("the settings file can be written");
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the call has no other effect than the signal to a process that we started.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended by itself, and kills it after `limit`, as the platform does.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while let Some(child) = &mut self.child {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return true;
            }
            if Instant::now() > end {
                self.kill();
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        true
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip.into(), READY);
        let patience = Duration::from_millis(500);
        http::exchange(address, "GET", "/-/readyz", &[("host", "ready")], b"", patience)
            .is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
