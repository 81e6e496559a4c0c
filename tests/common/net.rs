//! The real program on loopback sockets among fake servers and fake discovery.
#![allow(dead_code, unused_imports)]

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};

pub use fakes::program::Folder;
pub use fakes::registry::{Entry, Registry};
pub use fakes::scripted::{Server, answer};
use fakes::wire::read_message;
pub use fakes::{PATIENCE, until};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Discovery that lists `servers` as active in the sidecar's zone, under names made of their addresses.
pub fn discovery(servers: &[&Server]) -> Registry {
    let sited: Vec<_> = servers.iter().map(|&s| (s, "a")).collect();
    discovery_of(&sited)
}

/// The same of servers and their zones.
pub fn discovery_of(servers: &[(&Server, &str)]) -> Registry {
    Registry::start(servers.iter().map(|(s, site)| Entry::new(s.at, site)).collect())
}

fn address(listener: &TcpListener) -> String {
    listener.local_addr().expect("bound").to_string()
}

/// The program; it inherits this listener by the `LISTEN_FDS` convention.
pub fn program(listener: Option<&TcpListener>) -> Command {
    let program = env!("CARGO_BIN_EXE_lb-sidecar");
    let Some(listener) = listener else { return Command::new(program) };
    let copy = OwnedFd::from(listener.try_clone().expect("a second handle"));
    let mut command = Command::new("sh");
    command.args(["-c", "exec 3<&0 0</dev/null; LISTEN_PID=$$ exec \"$0\"", program]);
    command.env("LISTEN_FDS", "1").stdin(copy);
    command
}

/// The program under test.
pub struct Sidecar {
    child: Child,
    /// Where clients connect.
    pub at: SocketAddr,
    config: Value,
    folder: Folder,
    /// Kept running as long as the sidecar.
    _registry: Registry,
    /// The file that its log goes to, so that what it has written can be read at once.
    log: PathBuf,
}

impl Sidecar {
    /// Starts one with small limits; it is ready when this returns.
    pub fn start(discovery: Registry) -> Sidecar {
        Sidecar::start_with(discovery, |_| {})
    }

    /// The same with a change of its configuration.
    pub fn start_with(discovery: Registry, change: impl FnOnce(&mut Value)) -> Sidecar {
        Sidecar::start_on(None, discovery, change)
    }

    /// The same with further variables in its environment.
    pub fn start_with_env(discovery: Registry, env: &[(&str, &str)]) -> Sidecar {
        let mut command = program(None);
        command.envs(env.iter().copied());
        Sidecar::start_command(command, "127.0.0.1:0".to_owned(), discovery, |_| {})
    }

    /// The same with at most so many descriptors, and status reports to the socket at `supervisor`.
    pub fn start_limited(
        discovery: Registry,
        most: usize,
        supervisor: &std::path::Path,
    ) -> Sidecar {
        let mut command = Command::new("sh");
        let program = env!("CARGO_BIN_EXE_lb-sidecar");
        command.args(["-c", &format!("ulimit -n {most}; exec \"$0\""), program]);
        command.env("NOTIFY_SOCKET", supervisor);
        let more = |config: &mut Value| config["limits"]["sockets"] = 256.into();
        Sidecar::start_command(command, "127.0.0.1:0".to_owned(), discovery, more)
    }

    /// The same on an inherited listener.
    pub fn start_on(
        listener: Option<&TcpListener>,
        discovery: Registry,
        change: impl FnOnce(&mut Value),
    ) -> Sidecar {
        let listen = listener.map_or_else(|| "127.0.0.1:0".to_owned(), address);
        Sidecar::start_command(program(listener), listen, discovery, change)
    }

    /// The same by a command that the test prepares.
    pub fn start_command(
        mut command: Command,
        listen: String,
        discovery: Registry,
        change: impl FnOnce(&mut Value),
    ) -> Sidecar {
        let folder = Folder::new("sidecar");
        let mut config = json!({
            "name": "n0", "listen": listen, "seed": "00000000000000a7",
            "discovery": discovery.at.to_string(),
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 64},
            "settings": crate::common::settings_json(),
        });
        // Enough time on any machine: nothing is late, shed or timed out by chance. One latency
        // objective is short, since it limits the gaps in responses; tests send nothing of that class.
        for class in config["settings"]["classes"].as_array_mut().expect("classes") {
            class["aim"] = 20_000_000.into();
            class["deadline"] = 25_000_000.into();
        }
        config["settings"]["classes"][1]["aim"] = 500_000.into();
        change(&mut config);
        let path = folder.path().join("config.json");
        std::fs::write(&path, config.to_string()).expect("a configuration");
        let log = folder.path().join("log");
        let mut child = command
            .env("LB_CONFIG", &path)
            .env("LB_DISCOVERY", discovery.at.to_string())
            .env_remove("LB_LISTEN")
            .env_remove("LB_NAME")
            .env("LB_LOG_FORMAT", "json")
            .stderr(File::create(&log).expect("a file for its log"))
            .spawn()
            .expect("the program starts");
        let mut at = None;
        until("it listens", || {
            at = logged_address(&read_log(&log), "listening");
            let ended = child.try_wait().expect("a child of ours");
            assert!(at.is_some() || ended.is_none(), "it has ended: {}", read_log(&log));
            at.is_some()
        });
        let at = at.expect("found");
        let sidecar = Sidecar { child, at, config, folder, _registry: discovery, log };
        until("the sidecar is ready", || {
            sidecar.exchange("GET /health/ready HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200")
        });
        sidecar
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        read_log(&self.log)
    }

    /// Where operators connect, as the log says.
    pub fn admin(&self) -> SocketAddr {
        let mut at = None;
        until("the admin listener is open", || {
            at = logged_address(&self.log(), "admin listener started");
            at.is_some()
        });
        at.expect("found")
    }

    /// Replaces the file of the configuration.
    pub fn replace_config(&self, text: &str) {
        let new = self.folder.path().join("new.json");
        std::fs::write(&new, text).expect("written");
        std::fs::rename(new, self.folder.path().join("config.json")).expect("in place");
    }

    /// Removes the file of the configuration.
    pub fn remove_config(&self) {
        std::fs::remove_file(self.folder.path().join("config.json")).expect("removed");
    }

    /// The configuration as it was at the start, with another discovery.
    pub fn config_with_discovery(&self, discovery: &Registry) -> String {
        let mut config = self.config.clone();
        config["discovery"] = json!(discovery.at.to_string());
        config.to_string()
    }

    /// The configuration as it was at the start.
    pub fn config(&self) -> &Value {
        &self.config
    }

    /// The id of its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let signal = match name {
            "CONT" => Signal::CONT,
            "HUP" => Signal::HUP,
            "KILL" => Signal::KILL,
            "STOP" => Signal::STOP,
            "TERM" => Signal::TERM,
            "USR2" => Signal::USR2,
            _ => panic!("no signal is called {name}"),
        };
        kill_process(Pid::from_child(&self.child), signal).expect("a child of ours");
    }

    /// Waits until the program has ended.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        until("the program ends", || {
            status = self.child.try_wait().expect("a child of ours");
            status.is_some()
        });
        status.expect("it has ended")
    }

    /// Its state, as it reports it.
    pub fn state(&self) -> Value {
        let answer = self.exchange("GET /health/version HTTP/1.1\r\n\r\n");
        let (head, body) = answer.split_once("\r\n\r\n").expect("a head and a body");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        serde_json::from_str(body).expect("JSON")
    }

    /// Sends requests until one has reached `server`, as it does once the sidecar knows a list with it.
    pub fn wait_until_reaches(&self, server: &Server) {
        let mut n = 0;
        until("a request reaches the server", || {
            n += 1;
            self.exchange(&look(&format!("to{n}")).replace("Ms: 20000", "Ms: 200"));
            !server.seen().is_empty()
        });
    }

    /// A new connection of a client.
    pub fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.at).expect("connected");
        socket.set_read_timeout(Some(PATIENCE)).expect("a time");
        socket
    }

    /// Sends `text` on a new connection and returns the first response's head and body; empty if the
    /// connection was closed without one.
    pub fn exchange(&self, text: &str) -> String {
        let mut socket = self.connect();
        // The sidecar may have rejected it before all is sent.
        let _ = socket.write_all(text.as_bytes());
        first_answer(socket)
    }
}

fn read_log(path: &Path) -> String {
    let log = std::fs::read(path).expect("the log");
    String::from_utf8_lossy(&log).into_owned()
}

/// The address in the first line with this message, of the instance's log in JSON.
fn logged_address(log: &str, message: &str) -> Option<SocketAddr> {
    log.lines().find_map(|line| {
        let entry: Value = serde_json::from_str(line).ok()?;
        let found = entry["message"] == message && entry["span"]["instance"] == "n0";
        found.then(|| entry["address"].as_str()?.parse().ok()).flatten()
    })
}

/// The first response on a connection: head and body; empty if it was closed without one.
pub fn first_answer(socket: TcpStream) -> String {
    let answer = read_message(&mut BufReader::new(socket));
    answer.map(|(head, body)| head + &String::from_utf8_lossy(&body)).unwrap_or_default()
}

/// All that is still received on a connection, up to its end.
pub fn read_to_end(mut socket: TcpStream) -> String {
    let mut all = Vec::new();
    let mut buf = [0; 4096];
    loop {
        match socket.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => all.extend_from_slice(&buf[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => break,
            Err(e) => panic!("neither a response nor an end: {e}"),
        }
    }
    String::from_utf8_lossy(&all).into_owned()
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A request of the class `look`, which is idempotent.
pub fn look(id: &str) -> String {
    format!("GET /look/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\r\n")
}

/// A request of the class `order`, which is not idempotent.
pub fn order(id: &str) -> String {
    format!(
        "POST /order/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\
         Content-Length: 2\r\n\r\nab"
    )
}

/// A request of the class `keep`, whose key the servers of a zone recognize.
pub fn keep(id: &str) -> String {
    format!(
        "POST /keep/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\
         Idempotency-Key: key-{id}\r\nContent-Length: 2\r\n\r\nab"
    )
}

/// Whether a client was told that it may send its request again.
pub fn is_rejected(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 429")
}
