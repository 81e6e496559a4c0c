//! Tests of the relays with real sockets, and of the process guard with real processes.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use fakes::{runtime, until};
use fault_injection::gossip_relay::GossipRelay;
use fault_injection::links::{ActiveFault, Impairment, Links, Node};
use fault_injection::network::Network;
use fault_injection::relay::Relay;

const ME: Node = Node::Sidecar(0);
const SERVER: Node = Node::Server(0);
const CUT: Impairment = Impairment {
    cut: true,
    delay: Duration::ZERO,
    jitter: Duration::ZERO,
    loss: 0.0,
    duplicate: 0.0,
    reorder: 0.0,
    corrupt: 0.0,
    rate: 0,
};
/// The time for which nothing must arrive when nothing is expected.
const QUIET: Duration = Duration::from_millis(400);

fn network() -> Network {
    Network::new(Links::default(), 1)
}

fn inject(network: &Network, from: Node, to: Node, impairment: Impairment) {
    let (from, to) = ([from].into(), [to].into());
    let fault = ActiveFault { fault: 0, from, to, both_directions: false, impairment };
    network.update(|links| links.inject(fault));
}

/// Starts a relay to a server that echoes the data it receives.
fn echo(network: &Network) -> Relay {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    network.set_address(SERVER, listener.local_addr().expect("an address"));
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

fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).expect("a connection");
    socket.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
    socket
}

fn echoed(socket: &mut TcpStream, text: &[u8]) -> Vec<u8> {
    socket.write_all(text).expect("written");
    let mut got = vec![0; text.len()];
    socket.read_exact(&mut got).expect("an echo");
    got
}

#[test]
fn cut_link_holds_data_and_connections_until_it_heals() {
    let network = network();
    let relay = echo(&network);
    let mut open = connect(relay.address);
    assert_eq!(echoed(&mut open, b"before"), b"before");
    // Only one direction is cut: the server's data is held back, the client's is not.
    inject(&network, SERVER, ME, CUT);
    open.write_all(b"during").expect("written");
    open.set_read_timeout(Some(QUIET)).expect("set");
    let silent = open.read(&mut [0; 64]).expect_err("neither data nor a reset passes the cut");
    assert_eq!(silent.kind(), ErrorKind::WouldBlock);
    // Connections may still be established until the relay has filled its backlog.
    until("no new connections", || TcpStream::connect_timeout(&relay.address, QUIET).is_err());
    network.update(|links| links.clear(0));
    let mut got = [0; 6];
    open.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
    open.read_exact(&mut got).expect("the data that was held back");
    assert_eq!(&got, b"during");
    assert_eq!(echoed(&mut connect(relay.address), b"after"), b"after");
}

#[test]
fn connections_to_a_server_that_is_down_are_refused_until_it_is_back() {
    let network = network();
    let relay = echo(&network);
    assert_eq!(echoed(&mut connect(relay.address), b"before"), b"before");
    network.update(|links| links.take_down(SERVER));
    until("connections are refused", || {
        TcpStream::connect(relay.address).is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
    });
    let taken = TcpListener::bind(relay.address).expect_err("another run must not get its port");
    assert_eq!(taken.kind(), ErrorKind::AddrInUse);
    network.update(|links| links.bring_up(SERVER));
    until("connections are accepted", || TcpStream::connect(relay.address).is_ok());
    assert_eq!(echoed(&mut connect(relay.address), b"after"), b"after");
}

#[test]
fn resets_and_ends_of_connections_are_forwarded() {
    let network = network();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    network.set_address(SERVER, listener.local_addr().expect("an address"));
    let relay = runtime().block_on(Relay::start(network, ME, SERVER)).expect("a relay");
    let mut near = connect(relay.address);
    let (far, _) = listener.accept().expect("a connection");
    socket2::SockRef::from(&far).set_linger(Some(Duration::ZERO)).expect("set");
    drop(far);
    let error = near.read(&mut [0; 9]).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    let mut near = connect(relay.address);
    let (far, _) = listener.accept().expect("a connection");
    drop(far);
    assert_eq!(near.read(&mut [0; 9]).expect("an end"), 0);
}

#[test]
fn delays_apply_to_both_directions_and_keep_the_order() {
    let network = network();
    let impairment = Impairment {
        delay: Duration::from_millis(50),
        jitter: Duration::from_millis(50),
        ..Impairment::default()
    };
    inject(&network, ME, SERVER, impairment);
    inject(&network, SERVER, ME, impairment);
    let relay = echo(&network);
    let mut socket = connect(relay.address);
    let started = Instant::now();
    assert_eq!(echoed(&mut socket, b"x"), b"x");
    assert!(started.elapsed() >= Duration::from_millis(100));
    let text: Vec<u8> = (0..60).collect();
    for byte in &text {
        socket.write_all(&[*byte]).expect("written");
        std::thread::sleep(Duration::from_millis(1));
    }
    let mut got = vec![0; text.len()];
    socket.read_exact(&mut got).expect("all bytes are echoed");
    assert_eq!(got, text);
}

fn sidecar() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
    socket
}

#[test]
fn gossip_comes_from_its_senders_address_and_not_over_a_cut_link() {
    let network = network();
    let all: Vec<UdpSocket> = (0..3).map(|_| sidecar()).collect();
    let addresses = all.iter().map(|s| s.local_addr().expect("an address")).collect();
    let relay = runtime().block_on(GossipRelay::start(network.clone(), addresses)).expect("relays");
    let receive = |who: usize| {
        let mut buf = [0; 300];
        let (n, from) = all[who].recv_from(&mut buf).expect("a datagram");
        (buf[..n].to_vec(), from)
    };
    all[0].send_to(b"to one", relay.peers[1]).expect("sent");
    assert_eq!(receive(1), (b"to one".to_vec(), relay.peers[0]));
    inject(&network, ME, Node::Sidecar(1), CUT);
    all[0].send_to(b"to all", relay.broadcast).expect("sent");
    assert_eq!(receive(2), (b"to all".to_vec(), relay.peers[0]));
    // The other direction is not cut.
    all[1].send_to(b"back", relay.peers[0]).expect("sent");
    assert_eq!(receive(0), (b"back".to_vec(), relay.peers[1]));
    all[1].set_read_timeout(Some(QUIET)).expect("set");
    assert!(all[1].recv(&mut [0; 9]).is_err(), "nothing over the cut link");
    all[0].set_read_timeout(Some(QUIET)).expect("set");
    assert!(all[0].recv(&mut [0; 9]).is_err(), "no datagram comes back to its sender");
    let counts = relay.counts();
    assert_eq!((counts.sent, counts.delivered, counts.bytes), (4, 3, 16));
    // Datagrams of unknown senders are ignored.
    sidecar().send_to(b"hello", relay.peers[0]).expect("sent");
    assert!(all[0].recv(&mut [0; 9]).is_err());
}

#[test]
fn datagrams_are_reordered_and_duplicated() {
    let network = network();
    let all: Vec<UdpSocket> = (0..2).map(|_| sidecar()).collect();
    let addresses = all.iter().map(|s| s.local_addr().expect("an address")).collect();
    let relay = runtime().block_on(GossipRelay::start(network.clone(), addresses)).expect("relays");
    inject(
        &network,
        ME,
        Node::Sidecar(1),
        Impairment { duplicate: 1.0, reorder: 0.5, ..Impairment::default() },
    );
    for n in 0..40 {
        all[0].send_to(&[n], relay.peers[1]).expect("sent");
    }
    let mut got = Vec::new();
    for _ in 0..80 {
        let mut buf = [0; 9];
        all[1].recv(&mut buf).expect("a datagram");
        got.push(buf[0]);
    }
    assert!(!got.is_sorted(), "some are reordered");
    got.sort_unstable();
    assert!((0..40).all(|n| got[usize::from(n) * 2..][..2] == [n, n]), "{got:?}");
}

#[test]
fn guarded_process_ends_with_its_parent() {
    let guard = env!("CARGO_BIN_EXE_lb-process-guard");
    // A shell that starts the guard, prints its process id, and is killed.
    let script = format!("{guard} $$ sleep 600 & echo $!; wait");
    let mut shell =
        Command::new("sh").args(["-c", &script]).stdout(Stdio::piped()).spawn().expect("a shell");
    let mut line = String::new();
    let mut out = std::io::BufReader::new(shell.stdout.take().expect("a pipe"));
    std::io::BufRead::read_line(&mut out, &mut line).expect("an id");
    let stat = format!("/proc/{}/stat", line.trim());
    let sleeps = || std::fs::read_to_string(&stat).is_ok_and(|s| s.contains("(sleep) S"));
    until("the guard runs the program", sleeps);
    shell.kill().expect("killed");
    shell.wait().expect("ended");
    until("the program ends", || {
        let state = std::fs::read_to_string(&stat).unwrap_or_default();
        state.is_empty() || state.contains(") Z ")
    });
}
