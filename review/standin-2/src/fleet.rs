//! The project's own programs, started with the command of the deploy file.

use std::{
    env,
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::http::Conn;

/// The command of the deploy file.
const COMMAND: [&str; 3] = ["target/release/hyssopcourse-platform", "--metrics-port", "9464"];
const CALLER_PORT: u16 = 8740;
const DIRECTORY_PORT: u16 = 8746;
const CONTROL_PORT: u16 = 8748;
const READINESS_PORT: u16 = 8749;
const PEER_PORTS: (u16, u16) = (7200, 7215);
const METRICS_PORT: u16 = 9464;

extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Has the system end a process when the one that started it has ended.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: a plain system call on the calling process.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Loopback addresses that nothing else uses.
pub struct Network {
    second: u8,
    third: u8,
    next: u8,
}

impl Network {
    pub fn new() -> Self {
        let [_, _, high, low] = process::id().to_be_bytes();
        Self { second: 100 + (high & 0x3f), third: low, next: 1 }
    }

    /// An address at which all ports of a host are free.
    pub fn host(&mut self) -> IpAddr {
        loop {
            let ip = IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, self.next));
            self.next += 1;
            let ports = [
                CALLER_PORT,
                DIRECTORY_PORT,
                READINESS_PORT,
                METRICS_PORT,
                PEER_PORTS.0,
                PEER_PORTS.1,
            ];
            if ports.iter().all(|&port| TcpListener::bind((ip, port)).is_ok()) {
                return ip;
            }
        }
    }
}

/// One host with its process.
pub struct Host {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What differs between the settings of hosts.
pub struct Place<'a> {
    pub zone: &'a str,
    pub seeds: &'a [IpAddr],
    pub first_start: bool,
    pub store: SocketAddr,
}

/// The temporary folder of the run, deleted at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> io::Result<Self> {
        let path = env::temp_dir().join(format!("standin-2-{}", process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

impl Host {
    /// A host whose settings are written, without a process.
    pub fn new(name: &str, ip: IpAddr, folder: &Path) -> Self {
        let file = |kind: &str| folder.join(format!("{name}.{kind}"));
        Self { name: name.to_owned(), ip, settings: file("json"), log: file("log"), child: None }
    }

    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    /// Writes the settings as the template of the deploy file has them.
    pub fn write_settings(&self, place: &Place<'_>) -> io::Result<()> {
        let at = |port: u16| SocketAddr::new(self.ip, port);
        let seeds =
            place.seeds.iter().map(|&ip| format!("\"{}\"", SocketAddr::new(ip, CONTROL_PORT)));
        let seeds: Vec<String> = seeds.collect();
        let text = format!(
            r#"{{
  "host": "{}", "zone": "{}", "caller_address": "{}", "readiness_address": "{}",
  "directory_address": "{}", "peer_ports": [{},{}], "seeds": [{}], "first_start": {},
  "store_address": "{}", "cpu_share": 0.25, "cores": 1, "link_mbps": 1000.0, "memory_mb": 260,
  "grace_s": 8, "directory_ttl_max_s": 5, "repeat_ratio": 0.2, "repeat_burst": 58,
  "repeat_window_s": 10, "cold_factor": 1.5, "cold_slack": 5
}}
"#,
            self.name,
            place.zone,
            at(CALLER_PORT),
            at(READINESS_PORT),
            at(DIRECTORY_PORT),
            PEER_PORTS.0,
            PEER_PORTS.1,
            seeds.join(","),
            place.first_start,
            place.store
        );
        fs::write(&self.settings, text)
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(COMMAND[0]);
        command.args(&COMMAND[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("HYSSOPCOURSE_SETTINGS", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        // SAFETY: the function only makes a system call.
        unsafe { command.pre_exec(end_with_parent) };
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Kills the process, if there is one.
    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().map_or(true, |end| end.is_some()))
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READINESS_PORT);
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else {
            return false;
        };
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok();
        let mut conn = Conn::new(stream);
        let request =
            format!("GET /-/readyz HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        let head = conn.write(&request).and_then(|()| conn.read_head());
        matches!(head, Ok(Some(head)) if head.status() == 200)
    }

    /// The log of the process.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}

/// Waits until all hosts are ready. Returns whether they are.
pub fn wait_ready(hosts: &[Host], limit: Duration) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if hosts.iter().all(Host::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
