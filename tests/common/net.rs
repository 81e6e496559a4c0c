//! Runs the real program on loopback sockets, with fake servers and fake discovery.
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

/// Starts discovery that lists `servers` as active in zone `a`, which is the sidecar's. Hosts are named after their
/// addresses.
pub fn discovery(servers: &[&Server]) -> Registry {
    let zoned: Vec<_> = servers.iter().map(|&s| (s, "a")).collect();
    discovery_of(&zoned)
}

/// The same as [`discovery`], for servers in the given zones.
pub fn discovery_of(servers: &[(&Server, &str)]) -> Registry {
    Registry::start(servers.iter().map(|(s, zone)| Entry::new(s.at, zone)).collect())
}

fn address(listener: &TcpListener) -> String {
    listener.local_addr().expect("bound").to_string()
}

/// A command that runs the program. With a listener, the program inherits it as descriptor 3, by the `LISTEN_FDS`
/// convention.
pub fn program(listener: Option<&TcpListener>) -> Command {
    let program = env!("CARGO_BIN_EXE_lb-sidecar");
    let Some(listener) = listener else { return Command::new(program) };
    let copy = OwnedFd::from(listener.try_clone().expect("a second handle"));
    let mut command = Command::new("sh");
    command.args(["-c", "exec 3<&0 0</dev/null; LISTEN_PID=$$ exec \"$0\"", program]);
    command.env("LISTEN_FDS", "1").stdin(copy);
    command
}

/// A running sidecar process; dropping it kills the process.
pub struct Sidecar {
    child: Child,
    /// The address that clients connect to.
    pub at: SocketAddr,
    /// The configuration at the start.
    config: Value,
    /// Contains the configuration file and the log.
    folder: Folder,
    /// Discovery, which runs as long as the sidecar.
    pub registry: Registry,
    /// The file that the program logs to, which a test can read while the program runs.
    log: PathBuf,
}

impl Sidecar {
    /// Starts a sidecar with small limits and waits until it is ready.
    pub fn start(discovery: Registry) -> Sidecar {
        Sidecar::start_with(discovery, |_| {})
    }

    /// The same as [`Sidecar::start`], with a configuration that `change` has changed.
    pub fn start_with(discovery: Registry, change: impl FnOnce(&mut Value)) -> Sidecar {
        Sidecar::start_on(None, discovery, change)
    }

    /// The same as [`Sidecar::start`], with additional environment variables.
    pub fn start_with_env(discovery: Registry, env: &[(&str, &str)]) -> Sidecar {
        let mut command = program(None);
        command.envs(env.iter().copied());
        Sidecar::start_command(command, "127.0.0.1:0".to_owned(), discovery, |_| {})
    }

    /// The same as [`Sidecar::start`], with at most `max_descriptors` file descriptors (`ulimit -n`) and status
    /// reports to the socket at `supervisor`. It is configured for 256 sockets.
    pub fn start_limited(
        discovery: Registry,
        max_descriptors: usize,
        supervisor: &std::path::Path,
    ) -> Sidecar {
        let mut command = Command::new("sh");
        let program = env!("CARGO_BIN_EXE_lb-sidecar");
        command.args(["-c", &format!("ulimit -n {max_descriptors}; exec \"$0\""), program]);
        command.env("NOTIFY_SOCKET", supervisor);
        let raise_socket_limit = |config: &mut Value| config["limits"]["sockets"] = 256.into();
        Sidecar::start_command(command, "127.0.0.1:0".to_owned(), discovery, raise_socket_limit)
    }

    /// The same as [`Sidecar::start_with`], on an inherited listener if there is one.
    pub fn start_on(
        listener: Option<&TcpListener>,
        discovery: Registry,
        change: impl FnOnce(&mut Value),
    ) -> Sidecar {
        let listen = listener.map_or_else(|| "127.0.0.1:0".to_owned(), address);
        Sidecar::start_command(program(listener), listen, discovery, change)
    }

    /// The same as [`Sidecar::start_with`], with a prepared command and the address to listen on.
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
        // Objectives and deadlines are long enough for any machine, so that no request is late, shed or timed out by
        // chance. The latency objective of class 1 stays short, since it limits the gaps within a response; most
        // tests send no requests of that class.
        for class in config["settings"]["classes"].as_array_mut().expect("classes") {
            class["aim"] = 20_000_000.into();
            class["deadline"] = 25_000_000.into();
        }
        config["settings"]["classes"][1]["aim"] = 500_000.into();
        change(&mut config);
        let path = folder.path().join("config.json");
        std::fs::write(&path, config.to_string()).expect("the configuration is written");
        let log = folder.path().join("log");
        let mut child = command
            .env("LB_CONFIG", &path)
            .env("LB_DISCOVERY", discovery.at.to_string())
            .env_remove("LB_LISTEN")
            .env_remove("LB_NAME")
            .env("LB_LOG_FORMAT", "json")
            .stderr(File::create(&log).expect("the log file is created"))
            .spawn()
            .expect("the program starts");
        let mut at = None;
        until("the sidecar listens", || {
            at = logged_address(&read_log(&log), "listening");
            let ended = child.try_wait().expect("a child process of the test");
            assert!(at.is_some() || ended.is_none(), "the program has ended: {}", read_log(&log));
            at.is_some()
        });
        let at = at.expect("found");
        let sidecar = Sidecar { child, at, config, folder, registry: discovery, log };
        until("the sidecar is ready", || {
            sidecar.exchange("GET /health/ready HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200")
        });
        sidecar
    }

    /// The log up to now.
    pub fn log(&self) -> String {
        read_log(&self.log)
    }

    /// The address of the admin listener, as logged.
    pub fn admin(&self) -> SocketAddr {
        let mut at = None;
        until("the admin listener is open", || {
            at = logged_address(&self.log(), "admin listener started");
            at.is_some()
        });
        at.expect("found")
    }

    /// Replaces the configuration file.
    pub fn replace_config(&self, text: &str) {
        let new = self.folder.path().join("new.json");
        std::fs::write(&new, text).expect("written");
        std::fs::rename(new, self.folder.path().join("config.json")).expect("in place");
    }

    /// Removes the configuration file.
    pub fn remove_config(&self) {
        std::fs::remove_file(self.folder.path().join("config.json")).expect("removed");
    }

    /// The configuration at the start, with the address of another discovery.
    pub fn config_with_discovery(&self, discovery: &Registry) -> String {
        let mut config = self.config.clone();
        config["discovery"] = json!(discovery.at.to_string());
        config.to_string()
    }

    /// The configuration at the start.
    pub fn config(&self) -> &Value {
        &self.config
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends the process a signal, named without `SIG`.
    pub fn signal(&self, name: &str) {
        let signal = match name {
            "CONT" => Signal::CONT,
            "HUP" => Signal::HUP,
            "KILL" => Signal::KILL,
            "STOP" => Signal::STOP,
            "TERM" => Signal::TERM,
            "USR2" => Signal::USR2,
            _ => panic!("unknown signal {name}"),
        };
        kill_process(Pid::from_child(&self.child), signal).expect("a child process of the test");
    }

    /// Waits until the program has ended.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        until("the program ends", || {
            status = self.child.try_wait().expect("a child process of the test");
            status.is_some()
        });
        status.expect("the program has ended")
    }

    /// The status that the sidecar serves at `/health/version`.
    pub fn state(&self) -> Value {
        let answer = self.exchange("GET /health/version HTTP/1.1\r\n\r\n");
        let (head, body) =
            answer.split_once("\r\n\r\n").expect("the response has a head and a body");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        serde_json::from_str(body).expect("JSON")
    }

    /// Sends requests until one reaches `server`, which requires that the sidecar has an endpoint list with it.
    pub fn wait_until_reaches(&self, server: &Server) {
        let mut n = 0;
        until("a request reaches the server", || {
            n += 1;
            self.exchange(&get_request(&format!("to{n}")).replace("Ms: 20000", "Ms: 200"));
            !server.seen().is_empty()
        });
    }

    /// Opens a client connection.
    pub fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.at).expect("connected");
        socket.set_read_timeout(Some(PATIENCE)).expect("a read timeout");
        socket
    }

    /// Sends `text` on a new connection and returns the head and body of the first response, or an empty string if
    /// the connection is closed without a response.
    pub fn exchange(&self, text: &str) -> String {
        let mut socket = self.connect();
        // Writing may fail: the sidecar may reject the request and close before all of it is sent.
        let _ = socket.write_all(text.as_bytes());
        first_answer(socket)
    }
}

fn read_log(path: &Path) -> String {
    let log = std::fs::read(path).expect("the log");
    String::from_utf8_lossy(&log).into_owned()
}

/// The `address` of the first line of the JSON log that has this message and belongs to instance `n0`.
fn logged_address(log: &str, message: &str) -> Option<SocketAddr> {
    log.lines().find_map(|line| {
        let entry: Value = serde_json::from_str(line).ok()?;
        let found = entry["message"] == message && entry["span"]["instance"] == "n0";
        found.then(|| entry["address"].as_str()?.parse().ok()).flatten()
    })
}

/// Reads the first response on a connection and returns its head and body, or an empty string if the connection is
/// closed without a response.
pub fn first_answer(socket: TcpStream) -> String {
    let answer = read_message(&mut BufReader::new(socket));
    answer.map(|(head, body)| head + &String::from_utf8_lossy(&body)).unwrap_or_default()
}

/// Reads a connection until it is closed or reset, and returns all that was received.
pub fn read_to_end(mut socket: TcpStream) -> String {
    let mut all = Vec::new();
    let mut buf = [0; 4096];
    loop {
        match socket.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => all.extend_from_slice(&buf[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => break,
            Err(e) => panic!("neither data nor a close: {e}"),
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

/// A request of class `look`, which is idempotent.
pub fn get_request(id: &str) -> String {
    format!("GET /look/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\r\n")
}

/// A request of class `order`, which is not idempotent.
pub fn order_request(id: &str) -> String {
    format!(
        "POST /order/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\
         Content-Length: 2\r\n\r\nab"
    )
}

/// A request of class `keep`, with an idempotency key that the servers of a zone deduplicate.
pub fn keyed_request(id: &str) -> String {
    format!(
        "POST /keep/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\
         Idempotency-Key: key-{id}\r\nContent-Length: 2\r\n\r\nab"
    )
}

/// Whether the response is a rejection after which the client may send its request again.
pub fn is_rejected(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 429")
}
