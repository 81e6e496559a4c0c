//! The holder: a process that keeps copies of the listeners, so that they outlive the daemon. It
//! gives them to whoever connects (the state's folder is the owner's only), then takes what it is
//! handed. One message a listener, on a socket that keeps messages apart; descriptors go along as
//! `SCM_RIGHTS` (unix(7)).

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

use crate::process::Process;

/// The longest name of a listener.
const LONGEST: usize = 256;
/// The most listeners.
const MOST: usize = 4096;
/// Ends the list of what the holder has.
const END: &str = ".";
/// The holder is to end.
const QUIT: &str = "!";

fn unix_socket() -> io::Result<OwnedFd> {
    Ok(socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)?)
}

fn send(to: &OwnedFd, text: &str, fd: Option<BorrowedFd<'_>>) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let fds = fd.as_slice();
    if !fds.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(fds)) {
        return Err(io::ErrorKind::OutOfMemory.into());
    }
    let text = [IoSlice::new(text.as_bytes())];
    sendmsg(to, &text, &mut ancillary, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// The next message; none at the end.
fn receive(from: &OwnedFd) -> io::Result<Option<(String, Option<OwnedFd>)>> {
    let mut text = [0; LONGEST + 1];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut into = [IoSliceMut::new(&mut text)];
    let got = recvmsg(from, &mut into, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    let mut fd = None;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(fds) = message {
            fd = fds.into_iter().next();
        }
    }
    if got.bytes == 0 {
        return Ok(None);
    }
    let name = String::from_utf8_lossy(&text[..got.bytes]).into_owned();
    Ok(Some((name, fd)))
}

/// The holder itself: serves one daemon after another on the socket that it was started with, and
/// ends when told to.
///
/// # Errors
///
/// When its socket cannot be used any more.
pub fn run() -> io::Result<()> {
    let socket = std::io::stdin().as_fd().try_clone_to_owned()?;
    let mut held: BTreeMap<String, OwnedFd> = BTreeMap::new();
    loop {
        let daemon = accept_with(&socket, SocketFlags::CLOEXEC)?;
        let result = held.iter().try_for_each(|(name, fd)| send(&daemon, name, Some(fd.as_fd())));
        if result.and_then(|()| send(&daemon, END, None)).is_err() {
            continue;
        }
        while let Ok(Some((text, fd))) = receive(&daemon) {
            match (text.split_at_checked(1), fd) {
                (Some(("+", name)), Some(fd)) if held.len() < MOST => {
                    held.insert(name.to_owned(), fd);
                }
                (Some(("-", name)), None) => {
                    held.remove(name);
                }
                _ if text == QUIT => return Ok(()),
                _ => {}
            }
        }
    }
}

/// Ends the holder at `path`, if there is one that no daemon has.
pub fn end(path: &Path) {
    let result = SocketAddrUnix::new(path).and_then(|address| {
        let connection =
            socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)?;
        connect(&connection, &address)?;
        Ok(connection)
    });
    if let Ok(connection) = result {
        let _ = send(&connection, QUIT, None);
    }
}

/// The daemon's side.
pub struct Holder {
    path: PathBuf,
    connection: OwnedFd,
    /// Its process, if this daemon started it.
    _process: Option<Process>,
}

impl Holder {
    /// The holder at `path`, with what it has; a new one if none answers there.
    ///
    /// # Errors
    ///
    /// When none can be started.
    pub fn open(path: &Path) -> io::Result<(Holder, BTreeMap<String, OwnedFd>)> {
        let address = SocketAddrUnix::new(path)?;
        let connection = unix_socket()?;
        let found = connect(&connection, &address).is_ok();
        let mut process = None;
        if !found {
            let _ = std::fs::remove_file(path);
            let socket = unix_socket()?;
            bind(&socket, &address)?;
            listen(&socket, 4)?;
            let mut command = Command::new(std::env::current_exe()?);
            command.arg("hold").env_clear().stdin(socket).stdout(Stdio::null()).process_group(0);
            process = Some(Process::of_child(command.spawn()?)?);
            connect(&connection, &address)?;
        }
        let mut held = BTreeMap::new();
        while let Some((name, fd)) = receive(&connection)? {
            match fd {
                Some(fd) => drop(held.insert(name, fd)),
                None => break,
            }
        }
        Ok((Holder { path: path.to_owned(), connection, _process: process }, held))
    }

    /// Gives it a listener to keep.
    ///
    /// # Errors
    ///
    /// When it is gone.
    pub fn keep(&self, name: &str, fd: BorrowedFd<'_>) -> io::Result<()> {
        send(&self.connection, &format!("+{name}"), Some(fd))
    }

    /// It need not keep a listener any longer.
    ///
    /// # Errors
    ///
    /// When it is gone.
    pub fn drop(&self, name: &str) -> io::Result<()> {
        send(&self.connection, &format!("-{name}"), None)
    }

    /// Whether it is gone: it never says anything, but its end shows.
    pub fn gone(&self) -> bool {
        crate::process::readable(&self.connection)
    }

    /// Ends it.
    pub fn quit(self) {
        let _ = send(&self.connection, QUIT, None);
        let _ = std::fs::remove_file(&self.path);
    }
}
