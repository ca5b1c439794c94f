//! A small deployment on loopback addresses: the store, entries, and sides with their workers.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Run, Worker, WorkerPlan};

const LINK_PORT: u16 = 7_720;
const FRONT_PORT: u16 = 8_161;
const APP_PORT: u16 = 8_165;
const CONTROL_PORT: u16 = 8_166;
const READY_PORT: u16 = 8_167;
const STORE_PORT: u16 = 8_169;
const METRICS_PORT: u16 = 9_464;
pub const SERVICE: &str = "docserve";
pub const HOST: &str = "h.example";

/// A process of the project. It is killed when the value is dropped.
#[allow(dead_code)]
pub struct Process {
    role: &'static str,
    name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a role with the command of the deploy file.
    fn start(role: &'static str, name: &str, settings: PathBuf, log: PathBuf) -> std::io::Result<Self> {
        let child = spawn(role, &settings, &log)?;
        let name = name.to_owned();
        Ok(Self { role, name, settings, log, child })
    }

    #[allow(dead_code)]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sends a signal to the process, by its id.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([name, id.as_str()]).status();
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again after it was killed.
    #[allow(dead_code)]
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.child = spawn(self.role, &self.settings, &self.log)?;
        Ok(())
    }

    /// Returns whether the process still runs.
    #[allow(dead_code)]
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

unsafe extern "C" {
    /// Call of the C library that sets properties of the calling process.
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl` for the signal that a process gets when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;
const SIGKILL: u64 = 9;

/// Starts a process that ends with this one, even if this one is killed.
fn spawn(role: &str, settings: &Path, log: &Path) -> std::io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new("target/release/mastknot-platform");
    command
        .arg(role)
        .env("MASTKNOT_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log);
    // Between fork and exec only this one call is made, which is safe there.
    unsafe {
        command.pre_exec(|| {
            prctl(PARENT_DEATH_SIGNAL, SIGKILL);
            Ok(())
        });
    }
    command.spawn()
}

/// Number of machines, and the zone of each.
pub struct BedPlan<'p> {
    pub entries: &'p [&'p str],
    pub sides: &'p [&'p str],
    pub zones: &'p [&'p str],
    /// Bounds of the settings file, as lines of TOML.
    pub bounds: &'p str,
    pub cpu: u64,
}

pub struct Bed {
    pub store: Store,
    pub entries: Vec<Process>,
    pub sides: Vec<Process>,
    pub workers: Vec<Worker>,
    /// Switch that closes the store's first address.
    store_closed: Arc<AtomicBool>,
    net: [u8; 2],
}

impl Bed {
    /// Starts all machines; logs and settings go into `folder`.
    pub fn start(plan: &BedPlan, folder: &Path, record: &Record) -> std::io::Result<Self> {
        let net = free_net()?;
        let store = Store::default();
        let store_closed = store.serve_at(at(net, 1, STORE_PORT))?;
        let (entries, sides, workers) = (Vec::new(), Vec::new(), Vec::new());
        let mut bed = Self { store, entries, sides, workers, store_closed, net };
        for (number, zone) in plan.sides.iter().enumerate() {
            let host = 20 + number as u8;
            let name = format!("side-{zone}-{number}");
            let worker = WorkerPlan {
                id: format!("i-{number:08x}"),
                service: SERVICE.to_owned(),
                zone: zone.to_string(),
                labels: vec!["a".to_owned(), format!("r-{number}")],
                address: at(net, host, APP_PORT),
                control: at(net, host, CONTROL_PORT),
                cpu: plan.cpu,
                mem_mb: 65_536,
            };
            bed.workers.push(Worker::start(worker, record.clone())?);
            let settings = bed.settings(plan, &name, "side", host, zone);
            bed.sides.push(bed.process("side", &name, &settings, folder)?);
        }
        for (number, zone) in plan.entries.iter().enumerate() {
            let name = format!("front-{zone}-{number}");
            let settings = bed.settings(plan, &name, "front", 10 + number as u8, zone);
            bed.entries.push(bed.process("entry", &name, &settings, folder)?);
        }
        Ok(bed)
    }

    fn process(&self, role: &'static str, name: &str, settings: &str, folder: &Path) -> std::io::Result<Process> {
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        Process::start(role, name, path, folder.join(format!("{name}.log")))
    }

    /// Returns the settings of a machine, in the form of DEPLOY.md.
    fn settings(&self, plan: &BedPlan, name: &str, class: &str, host: u8, zone: &str) -> String {
        let machine = at(self.net, host, 0).ip();
        let seeds = (0..plan.entries.len().min(3)).map(|entry| at(self.net, 10 + entry as u8, CONTROL_PORT));
        let seeds: Vec<String> = seeds.map(|seed| format!("\"{seed}\"")).collect();
        let zones = plan.zones.iter().map(|zone| format!("{zone} = \"region\"\n"));
        let zones: String = zones.collect();
        let serves = if class == "front" { "\"front\",\"control\"" } else { "\"side\"" };
        let listen = if class == "front" {
            format!(
                "front = \"{machine}:{FRONT_PORT}\"\nready = \"{machine}:{READY_PORT}\"\ncontrol = \"{machine}:{CONTROL_PORT}\""
            )
        } else {
            format!("control = \"{machine}:{CONTROL_PORT}\"")
        };
        let app = if class == "front" {
            String::new()
        } else {
            format!("app = \"{machine}:{APP_PORT}\"\nservice = \"{SERVICE}\"\n")
        };
        let store = at(self.net, 1, STORE_PORT);
        format!(
            "nodeName = \"{name}\"\nmachineClass = \"{class}\"\nserves = [{serves}]\nip = \"{machine}\"\n\
             zone = \"{zone}\"\nregion = \"region\"\nportRange = [{LINK_PORT},7735]\nseeds = [{}]\n\
             bootstrap = true\nheartbeatMs = 1500\ncommands = \"call\"\n{app}[zones]\n{zones}[listen]\n{listen}\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\n\
             [bounds]\n{}\n[platform]\naddress = \"{store}\"\nform = \"kv\"\nhistoryS = 20\n\
             value_bytes = 1048576\nttl_min_ms = 1000\n",
            seeds.join(","),
            plan.bounds
        )
    }

    /// Serves the store at a second address and writes it into all settings files, which SIGHUP tells all processes.
    pub fn move_store(&self) -> std::io::Result<SocketAddr> {
        let (from, to) = (at(self.net, 1, STORE_PORT), at(self.net, 2, STORE_PORT));
        self.store.serve_at(to)?;
        for process in self.entries.iter().chain(&self.sides) {
            let text = std::fs::read_to_string(&process.settings)?;
            std::fs::write(&process.settings, text.replace(&from.to_string(), &to.to_string()))?;
            process.signal("-HUP");
        }
        Ok(to)
    }

    /// Closes the first address of the store.
    pub fn close_first_store_address(&self) {
        self.store_closed.store(true, Ordering::SeqCst);
    }

    /// Returns the address at which a side takes heartbeats.
    pub fn control(&self, side: usize) -> SocketAddr {
        at(self.net, 20 + side as u8, CONTROL_PORT)
    }

    pub fn front(&self, entry: usize) -> SocketAddr {
        at(self.net, 10 + entry as u8, FRONT_PORT)
    }

    /// Waits until an entry calls itself ready.
    pub fn wait_ready(&self, entry: usize) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let ready = at(self.net, 10 + entry as u8, READY_PORT);
        while Instant::now() < until {
            let limit = Duration::from_millis(500);
            let reply = call(ready, "GET", "/mastknot/ready", &[], "", limit);
            if reply.is_some_and(|(status, _)| status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the runs of all workers, in the order of their starts.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs: Vec<Run> = self.workers.iter().flat_map(Worker::runs).collect();
        runs.sort_by_key(|run| run.began);
        runs
    }
}

fn at(net: [u8; 2], host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], host)), port)
}

/// Finds a net of loopback addresses on which the ports of all machines are free.
fn free_net() -> std::io::Result<[u8; 2]> {
    let process = std::process::id();
    let ports = [LINK_PORT, FRONT_PORT, APP_PORT, CONTROL_PORT, READY_PORT, STORE_PORT, METRICS_PORT];
    for offset in 0..50 {
        let net = [40 + (process % 150) as u8, (process / 150 + offset) as u8];
        let hosts = [1, 2, 10, 11, 12, 13, 20, 21, 22, 23, 24, 25];
        let mut all = hosts.iter().flat_map(|host| ports.map(|port| at(net, *host, port)));
        if all.all(|address| TcpListener::bind(address).is_ok()) {
            return Ok(net);
        }
    }
    Err(std::io::Error::other("no free loopback addresses"))
}
