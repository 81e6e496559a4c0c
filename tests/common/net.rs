//! The real program on loopback sockets, with small stand-ins for discovery, servers and clients.
//! All ports are the system's choice; waiting is for events, with deadlines far beyond what any
//! machine needs.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// What is waited for comes long before this, or the test has failed.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until `done` says so.
pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "in vain: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// One message's head and body. None: the connection ended, or was silent for too long.
pub fn message(from: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    loop {
        let before = head.len();
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
        if head[before..].trim().is_empty() {
            break;
        }
    }
    let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// A header's value.
pub fn header(head: &str, name: &str) -> Option<String> {
    let pairs = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let value = pairs.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next();
    value.map(str::to_owned)
}

/// A server that does to each request what its script says.
pub struct Server {
    pub at: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
}

impl Server {
    /// `script` gets the request's id and the connection, and tells whether it goes on on it.
    pub fn start(script: impl Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static) -> Server {
        let (listener, at) = listen();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (script, list) = (Arc::new(script), seen.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (script, list) = (script.clone(), list.clone());
                thread::spawn(move || {
                    let mut write = socket.try_clone().expect("a second handle");
                    let mut read = BufReader::new(socket);
                    while let Some((head, _)) = message(&mut read) {
                        let id = header(&head, "x-correlation-id").unwrap_or_default();
                        list.lock().expect("no panic").push(id.clone());
                        if !script(&id, &mut write) {
                            return;
                        }
                    }
                });
            }
        });
        Server { at, seen }
    }

    /// A server that answers every request with its id.
    pub fn echo() -> Server {
        Server::start(|id, socket| socket.write_all(answer(id).as_bytes()).is_ok())
    }

    /// The ids of the requests that have come, in order.
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().expect("no panic").clone()
    }
}

/// A good answer whose body is `id`.
pub fn answer(id: &str) -> String {
    answer_with(id, "queue=0,inflight=1")
}

/// The same with this load report.
pub fn answer_with(id: &str, load: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Backend-Load: {load}\r\nContent-Length: {}\r\n\r\n{id}", id.len())
}

/// Discovery that lists `servers` as active in the sidecar's zone, by names of their addresses.
pub fn discovery(servers: &[&Server]) -> SocketAddr {
    let sited: Vec<_> = servers.iter().map(|&s| (s, "a")).collect();
    discovery_of(&sited)
}

/// The same of servers and their zones.
pub fn discovery_of(servers: &[(&Server, &str)]) -> SocketAddr {
    let hosts = servers.iter().map(|(s, site)| {
        json!({"host": format!("s-{}", s.at.port()), "dial": s.at.to_string(), "site": site,
               "class": "m", "block": 0, "health": "active", "share": 1.0, "born_ms": 0})
    });
    let whole = json!({"seq": 7, "whole": true, "hosts": hosts.collect::<Vec<_>>()}).to_string();
    let (listener, at) = listen();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let whole = whole.clone();
            thread::spawn(move || {
                let mut write = socket.try_clone().expect("a second handle");
                let mut read = BufReader::new(socket);
                while let Some((head, _)) = message(&mut read) {
                    let nothing = r#"{"seq":7,"whole":false,"hosts":[]}"#;
                    let watch = head.contains("hold_ms");
                    if watch {
                        thread::sleep(Duration::from_millis(50));
                    }
                    let body = if watch { nothing } else { &whole };
                    let length = body.len();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    if write.write_all((head + body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

/// The program under test.
pub struct Sidecar {
    child: Child,
    pub at: SocketAddr,
    config: Value,
    folder: PathBuf,
    log: Arc<Mutex<String>>,
}

impl Sidecar {
    /// Starts one with few means; ready when this returns.
    pub fn start(discovery: SocketAddr) -> Sidecar {
        Sidecar::start_with(discovery, |_| {})
    }

    pub fn start_with(discovery: SocketAddr, change: impl FnOnce(&mut Value)) -> Sidecar {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("sidecar-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder of its own");
        let mut config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "seed": "00000000000000a7",
            "discovery": discovery.to_string(),
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 64},
            "settings": super::settings_json(),
        });
        // Time enough on any machine: nothing is late, shed or over by chance. One aim is short,
        // since it bounds the gaps in answers; tests send nothing of that class.
        for class in config["settings"]["classes"].as_array_mut().expect("classes") {
            class["aim"] = 20_000_000.into();
            class["deadline"] = 25_000_000.into();
        }
        config["settings"]["classes"][1]["aim"] = 500_000.into();
        change(&mut config);
        let path = folder.join("config.json");
        std::fs::write(&path, config.to_string()).expect("a configuration");
        let mut child = Command::new(env!("CARGO_BIN_EXE_plankvale"))
            .env("LB_CONFIG", &path)
            .env("LB_DISCOVERY", discovery.to_string())
            .env_remove("LB_LISTEN")
            .env_remove("LB_NAME")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (listens, at) = mpsc::channel();
        let log = Arc::new(Mutex::new(String::new()));
        let lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
        let kept = log.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some((_, at)) = line.split_once("listens on ") {
                    let _ = listens.send(at.parse().expect("an address"));
                }
                *kept.lock().expect("no panic") += &(line + "\n");
            }
        });
        let at = at.recv_timeout(PATIENCE).unwrap_or_else(|_| {
            panic!("it does not listen: {}", log.lock().expect("no panic"));
        });
        let sidecar = Sidecar { child, at, config, folder, log };
        until("the sidecar is ready", || {
            sidecar.exchange("GET /health/ready HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200")
        });
        sidecar
    }

    pub fn log(&self) -> String {
        self.log.lock().expect("no panic").clone()
    }

    /// Replaces the file of the configuration.
    pub fn replace(&self, text: &str) {
        let new = self.folder.join("new.json");
        std::fs::write(&new, text).expect("written");
        std::fs::rename(new, self.folder.join("config.json")).expect("in place");
    }

    /// The configuration as it was at the start, with another discovery.
    pub fn config_with(&self, discovery: SocketAddr) -> String {
        let mut config = self.config.clone();
        config["discovery"] = json!(discovery.to_string());
        config.to_string()
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &kill]).status().expect("a shell");
        assert!(status.success(), "{kill}");
    }

    /// Waits until the program has ended.
    pub fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        until("the program ends", || {
            status = self.child.try_wait().expect("a child of ours");
            status.is_some()
        });
        status.expect("it has ended")
    }

    pub fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.at).expect("connected");
        socket.set_read_timeout(Some(PATIENCE)).expect("a time");
        socket
    }

    /// Sends `text` on a connection of its own and returns the first answer's head and body; empty
    /// if the connection was closed without one.
    pub fn exchange(&self, text: &str) -> String {
        let mut socket = self.connect();
        // The sidecar may have turned it away before it is all sent.
        let _ = socket.write_all(text.as_bytes());
        first_answer(socket)
    }
}

/// The first answer on a connection: head and body; empty if it was closed without one.
pub fn first_answer(socket: TcpStream) -> String {
    let answer = message(&mut BufReader::new(socket));
    answer.map(|(head, body)| head + &String::from_utf8_lossy(&body)).unwrap_or_default()
}

/// All that still comes on a connection, up to its end.
pub fn rest(mut socket: TcpStream) -> String {
    let mut all = Vec::new();
    let mut buf = [0; 4096];
    loop {
        match socket.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => all.extend_from_slice(&buf[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => break,
            Err(e) => panic!("neither an answer nor an end: {e}"),
        }
    }
    String::from_utf8_lossy(&all).into_owned()
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A request of the safe class.
pub fn look(id: &str) -> String {
    format!("GET /look/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\r\n")
}

/// A request of the unsafe class.
pub fn order(id: &str) -> String {
    format!(
        "POST /order/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\
         Content-Length: 2\r\n\r\nab"
    )
}
