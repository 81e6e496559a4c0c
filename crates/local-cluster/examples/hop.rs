//! What a request pays on its way through the sidecar, beside a bare hyper pass-through in the same
//! run: time by class and by gap between requests, requests a second, CPU a request.
//!
//! `cargo run --release -p local-cluster --example hop`. Servers answer at once; everything is on loopback.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

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
use local_cluster::Host;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const CLASSES: [&str; 3] = ["call-lookup", "log-upload", "qsl-order"];
const GAPS_MS: [u64; 3] = [2, 20, 200];
const SPAN: Duration = Duration::from_secs(4);

type Error = Box<dyn std::error::Error + Send + Sync>;

fn main() -> Result<(), Error> {
    let given: Vec<String> = std::env::args().skip(1).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        match given.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["echo"] => echo().await,
            ["pass", upstream] => pass(upstream.parse()?).await,
            _ => measure().await,
        }
    })
}

async fn listen() -> Result<TcpListener, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("{}", listener.local_addr()?);
    Ok(listener)
}

/// A server that answers at once.
async fn echo() -> Result<(), Error> {
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

/// Passes requests on, with a connection to the server for each client's, and does nothing else.
async fn pass(upstream: SocketAddr) -> Result<(), Error> {
    let listener = listen().await?;
    loop {
        let (socket, _) = listener.accept().await?;
        socket.set_nodelay(true)?;
        tokio::task::spawn_local(async move {
            let Ok(there) = TcpStream::connect(upstream).await else { return };
            let _ = there.set_nodelay(true);
            let Ok((sender, driving)) =
                client::handshake::<_, Full<Bytes>>(TokioIo::new(there)).await
            else {
                return;
            };
            tokio::task::spawn_local(async move {
                let _ = driving.await;
            });
            let sender = Rc::new(RefCell::new(Some(sender)));
            let serve = service_fn(move |request: Request<Incoming>| {
                let sender = sender.clone();
                async move {
                    let (head, body) = request.into_parts();
                    let body = body.collect().await?.to_bytes();
                    let mut taken = sender.borrow_mut().take().ok_or("busy")?;
                    taken.ready().await?;
                    let answer =
                        taken.send_request(Request::from_parts(head, Full::new(body))).await?;
                    let (head, body) = answer.into_parts();
                    let body = body.collect().await?.to_bytes();
                    *sender.borrow_mut() = Some(taken);
                    Ok::<_, Error>(Response::from_parts(head, Full::new(body)))
                }
            });
            let _ = server::Builder::new().serve_connection(TokioIo::new(socket), serve).await;
        });
    }
}

/// A process that goes with its handle.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a part of this program as a process of its own, and tells where it listens.
fn part(arguments: &[&str]) -> Result<(Process, SocketAddr), Error> {
    let mut command = Command::new(std::env::current_exe()?);
    let mut child = command.args(arguments).stdout(Stdio::piped()).spawn()?;
    let out = child.stdout.take().ok_or("a pipe")?;
    let mut line = String::new();
    std::io::BufRead::read_line(&mut std::io::BufReader::new(out), &mut line)?;
    Ok((Process(child), line.trim().parse()?))
}

fn text(class: &str, id: u64) -> String {
    let (method, more, body) = match class {
        "log-upload" => {
            ("POST", format!("Idempotency-Key: {id:032x}\r\nContent-Length: 4\r\n"), "four")
        }
        "qsl-order" => ("POST", "Content-Length: 4\r\n".to_owned(), "four"),
        _ => ("GET", String::new(), ""),
    };
    format!(
        "{method} /{class}/1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id:016x}\r\n\
         X-Account: {}\r\nX-Time-Left-Ms: 700\r\n{more}\r\n{body}",
        World::tenants()[0]
    )
}

/// Times in microseconds of requests in closed loops on so many connections, a gap apart.
async fn drive(at: SocketAddr, class: &'static str, conns: u64, gap: Duration) -> Vec<u64> {
    let all = Rc::new(RefCell::new(Vec::new()));
    let end = Instant::now() + SPAN;
    let loops: Vec<_> = (0..conns)
        .map(|n| {
            let all = all.clone();
            tokio::task::spawn_local(async move {
                let Ok(socket) = TcpStream::connect(at).await else { return };
                let _ = socket.set_nodelay(true);
                let mut reader = Reader::new(socket);
                tokio::time::sleep(gap.mul_f64(n as f64 / conns as f64)).await;
                while Instant::now() < end {
                    let id = next_id();
                    let began = Instant::now();
                    let sent = reader.get_mut().write_all(text(class, id).as_bytes()).await;
                    match reader.next().await {
                        Ok(Some(m)) if sent.is_ok() && m.status() == Some(200) => {}
                        other => {
                            eprintln!("{class}: {:?}", other.map(|m| m.and_then(|m| m.status())));
                            return;
                        }
                    }
                    all.borrow_mut().push(began.elapsed().as_micros() as u64);
                    if !gap.is_zero() {
                        tokio::time::sleep(gap).await;
                    }
                }
            })
        })
        .collect();
    for one in loops {
        let _ = one.await;
    }
    let mut all = all.take();
    all.sort_unstable();
    all
}

/// An id that was not used before.
fn next_id() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    u64::from(std::process::id()) << 32 | NEXT.fetch_add(1, Ordering::Relaxed)
}

fn at(sorted: &[u64], q: f64) -> f64 {
    let at = ((sorted.len() as f64 * q) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(at).map_or(f64::NAN, |us| *us as f64 / 1000.0)
}

async fn measure() -> Result<(), Error> {
    let program = built("lb-sidecar", false).map_err(|e| e.to_string())?;
    let mut echoes = Vec::new();
    for _ in 0..3 {
        echoes.push(part(&["echo"])?);
    }
    let (bare, bare_at) = part(&["pass", &echoes[0].1.to_string()])?;
    let registry =
        Registry::open(echoes.iter().map(|(_, at)| Entry::new(*at, "utrecht")).collect()).await?;
    let folder = Folder::new("hop");
    let free = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
    let mut settings = settings(&classes(1.0));
    settings["me"] = json!(0);
    settings["instances"] = json!(1);
    settings["zone"] = json!(0);
    let config = json!({
        "name": "hop", "listen": free.to_string(), "discovery": registry.at.to_string(),
        "seed": "00000000000000a7", "settings": settings,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
    });
    let path = folder.path().join("config.json");
    std::fs::write(&path, config.to_string())?;
    let sidecar = Command::new(program).env("LB_CONFIG", &path).stderr(Stdio::null()).spawn()?;
    let sidecar = Process(sidecar);
    for _ in 0..500 {
        let ready = async {
            let mut reader = Reader::new(TcpStream::connect(free).await.ok()?);
            reader.get_mut().write_all(b"GET /health/ready HTTP/1.1\r\n\r\n").await.ok()?;
            reader.next().await.ok()??.status()
        };
        if ready.await == Some(200) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    println!(
        "| class | gap | sidecar p50 | p99 | pass-through p50 | p99 |\n| --- | --- | --- | --- | --- | --- |"
    );
    for class in CLASSES {
        for gap in GAPS_MS {
            let gap = Duration::from_millis(gap);
            let (ours, bare) =
                (drive(free, class, 4, gap).await, drive(bare_at, class, 4, gap).await);
            println!(
                "| {class} | {gap:?} | {:.2} ms | {:.2} ms | {:.2} ms | {:.2} ms |",
                at(&ours, 0.5),
                at(&ours, 0.99),
                at(&bare, 0.5),
                at(&bare, 0.99)
            );
        }
    }
    println!(
        "\n| connections | sidecar | CPU a request | pass-through | CPU a request | CPU ratio |\n| --- | --- | --- | --- | --- | --- |"
    );
    for conns in [8, 64] {
        let mut row = Vec::new();
        for (process, to) in [(&sidecar, free), (&bare, bare_at)] {
            let cpu = || Host::costs(process.0.id()).map_or(0.0, |(_, cpu)| cpu);
            let before = cpu();
            let n = drive(to, "call-lookup", conns, Duration::ZERO).await.len() as f64;
            row.push((n / SPAN.as_secs_f64(), (cpu() - before) / n * 1e6));
        }
        println!(
            "| {conns} | {:.0}/s | {:.1} µs | {:.0}/s | {:.1} µs | {:.2} |",
            row[0].0,
            row[0].1,
            row[1].0,
            row[1].1,
            row[0].1 / row[1].1
        );
    }
    Ok(())
}
