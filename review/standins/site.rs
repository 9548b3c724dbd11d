//! A small deployment: the store, workers, and the project's programs as separate processes.

use crate::http;
use crate::json::{Json, quote};
use crate::store::Store;
use crate::worker::{self, Pace, Run, Runs, Worker};
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const HOST: &str = "ficu95.example";
const FRONT_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const DIRECTORY_PORT: u16 = 8143;
const CONTROL_PORT: u16 = 8144;
const PEER_PORT: u16 = 7380;
const METRICS_PORT: u16 = 9464;

/// The commands of the deploy file.
const FRONT: [&str; 3] = ["target/release/catkinmast-front", "--metrics-port", "9464"];
const STANDBY: [&str; 1] = ["target/release/catkinmast-standby"];

/// What happened, in the order in which it was written.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn open() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    pub fn began(&self) -> Instant {
        self.began
    }

    pub fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    pub fn note(&self, text: impl Into<String>) {
        self.note_at(self.now_ms(), text);
    }

    pub fn note_at(&self, ms: u128, text: impl Into<String>) {
        if let Ok(mut lines) = self.lines.lock() {
            lines.push((ms, text.into()));
        }
    }

    /// Writes the lines in the order of their times.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().map(|lines| lines.clone()).unwrap_or_default();
        lines.sort_by_key(|(ms, _)| *ms);
        let text: String = lines.iter().map(|(ms, line)| format!("{ms:>6} ms  {line}\n")).collect();
        fs::write(path, text)
    }
}

/// The ids of the processes that run, for the watchdog.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this program has started.
pub fn kill_all() {
    let running = RUNNING.lock().map(|running| running.clone()).unwrap_or_default();
    for pid in running {
        let _already_dead = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

/// A process of the project.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _already_dead = self.child.kill();
        let _already_reaped = self.child.wait();
        if let Ok(mut running) = RUNNING.lock() {
            running.retain(|pid| *pid != self.child.id());
        }
    }
}

impl Node {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT_PORT))
    }

    pub fn signal(&self, name: &str) -> io::Result<()> {
        let pid = self.child.id().to_string();
        Command::new("kill").args([&format!("-{name}"), &pid]).status().map(|_| ())
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    fn is_ready(&self) -> bool {
        let ready = SocketAddr::from((self.ip, READY_PORT));
        let answer = http::call(ready, "GET", "/-/ready", &host(), b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    fn listed(&self) -> usize {
        let directory = SocketAddr::from((self.ip, DIRECTORY_PORT));
        let path = format!("/-/resolve?name={HOST}&region=quebec&zone=salle-a");
        let answer = http::call(directory, "GET", &path, &host(), b"", Duration::from_secs(1));
        let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
        let addresses = body.ok().and_then(|body| Json::parse(&body));
        addresses.map_or(0, |answer| answer.get("addresses").list().len())
    }
}

pub fn host() -> [(&'static str, String); 1] {
    [("Host", HOST.to_owned())]
}

pub struct Site {
    pub engines: Vec<Worker>,
    pub record: Record,
    pub runs: Runs,
    pub store: Store,
    pub fronts: Vec<Node>,
    _standbys: Vec<Node>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _already_gone = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a loopback address on which all ports of a machine are free.
fn free_address(number: u8) -> io::Result<Ipv4Addr> {
    let process = std::process::id();
    for attempt in 0..50u8 {
        let second = 64 + (process % 120) as u8;
        let third = (process / 120 % 4) as u8 * 50 + attempt;
        let ip = Ipv4Addr::new(127, second, third, 10 + number);
        let ports = [FRONT_PORT, READY_PORT, DIRECTORY_PORT, CONTROL_PORT, PEER_PORT, METRICS_PORT];
        if ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return Ok(ip);
        }
    }
    Err(io::Error::other("no free loopback address"))
}

fn settings(name: &str, class: &str, ip: Ipv4Addr, zone: &str, store: SocketAddr) -> String {
    let listen = if class == "front" {
        format!(
            "front = \"{ip}:{FRONT_PORT}\"\nreadyAddr = \"{ip}:{READY_PORT}\"\n\
             directory = \"{ip}:{DIRECTORY_PORT}\"\n"
        )
    } else {
        String::new()
    };
    let serves = if class == "front" { "\"front\",\"directory\"" } else { "\"store\"" };
    format!(
        "node = {name}\nrole = \"entry\"\nmachineClass = \"{class}\"\nserves = [{serves}]\n\
         ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"quebec\"\nportRange = [{PEER_PORT},{last}]\n\
         seeds = []\nbootstrap = true\nlossCounts = false\ndiscovery = \"platform\"\n\
         entry = \"directory\"\nheartbeatMs = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"samples\",\"stream\",\"engine\",\"batch\",\"platform\"]\n\
         [zones]\nsalle-a = \"quebec\"\nsalle-b = \"quebec\"\nsalle-c = \"quebec\"\n\
         [listen]\n{listen}\
         [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
         [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
         [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\nackMs = 4000\ncatchUpS = 4.8\n\
         drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigMs = 2000\nrollbackSlackMs = 250\n\
         skewMaxMs = 5000\nrecoverS = 12\npassMs = 120\nretryAfterS = 0\nfinishS = 10\nstatusS = 120\n\
         cancelMs = 3000\nsettleMs = 1000\nquotaOverage = 0.1\nrequireFence = false\nleaseMs = 3000\n\
         thawMs = 300\nttl_max_s = 5\n\
         [platform]\naddress = \"{store}\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\n\
         historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
        name = quote(name),
        last = PEER_PORT + 15,
    )
}

/// The number of machines and the pace of workers of a deployment.
pub struct Plan {
    pub fronts: usize,
    pub engines: usize,
    pub plain: usize,
    pub pace: Pace,
}

impl Site {
    /// Starts a deployment, and waits until every front node is ready and lists all others.
    pub fn start(plan: &Plan) -> io::Result<Self> {
        let record = Record::open();
        let store = Store::open(record.began());
        let runs = Runs::open(record.began());
        let folder = std::env::temp_dir().join(format!("catkinmast-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        store.put("op/config", &worker::configuration(3));
        for model in worker::MODELS {
            store.put(
                &format!("op/version/{model}"),
                &format!("{{\"model\":\"{model}\",\"version\":1}}"),
            );
        }
        let mut engines = Vec::new();
        for number in 0..plan.engines {
            engines.push(Worker::start(&store, &runs, "modeles", number, plan.pace)?);
        }
        for number in 0..plan.plain {
            Worker::start(&store, &runs, "registre", number, plan.pace)?;
        }
        let mut site = Self {
            engines,
            record,
            runs,
            store,
            fronts: Vec::new(),
            _standbys: Vec::new(),
            folder,
        };
        let zones = ["salle-a", "salle-b", "salle-c"];
        for number in 0..plan.fronts {
            let zone = zones[number % 3];
            let name = format!("front-{zone}-{}", number / 3 + 1);
            let node = site.spawn(&name, "front", zone, number as u8, &FRONT)?;
            site.fronts.push(node);
        }
        for (number, zone) in zones.iter().enumerate() {
            let name = format!("store-{zone}-1");
            let node = site.spawn(&name, "store", zone, 100 + number as u8, &STANDBY)?;
            site._standbys.push(node);
        }
        site.wait_until_ready(plan.fronts)?;
        site.record.note(format!("the deployment is ready: {} front nodes", plan.fronts));
        Ok(site)
    }

    fn spawn(
        &self,
        name: &str,
        class: &str,
        zone: &str,
        number: u8,
        command: &[&str],
    ) -> io::Result<Node> {
        let ip = free_address(number)?;
        let store = self.store.listen(name)?;
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings(name, class, ip, zone, store))?;
        let mut run = Command::new(command[0]);
        run.args(&command[1..]).env_clear().env("CATKINMAST_BOOT", &file);
        for variable in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(variable) {
                run.env(variable, value);
            }
        }
        let child = run.stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        if let Ok(mut running) = RUNNING.lock() {
            running.push(child.id());
        }
        Ok(Node { name: name.to_owned(), ip, child })
    }

    fn wait_until_ready(&self, count: usize) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.fronts.iter().all(|node| node.is_ready() && node.listed() == count) {
                // Two probes of each node pass before any duty is taken.
                std::thread::sleep(Duration::from_secs(4));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the deployment was not ready in 20 s"))
    }

    /// Adds to the record what the store and the workers have seen.
    pub fn note_observations(&self) {
        for line in self.store.take_log() {
            let (ms, text) = line.split_once(' ').unwrap_or(("0", &line));
            self.record.note_at(ms.parse().unwrap_or(0), text);
        }
        for run in self.runs.all() {
            let Run { request, worker, began_ms, events, ended_ms, complete } = run;
            let end = if complete { "complete" } else { "not complete" };
            self.record.note_at(
                began_ms,
                format!(
                    "worker {worker} ran {request}: {events} events until {ended_ms} ms, {end}"
                ),
            );
        }
    }
}
