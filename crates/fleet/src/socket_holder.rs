//! The socket holder, a process that keeps copies of the listeners so that they outlive the daemon.
//!
//! It sends its listeners to each daemon that connects, and then applies the changes that the daemon
//! sends until it disconnects. Its Unix socket preserves message boundaries (`SOCK_SEQPACKET`); each
//! message concerns one listener, whose descriptor is passed as `SCM_RIGHTS` (unix(7)). The socket is in
//! the state directory, which only its owner can access. A holder of one version also serves daemons of
//! other versions, so the format of the messages must not change.

use std::collections::BTreeMap;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use rustix::net::{
    AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketFlags, SocketType, accept_with, bind,
    connect, listen, recvmsg, sendmsg, socket_with,
};

use crate::process::{Process, is_readable};

/// The length limit of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 257;
/// The largest number of listeners that the holder keeps.
const MAX_LISTENERS: usize = 4096;
/// The backlog of the holder's socket: daemons that wait to be served.
const BACKLOG: i32 = 4;
/// The prefix of a message to the holder to keep a listener. The name of the listener follows.
const KEEP: &str = "+";
/// The prefix of a message to the holder to close a listener. The name of the listener follows.
const RELEASE: &str = "-";
/// The message to the holder to exit.
const QUIT: &str = "!";
/// The message of the holder after it has sent all listeners.
const END_OF_LIST: &str = ".";

/// A message and the descriptor that was passed with it, if any.
struct Message {
    text: String,
    descriptor: Option<OwnedFd>,
}

fn unix_socket() -> io::Result<OwnedFd> {
    Ok(socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)?)
}

fn send(to: &OwnedFd, text: &str, descriptor: Option<BorrowedFd<'_>>) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let descriptors = descriptor.as_slice();
    if !descriptors.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(descriptors)) {
        return Err(io::ErrorKind::OutOfMemory.into());
    }
    let text = [IoSlice::new(text.as_bytes())];
    sendmsg(to, &text, &mut ancillary, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// Receives the next message. Returns `None` if the other side has closed the connection.
fn receive(from: &OwnedFd) -> io::Result<Option<Message>> {
    let mut text = [0; MAX_MESSAGE_BYTES];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut buffers = [IoSliceMut::new(&mut text)];
    let received = recvmsg(from, &mut buffers, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    let mut descriptor = None;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(descriptors) = message {
            descriptor = descriptors.into_iter().next();
        }
    }
    if received.bytes == 0 {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&text[..received.bytes]).into_owned();
    Ok(Some(Message { text, descriptor }))
}

/// Runs the holder. It serves one daemon after another on the listening socket that is its standard
/// input, until one tells it to exit.
///
/// # Errors
///
/// When accepting on the socket fails.
pub fn run() -> io::Result<()> {
    let socket = std::io::stdin().as_fd().try_clone_to_owned()?;
    let mut listeners: BTreeMap<String, OwnedFd> = BTreeMap::new();
    loop {
        let daemon = accept_with(&socket, SocketFlags::CLOEXEC)?;
        if send_listeners(&daemon, &listeners).is_err() {
            continue;
        }
        while let Ok(Some(message)) = receive(&daemon) {
            if message.text == QUIT {
                return Ok(());
            }
            apply(message, &mut listeners);
        }
    }
}

fn send_listeners(daemon: &OwnedFd, listeners: &BTreeMap<String, OwnedFd>) -> io::Result<()> {
    for (name, listener) in listeners {
        send(daemon, name, Some(listener.as_fd()))?;
    }
    send(daemon, END_OF_LIST, None)
}

fn apply(message: Message, listeners: &mut BTreeMap<String, OwnedFd>) {
    let Some((kind, name)) = message.text.split_at_checked(1) else { return };
    match (kind, message.descriptor) {
        (KEEP, Some(descriptor)) if listeners.len() < MAX_LISTENERS => {
            listeners.insert(name.to_owned(), descriptor);
        }
        (RELEASE, None) => {
            listeners.remove(name);
        }
        _ => {}
    }
}

/// Makes the holder at `path` exit, if there is one and it serves no daemon.
pub fn terminate(path: &Path) {
    if let Ok(connection) = connect_to(path) {
        let _ = send(&connection, QUIT, None);
    }
}

fn connect_to(path: &Path) -> io::Result<OwnedFd> {
    let address = SocketAddrUnix::new(path)?;
    let connection = unix_socket()?;
    connect(&connection, &address)?;
    Ok(connection)
}

/// The daemon's connection to the socket holder.
pub struct SocketHolder {
    path: PathBuf,
    connection: OwnedFd,
    /// The process of the holder, if this daemon started it.
    _process: Option<Process>,
}

impl SocketHolder {
    /// Connects to the holder at `path`, and receives its listeners, by their names. Starts a new holder
    /// if none accepts connections there.
    ///
    /// # Errors
    ///
    /// When no holder can be started, or receiving the listeners fails.
    pub fn open(path: &Path) -> io::Result<(SocketHolder, BTreeMap<String, OwnedFd>)> {
        let address = SocketAddrUnix::new(path)?;
        let connection = unix_socket()?;
        let mut process = None;
        if connect(&connection, &address).is_err() {
            process = Some(start(path, &address)?);
            connect(&connection, &address)?;
        }
        let mut listeners = BTreeMap::new();
        while let Some(Message { text, descriptor: Some(descriptor) }) = receive(&connection)? {
            listeners.insert(text, descriptor);
        }
        let holder = SocketHolder { path: path.to_owned(), connection, _process: process };
        Ok((holder, listeners))
    }

    /// Sends a copy of a listener to the holder.
    ///
    /// # Errors
    ///
    /// When the holder has ended.
    pub fn keep(&self, name: &str, listener: BorrowedFd<'_>) -> io::Result<()> {
        send(&self.connection, &format!("{KEEP}{name}"), Some(listener))
    }

    /// Makes the holder close its copy of a listener.
    ///
    /// # Errors
    ///
    /// When the holder has ended.
    pub fn release(&self, name: &str) -> io::Result<()> {
        send(&self.connection, &format!("{RELEASE}{name}"), None)
    }

    /// Whether the holder has ended. It sends nothing after its list of listeners, so the connection
    /// becomes readable only when it is closed.
    pub fn has_ended(&self) -> bool {
        is_readable(&self.connection)
    }

    /// Makes the holder exit, and removes its socket.
    pub fn quit(self) {
        let _ = send(&self.connection, QUIT, None);
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Starts a holder that listens at `path`.
fn start(path: &Path, address: &SocketAddrUnix) -> io::Result<Process> {
    let _ = std::fs::remove_file(path);
    let socket = unix_socket()?;
    bind(&socket, address)?;
    listen(&socket, BACKLOG)?;
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("hold").env_clear().stdin(socket).stdout(Stdio::null()).process_group(0);
    Process::from_child(command.spawn()?)
}
