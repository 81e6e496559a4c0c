//! Injects failures into the system calls of a program under test, and steps its wall clock.
//!
//! A small library, `shim/faulty_calls.c`, is compiled by the system's C compiler and loaded into the program
//! with `LD_PRELOAD`. The program itself is the unmodified release program.

use std::fmt::{self, Display, Formatter};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Arc, OnceLock};

use crate::program::directory;

/// The C source of the library.
const SOURCE: &str = include_str!("../shim/faulty_calls.c");

/// The failure rates of system calls, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultRates {
    /// The seed of all random choices.
    pub seed: u32,
    /// Accepting, connecting, reading and writing fail with `EINTR`.
    pub interrupted: u32,
    /// Reads and writes transfer fewer bytes than they could.
    pub short: u32,
    /// Accepting fails because of the pending connection: `ECONNABORTED`, `EPROTO`, `ENETDOWN`.
    pub aborted: u32,
    /// Accepting fails for lack of resources: `ENFILE`, `ENOBUFS`.
    pub accept: u32,
    /// Creating the socket of an outgoing connection fails: `ENFILE`, `ENOBUFS`.
    pub socket: u32,
    /// Connecting fails: `EADDRNOTAVAIL`, `ENETUNREACH`, `ECONNREFUSED`, `EHOSTUNREACH`.
    pub connect: u32,
    /// Reading from an outgoing connection fails, and the connection is unusable from then on: `ETIMEDOUT`,
    /// `EHOSTUNREACH`, `ECONNRESET`.
    pub broken: u32,
    /// Reading and writing fail for lack of buffers: `ENOBUFS`, `ENOMEM`.
    pub memory: u32,
    /// The process is held up for 0.1 s before it shuts a connection down.
    pub hold: u32,
    /// The process is held up for 0.1 s after `epoll_wait` has returned its events.
    pub wait: u32,
    /// Opening, writing and syncing fail (`EIO`, `ENOSPC`) for files whose path contains the text passed to
    /// [`environment_for_files`].
    pub file: u32,
}

impl Display for FaultRates {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let FaultRates {
            seed,
            interrupted,
            short,
            aborted,
            accept,
            socket,
            connect,
            broken,
            memory,
            hold,
            wait,
            file,
        } = self;
        write!(
            f,
            "seed={seed},interrupt={interrupted},short={short},abort={aborted},accept={accept},socket={socket},\
             connect={connect},break={broken},memory={memory},hold={hold},wait={wait},file={file}"
        )
    }
}

/// The library could not be built.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ShimError {
    /// The compiler could not be run, or the library could not be written.
    #[error("cc: {0}")]
    Io(Arc<io::Error>),
    /// The compiler reported a failure.
    #[error("cc failed to compile shim/faulty_calls.c")]
    Compiler,
}

impl From<io::Error> for ShimError {
    fn from(error: io::Error) -> ShimError {
        ShimError::Io(Arc::new(error))
    }
}

/// Returns the path of the library, which is compiled once per process.
///
/// # Errors
///
/// When the library cannot be compiled.
pub fn library() -> Result<PathBuf, ShimError> {
    static LIBRARY: OnceLock<Result<PathBuf, ShimError>> = OnceLock::new();
    LIBRARY.get_or_init(|| compile(&directory())).clone()
}

/// Compiles the library to a file name that is unique to this process and renames it, because several processes may
/// compile it at the same time.
fn compile(directory: &Path) -> Result<PathBuf, ShimError> {
    let library = directory.join("libfaulty_calls.so");
    let own = directory.join(format!("libfaulty_calls-{}.so", std::process::id()));
    let mut compiler = Command::new("cc")
        .args(["-O2", "-shared", "-fPIC", "-x", "c", "-", "-ldl", "-o"])
        .arg(&own)
        .stdin(Stdio::piped())
        .spawn()?;
    if let Some(mut input) = compiler.stdin.take() {
        input.write_all(SOURCE.as_bytes())?;
    }
    if !compiler.wait()?.success() {
        return Err(ShimError::Compiler);
    }
    std::fs::rename(&own, &library)?;
    Ok(library)
}

/// Returns the environment variables that make a program's calls fail at these rates, and set its wall clock ahead by
/// the number of seconds in the file `clock`.
///
/// # Errors
///
/// When the library cannot be compiled.
pub fn environment(
    rates: FaultRates,
    clock: Option<&Path>,
) -> Result<Vec<(&'static str, PathBuf)>, ShimError> {
    let mut variables =
        vec![("LD_PRELOAD", library()?), ("FAULTY_CALLS", rates.to_string().into())];
    variables.extend(clock.map(|clock| ("FAULTY_CLOCK", clock.to_owned())));
    Ok(variables)
}

/// Like [`environment`], without a clock file, and with faults on files whose path contains `text`.
///
/// # Errors
///
/// When the library cannot be compiled.
pub fn environment_for_files(
    rates: FaultRates,
    text: &str,
) -> Result<Vec<(&'static str, PathBuf)>, ShimError> {
    let mut variables = environment(rates, None)?;
    variables.push(("FAULTY_FILES", text.into()));
    Ok(variables)
}
