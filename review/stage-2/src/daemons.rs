//! The project's daemons as processes, and clients.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::note;
use crate::record::now_ms;

/// The run command of `deploy/system.toml`.
const PROGRAM: &str = "target/release/snipehead-entryd";

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script and all processes that it started after a time.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for process in STARTED.lock().expect("not poisoned").iter() {
            // SAFETY: the script has not waited for the process, so the id is still its own.
            unsafe { kill(*process as i32, SIGKILL) };
        }
        eprintln!("the script took too long");
        std::process::exit(2);
    });
}

/// Returns a listener on a free port below those of outgoing connections.
pub fn free_listener() -> TcpListener {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 97 * 90) as u16;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % 10_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener;
        }
    }
}

pub fn free_address() -> SocketAddr {
    free_listener().local_addr().expect("an address")
}

/// Starts the program with a settings file.
fn run(settings: &Path, log: &Path) -> Result<Child, String> {
    let output = OpenOptions::new().append(true).open(log).map_err(|error| error.to_string())?;
    let errors = output.try_clone().map_err(|error| error.to_string())?;
    let process = Command::new(PROGRAM)
        .env("SNIPEHEAD_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .map_err(|error| format!("{PROGRAM}: {error}"))?;
    STARTED.lock().expect("not poisoned").push(process.id());
    Ok(process)
}

pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    process: Mutex<Child>,
    settings: PathBuf,
    log: PathBuf,
}

impl Daemon {
    /// Starts a daemon with the settings of the template of the deploy file.
    pub fn start(
        index: usize,
        zone: &str,
        peers: &[SocketAddr],
        store: SocketAddr,
        cloud: SocketAddr,
        folder: &Path,
    ) -> Result<Self, String> {
        let name = format!("front-{zone}-{}", index + 1);
        let callers = free_address();
        let seeds: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let settings = format!(
            "{{\"host\":\"{name}\",\"data_centre\":\"{zone}\",\"caller_address\":\"{callers}\",\
             \"ready_address\":\"{}\",\"peer_address\":\"{}\",\"metrics_address\":\"{}\",\
             \"store_address\":\"{store}\",\"promotion_address\":\"{cloud}\",\"seeds\":[{}],\
             \"processor_cores\":0.25,\"link_mbps\":1000.0,\"revoke_limit_ms\":5000,\
             \"apply_limit_ms\":3000,\"grace_s\":6,\"memory_mb\":260,\"max_descriptors\":4200}}",
            free_address(),
            peers[index],
            free_address(),
            seeds.join(",")
        );
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, settings).map_err(|error| error.to_string())?;
        let log = folder.join(format!("{name}.log"));
        File::create(&log).map_err(|error| error.to_string())?;
        let process = Mutex::new(run(&file, &log)?);
        note!("daemon {name}: started");
        Ok(Self { name, callers, process, settings: file, log })
    }

    /// Kills the process and starts it again after a while, as the platform does.
    pub fn kill_and_restart(&self, after: Duration) -> Result<(), String> {
        let mut process = self.process.lock().expect("not poisoned");
        note!("daemon {}: killed", self.name);
        process.kill().map_err(|error| error.to_string())?;
        STARTED.lock().expect("not poisoned").retain(|started| *started != process.id());
        process.wait().map_err(|error| error.to_string())?;
        thread::sleep(after);
        *process = run(&self.settings, &self.log)?;
        note!("daemon {}: started again", self.name);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        note!("daemon {}: signal {signal}", self.name);
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(self.process.lock().expect("not poisoned").id() as i32, signal) };
    }

    /// Adds the lines of its log about members and promotions to the record.
    pub fn note_log(&self) {
        let Ok(text) = std::fs::read_to_string(&self.log) else { return };
        let events =
            ["promotion", "primary_", "ownership_", "member_state_changed", "outcome_unknown"];
        for line in text.lines().filter(|line| events.iter().any(|event| line.contains(event))) {
            note!("log of {}: {line}", self.name);
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let mut process = self.process.lock().expect("not poisoned");
        let _ = process.kill();
        STARTED.lock().expect("not poisoned").retain(|started| *started != process.id());
        let _ = process.wait();
    }
}

/// How a client's statement ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A success with the log position.
    Done(String),
    /// An error.
    Error(String),
    /// The connection ended, or nothing came in time.
    None,
}

/// A client's session.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, database: &str) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let mut client = Self { reader: BufReader::new(stream) };
        client.send(&format!("STARTUP {database} k1"))?;
        client.line()?.starts_with("READY").then_some(client)
    }

    fn send(&mut self, line: &str) -> Option<()> {
        self.reader.get_mut().write_all(format!("{line}\r\n").as_bytes()).ok()
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(read) if read > 0 => Some(line.trim_end().to_owned()),
            _ => None,
        }
    }

    pub fn query(&mut self, id: &str, text: &str) -> Outcome {
        let sent_at_ms = now_ms();
        let outcome = self.exchange(id, text).unwrap_or(Outcome::None);
        note!("client: QUERY {id} {text} (sent at {sent_at_ms} ms) -> {outcome:?}");
        outcome
    }

    fn exchange(&mut self, id: &str, text: &str) -> Option<Outcome> {
        self.send(&format!("QUERY {id} {text}"))?;
        let mut error = None;
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ERROR" => error = Some(rest.to_owned()),
                "READY" => {
                    let position = rest.split(' ').nth(1).unwrap_or("-").to_owned();
                    return Some(error.map_or(Outcome::Done(position), Outcome::Error));
                }
                _ => {}
            }
        }
    }
}

/// Writes through the daemons in turn, with a new session where needed.
pub struct Writer {
    addresses: Vec<SocketAddr>,
    client: Option<Client>,
    next: usize,
    count: usize,
    prefix: &'static str,
}

/// A write that was acknowledged to the client.
#[derive(Clone, Debug)]
pub struct Acknowledged {
    pub id: String,
    pub at_ms: u64,
}

impl Writer {
    pub fn new(prefix: &'static str, daemons: &[&Daemon]) -> Self {
        let addresses = daemons.iter().map(|daemon| daemon.callers).collect();
        Self { addresses, client: None, next: 0, count: 0, prefix }
    }

    /// Sends one write. Returns it if it was acknowledged.
    pub fn write(&mut self) -> Option<Acknowledged> {
        if self.client.is_none() {
            self.next += 1;
            self.client = Client::connect(self.addresses[self.next % self.addresses.len()], "lepu");
        }
        let client = self.client.as_mut()?;
        self.count += 1;
        let id = format!("{}{}", self.prefix, self.count);
        let outcome = client.query(&id, &format!("STORE 1a{} x{}", self.count % 7, self.count));
        match outcome {
            Outcome::Done(_) => Some(Acknowledged { id, at_ms: now_ms() }),
            Outcome::Error(_) => None,
            Outcome::None => {
                self.client = None;
                None
            }
        }
    }
}
