//! Checks that the data which the daemon, its tools and the sidecars of version 0.2.0 stored and sent is
//! parsed, and serialized again unchanged. The fixtures were recorded from those programs and must not be
//! changed.

use std::collections::BTreeSet;
use std::fs;
use std::io::{BufRead, BufReader, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use fakes::program::Folder;
use fakes::until;
use fleet::control::{PendingRequest, Request, RequestError, send_request, serve};
use fleet::process::find_instances;
use fleet::spec::Spec;
use fleet::state::PersistentState;
use rustix::net::{
    AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketFlags, SocketType, bind, connect,
    listen, recvmsg, sendmsg, socket_with,
};
use serde_json::{Value, json};
use tokio::sync::mpsc;

fn fixtures(folder: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(folder)
}

fn fixture(folder: &str, name: &str) -> String {
    let path = fixtures(folder).join(name);
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

#[test]
fn recorded_states_are_read_and_written_unchanged() {
    for name in ["settled.json", "in-a-rollout.json", "in-an-upgrade.json"] {
        let recorded = fixture("ledger", name);
        let state: PersistentState = serde_json::from_str(&recorded).expect(name);
        assert_eq!(serde_json::to_string(&state).expect("JSON"), recorded, "{name}");
    }
}

#[test]
fn recorded_states_contain_every_stored_field() {
    let stored: Value =
        serde_json::from_str(&fixture("ledger", "in-a-rollout.json")).expect("JSON");
    assert_ne!(stored["target"], stored["base"]);
    assert!(stored["read"].is_object());
    assert_eq!(stored["drained"], json!(["eindhoven-0"]));
    assert_eq!(stored["generations"]["1"]["counts"], json!({"utrecht": 3}));
    assert!(stored["history"].as_array().is_some_and(|history| !history.is_empty()));
}

#[test]
fn state_without_fields_of_later_versions_is_read_with_their_defaults() {
    let mut stored: Value = serde_json::from_str(&fixture("ledger", "settled.json")).expect("JSON");
    let expected = stored.clone();
    for field in ["refusal_margin", "hung_after"] {
        let policy = stored["read"]["rules"].as_object_mut().expect("rules");
        assert!(policy.remove(field).is_some(), "{field}");
    }
    let state: PersistentState = serde_json::from_value(stored).expect("an earlier state");
    assert_eq!(serde_json::to_value(&state).expect("JSON"), expected);
}

/// Reads a recorded `fleet.toml`, with its program replaced by one that exists on this machine.
fn read_spec(name: &str) -> Value {
    let folder = Folder::new("compatibility");
    let program = folder.path().join("program");
    fs::write(&program, "").expect("a program");
    let lines = fixture("spec", name);
    let lines = lines.lines().map(|line| match line.strip_prefix("program =") {
        Some(_) => "program = \"program\"",
        None => line,
    });
    let text: Vec<&str> = lines.collect();
    fs::write(folder.path().join("fleet.toml"), text.join("\n")).expect("a file");
    fs::write(folder.path().join("settings.json"), fixture("spec", "settings.json"))
        .expect("a file");
    let spec = Spec::read(&folder.path().join("fleet.toml")).expect(name);
    let mut value = serde_json::to_value(&spec).expect("JSON");
    let found = program.canonicalize().expect("a program");
    assert_eq!(value["program"], json!(found));
    value["program"] = json!("program");
    value
}

#[test]
fn recorded_specifications_are_read_unchanged() {
    for name in ["sample", "all-keys", "rolling"] {
        let recorded = fixture("spec", &format!("{name}.json"));
        let recorded: Value = serde_json::from_str(&recorded).expect("JSON");
        let found = read_spec(&format!("{name}.toml"));
        assert_eq!(found, recorded, "{name}: {found}");
    }
}

/// Returns the names of all recorded exchanges on the control socket.
fn exchanges() -> BTreeSet<String> {
    let files = fs::read_dir(fixtures("control")).expect("the fixtures");
    let names = files.map(|file| file.expect("an entry").file_name());
    let names: Vec<String> = names.map(|name| name.to_string_lossy().into_owned()).collect();
    let exchange =
        |name: &String| Some(name.strip_prefix("request-")?.strip_suffix(".json")?.to_owned());
    names.iter().filter_map(exchange).collect()
}

#[test]
fn recorded_requests_cover_every_kind() {
    let mut kinds = BTreeSet::new();
    for name in exchanges().iter().filter(|name| *name != "unknown") {
        let recorded = fixture("control", &format!("request-{name}.json"));
        let request: Request = serde_json::from_str(&recorded).expect(name);
        assert_eq!(serde_json::to_string(&request).expect("JSON") + "\n", recorded, "{name}");
        let value: Value = serde_json::from_str(&recorded).expect("JSON");
        kinds.insert(value["do"].as_str().expect("a kind").to_owned());
    }
    let all = ["drain", "history", "reload", "restart", "rollback", "scale", "status", "upgrade"];
    assert_eq!(kinds.into_iter().collect::<Vec<_>>(), all);
}

/// Returns the error that the daemon answered in a recorded exchange.
fn recorded_error(exchange: &str) -> RequestError {
    match exchange {
        "drain-unknown-instance" => RequestError::UnknownSlot { slot: "nobody-9".to_owned() },
        "reload-in-a-rollout" => RequestError::RolloutInProgress { target: 2 },
        "rollback-without-a-rollout" | "rollback-of-an-upgrade" => RequestError::NoRollout,
        "scale-by-too-many" => {
            RequestError::TooManyInstances { name: "utrecht".to_owned(), max: 2000 }
        }
        "scale-of-an-unknown-template" => {
            RequestError::UnknownTemplate { name: "nobody".to_owned() }
        }
        other => panic!("{other}: no error was recorded"),
    }
}

#[test]
fn recorded_requests_are_served_with_the_recorded_responses() {
    let folder = Folder::new("compatibility");
    let path = folder.path().join("control.sock");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let (sender, mut requests) = mpsc::channel(1);
    runtime.block_on(async { serve(&path, sender).expect("a socket") });
    for name in exchanges() {
        let request = fixture("control", &format!("request-{name}.json"));
        let recorded = fixture("control", &format!("response-{name}.json"));
        let mut socket = UnixStream::connect(&path).expect("the daemon's socket");
        socket.write_all(request.as_bytes()).expect("sent");
        if name != "unknown" {
            let pending = runtime.block_on(requests.recv()).expect("a request");
            let PendingRequest { request: understood, reply } = pending;
            assert_eq!(serde_json::to_string(&understood).expect("JSON") + "\n", request);
            let response: Value = serde_json::from_str(&recorded).expect("JSON");
            let result = match response.get("error") {
                Some(_) => Err(recorded_error(&name)),
                None => Ok(serde_json::from_value(response["ok"].clone()).expect("a response")),
            };
            assert!(reply.send(result).is_ok(), "the control server waits for the reply");
        }
        let mut response = String::new();
        BufReader::new(socket).read_line(&mut response).expect("a response");
        assert_eq!(response, recorded, "{name}");
    }
}

#[test]
fn recorded_responses_are_understood_by_the_client() {
    for name in exchanges().iter().filter(|name| *name != "unknown") {
        let folder = Folder::new("compatibility");
        let socket = std::os::unix::net::UnixListener::bind(folder.path().join("control.sock"));
        let socket = socket.expect("a socket");
        let request = fixture("control", &format!("request-{name}.json"));
        let recorded = fixture("control", &format!("response-{name}.json"));
        let sent = recorded.clone();
        let daemon = std::thread::spawn(move || {
            let (mut connection, _) = socket.accept().expect("a client");
            let mut line = String::new();
            let reading = connection.try_clone().expect("a copy");
            BufReader::new(reading).read_line(&mut line).expect("a request");
            connection.write_all(sent.as_bytes()).expect("answered");
            line
        });
        let parsed: Request = serde_json::from_str(&request).expect("a request");
        let result = send_request(folder.path(), &parsed);
        assert_eq!(daemon.join().expect("the daemon"), request, "{name}");
        let result = match result {
            Ok(value) => json!({"ok": value}),
            Err(reason) => json!({"error": reason.to_string()}),
        };
        assert_eq!(result.to_string() + "\n", recorded, "{name}");
    }
}

/// Connects to the socket holder.
fn connect_to_holder(path: &Path) -> OwnedFd {
    let connection =
        socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)
            .expect("a socket");
    connect(&connection, &SocketAddrUnix::new(path).expect("an address")).expect("connected");
    connection
}

fn send(to: &OwnedFd, text: &str, descriptor: Option<BorrowedFd<'_>>) {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !descriptor.as_slice().is_empty() {
        assert!(ancillary.push(SendAncillaryMessage::ScmRights(descriptor.as_slice())));
    }
    sendmsg(to, &[IoSlice::new(text.as_bytes())], &mut ancillary, SendFlags::empty())
        .expect("sent");
}

fn receive(from: &OwnedFd) -> (String, Option<OwnedFd>) {
    let mut text = [0; 300];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut into = [IoSliceMut::new(&mut text)];
    let got = recvmsg(from, &mut into, &mut ancillary, RecvFlags::CMSG_CLOEXEC).expect("received");
    let descriptor = ancillary.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    (String::from_utf8_lossy(&text[..got.bytes]).into_owned(), descriptor)
}

/// The socket holder outlives the daemon, so a daemon of another version may connect to it.
#[test]
fn messages_to_the_socket_holder_are_unchanged() {
    let folder = Folder::new("compatibility");
    let path = folder.path().join("holder.sock");
    let socket =
        socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)
            .expect("a socket");
    bind(&socket, &SocketAddrUnix::new(&path).expect("an address")).expect("bound");
    listen(&socket, 4).expect("listening");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lb-fleet"));
    command.arg("hold").env_clear().stdin(socket).stdout(Stdio::null());
    let mut process = command.spawn().expect("the holder process starts");

    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let daemon = connect_to_holder(&path);
    assert_eq!(receive(&daemon).0, ".");
    send(&daemon, "+utrecht-0|127.0.0.1:0", Some(listener.as_fd()));
    drop(daemon);
    let daemon = connect_to_holder(&path);
    let (name, descriptor) = receive(&daemon);
    assert_eq!(name, "utrecht-0|127.0.0.1:0");
    let kept = TcpListener::from(descriptor.expect("a listener"));
    assert_eq!(kept.local_addr().expect("bound"), listener.local_addr().expect("bound"));
    assert_eq!(receive(&daemon).0, ".");
    send(&daemon, "-utrecht-0|127.0.0.1:0", None);
    drop(daemon);
    let daemon = connect_to_holder(&path);
    assert_eq!(receive(&daemon).0, ".");
    send(&daemon, "!", None);
    assert!(process.wait().expect("a child").success());
}

/// A daemon finds the instances that a previous daemon started by a variable in their environment.
#[test]
fn instances_started_by_a_previous_daemon_are_found() {
    let folder = Folder::new("compatibility");
    let identity = format!("{}|utrecht-0|3|2", folder.path().display());
    for variable in ["LB_FLEET", "PLANKVALE_FLEET"] {
        let mut command = Command::new("sleep");
        let mut child =
            command.arg("600").env(variable, &identity).spawn().expect("`sleep` starts");
        until("the instance is found", || find_instances(folder.path()).len() == 1);
        let (identity, process) = find_instances(folder.path()).remove(0);
        assert_eq!(
            (identity.slot.as_str(), identity.generation, identity.program_id),
            ("utrecht-0", 3, 2)
        );
        assert_eq!(process.pid, child.id());
        child.kill().and_then(|()| child.wait()).expect("a child of ours");
    }
}
