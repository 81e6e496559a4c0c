//! What the relays do to real sockets, and what the guard does to real processes.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use fakes::{runtime, until};
use fault_injection::links::{Laid, Links, Part, Shape};
use fault_injection::network::Network;
use fault_injection::notes::Notes;
use fault_injection::relay::Relay;

const ME: Part = Part::Sidecar(0);
const SERVER: Part = Part::Server(0);
const CUT: Shape = Shape {
    cut: true,
    delay: Duration::ZERO,
    jitter: Duration::ZERO,
    loss: 0.0,
    twice: 0.0,
    late: 0.0,
    spoilt: 0.0,
    rate: 0,
};
/// So long nothing comes where nothing should.
const QUIET: Duration = Duration::from_millis(400);

fn network() -> Network {
    Network::new(Links::default(), 1)
}

fn lay(network: &Network, from: Part, to: Part, shape: Shape) {
    let laid = Laid { fault: 0, from: [from].into(), to: [to].into(), both: false, shape };
    network.change(|links| links.lay(laid));
}

/// A server that sends back what comes, and a relay before it.
fn echo(network: &Network) -> Relay {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    network.place(SERVER, listener.local_addr().expect("an address"));
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut buf = [0; 64];
                while let Ok(n @ 1..) = socket.read(&mut buf) {
                    if socket.write_all(&buf[..n]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    runtime().block_on(Relay::start(network.clone(), ME, SERVER)).expect("a relay")
}

fn call(at: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(at).expect("it comes up");
    socket.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
    socket
}

fn back(socket: &mut TcpStream, text: &[u8]) -> Vec<u8> {
    socket.write_all(text).expect("written");
    let mut got = vec![0; text.len()];
    socket.read_exact(&mut got).expect("it comes back");
    got
}

#[test]
fn over_a_cut_way_nothing_passes_and_nothing_comes_up_and_all_goes_on_once_it_heals() {
    let network = network();
    let relay = echo(&network);
    let mut open = call(relay.at);
    assert_eq!(back(&mut open, b"before"), b"before");
    // One direction alone is cut: what the server says is held, and what it hears is not.
    lay(&network, SERVER, ME, CUT);
    open.write_all(b"during").expect("written");
    open.set_read_timeout(Some(QUIET)).expect("set");
    let silent = open.read(&mut [0; 64]).expect_err("nothing passes, not even a reset");
    assert_eq!(silent.kind(), ErrorKind::WouldBlock);
    // Until the relay has closed its backlog one may still come up.
    until("no connection comes up", || TcpStream::connect_timeout(&relay.at, QUIET).is_err());
    network.change(|links| links.lift(0));
    let mut got = [0; 6];
    open.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
    open.read_exact(&mut got).expect("what was held comes");
    assert_eq!(&got, b"during");
    assert_eq!(back(&mut call(relay.at), b"after"), b"after");
}

#[test]
fn at_a_dead_servers_address_connections_are_refused_and_served_again_when_it_is_back() {
    let network = network();
    let relay = echo(&network);
    assert_eq!(back(&mut call(relay.at), b"before"), b"before");
    network.change(|links| links.dead(SERVER, true));
    until("they are refused", || {
        TcpStream::connect(relay.at).is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
    });
    network.change(|links| links.dead(SERVER, false));
    until("they come up", || TcpStream::connect(relay.at).is_ok());
    assert_eq!(back(&mut call(relay.at), b"after"), b"after");
}

#[test]
fn a_reset_passes_as_a_reset_and_an_end_as_an_end() {
    let network = network();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    network.place(SERVER, listener.local_addr().expect("an address"));
    let relay = runtime().block_on(Relay::start(network, ME, SERVER)).expect("a relay");
    let mut near = call(relay.at);
    let (far, _) = listener.accept().expect("it comes");
    socket2::SockRef::from(&far).set_linger(Some(Duration::ZERO)).expect("set");
    drop(far);
    let error = near.read(&mut [0; 9]).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    let mut near = call(relay.at);
    let (far, _) = listener.accept().expect("it comes");
    drop(far);
    assert_eq!(near.read(&mut [0; 9]).expect("an end"), 0);
}

#[test]
fn a_delay_is_kept_both_ways_and_order_with_it() {
    let network = network();
    let shape = Shape {
        delay: Duration::from_millis(50),
        jitter: Duration::from_millis(50),
        ..Shape::default()
    };
    lay(&network, ME, SERVER, shape);
    lay(&network, SERVER, ME, shape);
    let relay = echo(&network);
    let mut socket = call(relay.at);
    let began = Instant::now();
    assert_eq!(back(&mut socket, b"x"), b"x");
    assert!(began.elapsed() >= Duration::from_millis(100));
    let text: Vec<u8> = (0..60).collect();
    for byte in &text {
        socket.write_all(&[*byte]).expect("written");
        std::thread::sleep(Duration::from_millis(1));
    }
    let mut got = vec![0; text.len()];
    socket.read_exact(&mut got).expect("all of it");
    assert_eq!(got, text);
}

fn sidecar() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
    socket
}

#[test]
fn notes_come_from_their_senders_address_and_over_a_cut_way_not_at_all() {
    let network = network();
    let all: Vec<UdpSocket> = (0..3).map(|_| sidecar()).collect();
    let ends = all.iter().map(|s| s.local_addr().expect("an address")).collect();
    let notes = runtime().block_on(Notes::start(network.clone(), ends)).expect("relays");
    let heard = |who: usize| {
        let mut buf = [0; 300];
        let (n, from) = all[who].recv_from(&mut buf).expect("a note");
        (buf[..n].to_vec(), from)
    };
    all[0].send_to(b"to one", notes.peers[1]).expect("sent");
    assert_eq!(heard(1), (b"to one".to_vec(), notes.peers[0]));
    lay(&network, ME, Part::Sidecar(1), CUT);
    all[0].send_to(b"to all", notes.all).expect("sent");
    assert_eq!(heard(2), (b"to all".to_vec(), notes.peers[0]));
    // The other direction is whole.
    all[1].send_to(b"back", notes.peers[0]).expect("sent");
    assert_eq!(heard(0), (b"back".to_vec(), notes.peers[1]));
    all[1].set_read_timeout(Some(QUIET)).expect("set");
    assert!(all[1].recv(&mut [0; 9]).is_err(), "it is deaf to the first");
    all[0].set_read_timeout(Some(QUIET)).expect("set");
    assert!(all[0].recv(&mut [0; 9]).is_err(), "nobody hears itself");
    let passed = notes.passed();
    assert_eq!((passed.sent, passed.arrived, passed.bytes), (4, 3, 16));
    // Strangers are passed over.
    sidecar().send_to(b"hello", notes.peers[0]).expect("sent");
    assert!(all[0].recv(&mut [0; 9]).is_err());
}

#[test]
fn late_notes_are_overtaken_and_doubled_ones_come_twice() {
    let network = network();
    let all: Vec<UdpSocket> = (0..2).map(|_| sidecar()).collect();
    let ends = all.iter().map(|s| s.local_addr().expect("an address")).collect();
    let notes = runtime().block_on(Notes::start(network.clone(), ends)).expect("relays");
    lay(&network, ME, Part::Sidecar(1), Shape { twice: 1.0, late: 0.5, ..Shape::default() });
    for n in 0..40 {
        all[0].send_to(&[n], notes.peers[1]).expect("sent");
    }
    let mut got = Vec::new();
    for _ in 0..80 {
        let mut buf = [0; 9];
        all[1].recv(&mut buf).expect("a note");
        got.push(buf[0]);
    }
    assert!(!got.is_sorted(), "some are overtaken");
    got.sort_unstable();
    assert!((0..40).all(|n| got[usize::from(n) * 2..][..2] == [n, n]), "{got:?}");
}

#[test]
fn what_the_guard_became_ends_with_who_started_it() {
    let guard = env!("CARGO_BIN_EXE_lb-process-guard");
    // A shell that starts the guard, tells its id, and is killed.
    let script = format!("{guard} $$ sleep 600 & echo $!; wait");
    let mut shell =
        Command::new("sh").args(["-c", &script]).stdout(Stdio::piped()).spawn().expect("a shell");
    let mut told = String::new();
    let mut out = std::io::BufReader::new(shell.stdout.take().expect("a pipe"));
    std::io::BufRead::read_line(&mut out, &mut told).expect("an id");
    let stat = format!("/proc/{}/stat", told.trim());
    let sleeps = || std::fs::read_to_string(&stat).is_ok_and(|s| s.contains("(sleep) S"));
    until("it became what it should", sleeps);
    shell.kill().expect("killed");
    shell.wait().expect("ended");
    until("it ended too", || {
        let state = std::fs::read_to_string(&stat).unwrap_or_default();
        state.is_empty() || state.contains(") Z ")
    });
}
