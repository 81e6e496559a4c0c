//! Measures the overhead of the sidecar per request, compared with a minimal hyper proxy in the same run: latency by
//! class and by gap between requests, requests per second, and processor time per request.
//!
//! `cargo run --release -p local-cluster --example hop`. Servers answer at once, and all traffic is on loopback.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use fakes::contents::{self, Direction};
use fakes::program::{Folder, built};
use fakes::registry::{Entry, Registry};
use fakes::wire::Reader;
use fakes::world::{World, classes, settings};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use local_cluster::process_usage;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const CLASSES: [&str; 3] = ["call-lookup", "log-upload", "qsl-order"];
/// The gaps between two requests of a connection, in milliseconds.
const GAPS_MS: [u64; 3] = [2, 20, 200];
/// The duration of each measurement.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(4);
const ECHO_SERVERS: usize = 3;
const LATENCY_CONNECTIONS: u64 = 4;
const THROUGHPUT_CONNECTIONS: [u64; 2] = [8, 64];
const MAX_READY_POLLS: usize = 500;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

type Error = Box<dyn std::error::Error + Send + Sync>;

fn main() -> Result<(), Error> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["echo"] => run_echo_server().await,
            ["pass", upstream] => run_proxy(upstream.parse()?).await,
            _ => measure().await,
        }
    })
}

async fn listen() -> Result<TcpListener, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("{}", listener.local_addr()?);
    Ok(listener)
}

/// Runs a server that answers each request at once.
async fn run_echo_server() -> Result<(), Error> {
    let listener = listen().await?;
    loop {
        let (socket, _) = listener.accept().await?;
        socket.set_nodelay(true)?;
        tokio::task::spawn_local(async move {
            let mut reader = Reader::new(socket);
            while let Ok(Some(message)) = reader.next().await {
                let id = message.header("x-correlation-id").unwrap_or_default();
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Backend-Load: inflight=1,queue=0,util=0.1\r\n\
                     Content-Length: {}\r\n\r\n{id}",
                    id.len()
                );
                if reader.get_mut().write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Runs a proxy that only forwards requests, with one upstream connection per downstream connection.
async fn run_proxy(upstream: SocketAddr) -> Result<(), Error> {
    let listener = listen().await?;
    loop {
        let (socket, _) = listener.accept().await?;
        socket.set_nodelay(true)?;
        tokio::task::spawn_local(async move {
            let Ok(socket_up) = TcpStream::connect(upstream).await else { return };
            let _ = socket_up.set_nodelay(true);
            let Ok((sender, connection)) =
                client::handshake::<_, Full<Bytes>>(TokioIo::new(socket_up)).await
            else {
                return;
            };
            tokio::task::spawn_local(async move {
                let _ = connection.await;
            });
            let sender = Rc::new(RefCell::new(Some(sender)));
            let serve = service_fn(move |request: Request<Incoming>| {
                let sender = sender.clone();
                async move {
                    let (head, body) = request.into_parts();
                    let body = body.collect().await?.to_bytes();
                    let mut upstream = sender.borrow_mut().take().ok_or("busy")?;
                    upstream.ready().await?;
                    let answer =
                        upstream.send_request(Request::from_parts(head, Full::new(body))).await?;
                    let (head, body) = answer.into_parts();
                    let body = body.collect().await?.to_bytes();
                    *sender.borrow_mut() = Some(upstream);
                    Ok::<_, Error>(Response::from_parts(head, Full::new(body)))
                }
            });
            let _ = server::Builder::new().serve_connection(TokioIo::new(socket), serve).await;
        });
    }
}

/// A child process that is killed when the handle is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts this program as a child process with these arguments, and returns the address that it prints.
fn start_child(arguments: &[&str]) -> Result<(Process, SocketAddr), Error> {
    let mut command = Command::new(std::env::current_exe()?);
    let mut child = command.args(arguments).stdout(Stdio::piped()).spawn()?;
    let out = child.stdout.take().ok_or("a pipe")?;
    let mut line = String::new();
    std::io::BufRead::read_line(&mut std::io::BufReader::new(out), &mut line)?;
    Ok((Process(child), line.trim().parse()?))
}

fn request(class: &str, id: u64) -> Vec<u8> {
    let correlation_id = format!("{id:016x}");
    let body_of = |length| contents::body_of(Direction::Request, &correlation_id, length);
    let (method, headers, body) = match class {
        "log-upload" => {
            let headers = format!("Idempotency-Key: {id:032x}\r\nContent-Length: 4\r\n");
            ("POST", headers, body_of(4))
        }
        "qsl-order" => ("POST", "Content-Length: 4\r\n".to_owned(), body_of(4)),
        _ => ("GET", String::new(), Vec::new()),
    };
    let head = format!(
        "{method} /{class}/1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {correlation_id}\r\n\
         X-Account: {}\r\nX-Time-Left-Ms: 700\r\n{headers}\r\n",
        World::tenants()[0]
    );
    [head.into_bytes(), body].concat()
}

/// Sends requests in a closed loop on each of `connections` connections, with a gap after each response. Returns the
/// latencies in microseconds, in ascending order.
async fn send_requests(
    at: SocketAddr,
    class: &'static str,
    connections: u64,
    gap: Duration,
) -> Vec<u64> {
    let latencies = Rc::new(RefCell::new(Vec::new()));
    let end = Instant::now() + MEASUREMENT_PERIOD;
    let loops: Vec<_> = (0..connections)
        .map(|n| {
            let latencies = latencies.clone();
            tokio::task::spawn_local(async move {
                let Ok(socket) = TcpStream::connect(at).await else { return };
                let _ = socket.set_nodelay(true);
                let mut reader = Reader::new(socket);
                tokio::time::sleep(gap.mul_f64(n as f64 / connections as f64)).await;
                while Instant::now() < end {
                    let id = next_id();
                    let started = Instant::now();
                    let sent = reader.get_mut().write_all(&request(class, id)).await;
                    match reader.next().await {
                        Ok(Some(m)) if sent.is_ok() && m.status() == Some(200) => {}
                        other => {
                            eprintln!("{class}: {:?}", other.map(|m| m.and_then(|m| m.status())));
                            return;
                        }
                    }
                    latencies.borrow_mut().push(started.elapsed().as_micros() as u64);
                    if !gap.is_zero() {
                        tokio::time::sleep(gap).await;
                    }
                }
            })
        })
        .collect();
    for task in loops {
        let _ = task.await;
    }
    let mut latencies = latencies.take();
    latencies.sort_unstable();
    latencies
}

/// Returns an unused request id.
fn next_id() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    u64::from(std::process::id()) << 32 | NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Returns a quantile, in milliseconds, of latencies in microseconds in ascending order.
fn quantile_ms(sorted_us: &[u64], quantile: f64) -> f64 {
    let last = sorted_us.len().saturating_sub(1);
    let index = ((sorted_us.len() as f64 * quantile) as usize).min(last);
    sorted_us.get(index).map_or(f64::NAN, |us| *us as f64 / 1000.0)
}

/// The processes and addresses of the sidecar and of the proxy that it is compared with.
struct Candidates {
    sidecar: (Process, SocketAddr),
    proxy: (Process, SocketAddr),
}

async fn measure() -> Result<(), Error> {
    let mut echoes = Vec::new();
    for _ in 0..ECHO_SERVERS {
        echoes.push(start_child(&["echo"])?);
    }
    let proxy = start_child(&["pass", &echoes[0].1.to_string()])?;
    let entries = echoes.iter().map(|(_, address)| Entry::new(*address, "utrecht"));
    let registry = Registry::open(entries.collect()).await?;
    let folder = Folder::new("hop");
    let sidecar = start_sidecar(&registry, &folder).await?;
    let candidates = Candidates { sidecar, proxy };
    measure_latencies(&candidates).await;
    measure_throughput(&candidates).await;
    Ok(())
}

/// Starts a sidecar, and waits until it is ready.
async fn start_sidecar(
    registry: &Registry,
    folder: &Folder,
) -> Result<(Process, SocketAddr), Error> {
    let program = built("lb-sidecar", false)?;
    let listen = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
    let mut settings = settings(&classes(1.0));
    settings["me"] = json!(0);
    settings["instances"] = json!(1);
    settings["zone"] = json!(0);
    let config = json!({
        "name": "hop", "listen": listen.to_string(), "discovery": registry.at.to_string(),
        "seed": "00000000000000a7", "settings": settings,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
    });
    let path = folder.path().join("config.json");
    std::fs::write(&path, config.to_string())?;
    let sidecar = Command::new(program).env("LB_CONFIG", &path).stderr(Stdio::null()).spawn()?;
    let sidecar = Process(sidecar);
    for _ in 0..MAX_READY_POLLS {
        if readiness_status(listen).await == Some(200) {
            break;
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    Ok((sidecar, listen))
}

async fn readiness_status(listen: SocketAddr) -> Option<u16> {
    let mut reader = Reader::new(TcpStream::connect(listen).await.ok()?);
    reader.get_mut().write_all(b"GET /health/ready HTTP/1.1\r\n\r\n").await.ok()?;
    reader.next().await.ok()??.status()
}

async fn measure_latencies(candidates: &Candidates) {
    println!(
        "| class | gap | sidecar p50 | p99 | proxy p50 | p99 |\n| --- | --- | --- | --- | --- | --- |"
    );
    for class in CLASSES {
        for gap in GAPS_MS.map(Duration::from_millis) {
            let sidecar =
                send_requests(candidates.sidecar.1, class, LATENCY_CONNECTIONS, gap).await;
            let proxy = send_requests(candidates.proxy.1, class, LATENCY_CONNECTIONS, gap).await;
            println!(
                "| {class} | {gap:?} | {:.2} ms | {:.2} ms | {:.2} ms | {:.2} ms |",
                quantile_ms(&sidecar, 0.5),
                quantile_ms(&sidecar, 0.99),
                quantile_ms(&proxy, 0.5),
                quantile_ms(&proxy, 0.99)
            );
        }
    }
}

async fn measure_throughput(candidates: &Candidates) {
    println!(
        "\n| connections | sidecar | CPU per request | proxy | CPU per request | CPU ratio |\n| --- | --- | --- | --- | --- | --- |"
    );
    for connections in THROUGHPUT_CONNECTIONS {
        let sidecar = throughput(&candidates.sidecar, connections).await;
        let proxy = throughput(&candidates.proxy, connections).await;
        println!(
            "| {connections} | {:.0}/s | {:.1} µs | {:.0}/s | {:.1} µs | {:.2} |",
            sidecar.requests_per_s,
            sidecar.cpu_us,
            proxy.requests_per_s,
            proxy.cpu_us,
            sidecar.cpu_us / proxy.cpu_us
        );
    }
}

struct Throughput {
    requests_per_s: f64,
    /// The processor time per request, in microseconds.
    cpu_us: f64,
}

async fn throughput((process, address): &(Process, SocketAddr), connections: u64) -> Throughput {
    let cpu_s = || process_usage(process.0.id()).map_or(0.0, |usage| usage.cpu_s);
    let before = cpu_s();
    let latencies = send_requests(*address, "call-lookup", connections, Duration::ZERO).await;
    let requests = latencies.len() as f64;
    Throughput {
        requests_per_s: requests / MEASUREMENT_PERIOD.as_secs_f64(),
        cpu_us: (cpu_s() - before) / requests * 1e6,
    }
}
