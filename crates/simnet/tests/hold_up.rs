//! Tests of the order in which tasks see timers and input after a hold-up.

use std::cell::RefCell;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use runtime::{Listener, Runtime, Tcp, expiry};
use simnet::{HostFailure, HostId, Options, SimListener, SimRuntime, SimTcp, World};
use tokio::io::ReadBuf;

const PORT: u16 = 80;
const HELD_UP_AT: Duration = Duration::from_millis(100);
const HELD_UP_FOR: Duration = Duration::from_millis(150);
const END: Duration = Duration::from_secs(1);

/// The observations of tasks, each with the virtual time in milliseconds.
type Observations = Rc<RefCell<Vec<(&'static str, u128)>>>;

struct Fixture {
    world: World,
    server: HostId,
    client: HostId,
    observations: Observations,
}

fn ip(last: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, last).into()
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Fixture {
    fn new() -> Fixture {
        let world = World::new(1, Options::default());
        let (server, client) = (world.add_host(ip(1)), world.add_host(ip(2)));
        Fixture { world, server, client, observations: Observations::default() }
    }

    /// Returns a function that records an observation under the given name.
    fn recorder(&self) -> impl Fn(&'static str) + 'static {
        let (observations, start) = (self.observations.clone(), self.world.instant());
        move |name| {
            observations.borrow_mut().push((name, SimRuntime::elapsed_since(start).as_millis()))
        }
    }

    /// Spawns a task on the server that accepts one connection and hands it to `serve`.
    fn serve<F: Future<Output = ()>>(&self, serve: impl FnOnce(Rc<SimTcp>) -> F + 'static) {
        let address = SocketAddr::new(ip(1), PORT);
        self.world.spawn(self.server, async move {
            let listener = SimListener::bind(address, 8).expect("a free port");
            let (socket, _) = listener.accept().await.expect("a connection");
            serve(Rc::new(socket)).await;
        });
    }

    /// Spawns a client that connects after `connects_after` and writes after `writes_after`.
    fn client(&self, connects_after: Duration, writes_after: Duration) {
        self.world.spawn(self.client, async move {
            SimRuntime::sleep(connects_after).await;
            let socket = SimRuntime::connect(SocketAddr::new(ip(1), PORT)).await;
            let socket = socket.expect("accepted");
            SimRuntime::sleep(writes_after.saturating_sub(connects_after)).await;
            socket.try_write(b"request").expect("written");
            SimRuntime::sleep(END).await;
        });
    }

    /// Runs the world to the end, with a hold-up of the server. Returns the observations.
    fn run(&self) -> Vec<(&'static str, u128)> {
        let no_check = || Ok::<(), std::convert::Infallible>(());
        let _ = self.world.run_until(HELD_UP_AT, no_check);
        self.world.hold_up(self.server, HELD_UP_FOR);
        let _ = self.world.run_until(END, no_check);
        self.observations.take()
    }
}

/// Waits until bytes or the end of the stream were read.
async fn read(socket: &SimTcp) {
    let mut buffer = [0; 16];
    loop {
        let ready = std::future::poll_fn(|cx| socket.poll_read_ready(cx)).await;
        ready.expect("a connection");
        if socket.try_read_buf(&mut ReadBuf::new(&mut buffer)).is_ok() {
            return;
        }
    }
}

#[test]
fn held_up_host_runs_no_tasks_while_other_hosts_do() {
    let fixture = Fixture::new();
    for (host, name) in [(fixture.server, "held up"), (fixture.client, "runs")] {
        let record = fixture.recorder();
        fixture.world.spawn(host, async move {
            SimRuntime::sleep(HELD_UP_AT + ms(50)).await;
            record(name);
        });
    }
    assert_eq!(fixture.run(), [("runs", 150), ("held up", 250)]);
}

#[test]
fn timer_is_seen_before_input_that_arrived_earlier() {
    let fixture = Fixture::new();
    let record = fixture.recorder();
    fixture.serve(|socket| async move {
        let timer = SimRuntime::sleep(HELD_UP_AT + ms(100));
        tokio::select! {
            biased;
            () = read(&socket) => record("input"),
            () = timer => record(if socket.is_idle() { "timer" } else { "timer, input waits" }),
        }
        read(&socket).await;
        record("input");
    });
    fixture.client(ms(0), HELD_UP_AT + ms(20));
    assert_eq!(fixture.run(), [("timer, input waits", 250), ("input", 250)]);
}

#[test]
fn expiry_lets_input_that_arrived_earlier_be_seen_first() {
    let fixture = Fixture::new();
    let record = fixture.recorder();
    fixture.serve(|socket| async move {
        let deadline = SimRuntime::now() + HELD_UP_AT + ms(100);
        tokio::select! {
            biased;
            () = read(&socket) => record("input"),
            () = expiry::<SimRuntime>(deadline) => record("expired"),
        }
    });
    fixture.client(ms(0), HELD_UP_AT + ms(20));
    assert_eq!(fixture.run(), [("input", 250)]);
}

#[test]
fn connection_opened_during_a_hold_up_is_accepted_after_it() {
    let fixture = Fixture::new();
    let record = fixture.recorder();
    fixture.serve(|socket| async move {
        record("accepted");
        read(&socket).await;
        record("input");
    });
    fixture.client(HELD_UP_AT + ms(20), HELD_UP_AT + ms(30));
    assert_eq!(fixture.run(), [("accepted", 250), ("input", 250)]);
}

#[test]
fn process_started_after_a_kill_is_not_held_up() {
    let fixture = Fixture::new();
    let no_check = || Ok::<(), std::convert::Infallible>(());
    fixture.world.hold_up(fixture.server, END);
    fixture.world.kill(fixture.server, HostFailure::ProcessKilled);
    let record = fixture.recorder();
    fixture.world.spawn(fixture.server, async move { record("runs") });
    let _ = fixture.world.run_until(ms(1), no_check);
    assert_eq!(fixture.observations.take(), [("runs", 0)]);
}
