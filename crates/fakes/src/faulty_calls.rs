//! System calls of a program under test that fail now and then, and a wall clock that can be stepped.
//!
//! A small library, `shim/faulty_calls.c`, is compiled by the system's C compiler and loaded into the program
//! with `LD_PRELOAD`. The program itself is the one that is delivered.

use std::fmt::{self, Display, Formatter};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Arc, OnceLock};

use crate::program::directory;

/// The source of the library.
const SOURCE: &str = include_str!("../shim/faulty_calls.c");

/// How often calls fail, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultRates {
    /// The seed of everything that is drawn.
    pub seed: u32,
    /// `EINTR` from accepting, connecting, reading and writing.
    pub interrupted: u32,
    /// Reads and writes that transfer a part of what they could.
    pub short: u32,
    /// Accepting fails for the connection that waits: `ECONNABORTED`, `EPROTO`, `ENETDOWN`.
    pub aborted: u32,
    /// Accepting fails for want of something: `ENFILE`, `ENOBUFS`.
    pub accept: u32,
    /// No socket for an outgoing connection: `ENFILE`, `ENOBUFS`.
    pub socket: u32,
    /// Connecting fails: `EADDRNOTAVAIL`, `ENETUNREACH`, `ECONNREFUSED`, `EHOSTUNREACH`.
    pub connect: u32,
    /// Reading from an outgoing connection fails, for good: `ETIMEDOUT`, `EHOSTUNREACH`, `ECONNRESET`.
    pub broken: u32,
    /// Reading and writing fails for want of buffers: `ENOBUFS`, `ENOMEM`.
    pub memory: u32,
    /// The process is held up for 0.1 s before it shuts a connection down.
    pub hold: u32,
    /// The process is held up for 0.1 s once it has taken the events of `epoll_wait`.
    pub wait: u32,
    /// Opening, writing and syncing of files fails (`EIO`, `ENOSPC`) whose path contains a text that
    /// [`environment_for_files`] is given.
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

/// Why the library cannot be had.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ShimError {
    /// The compiler could not be run, or the library not be put in place.
    #[error("cc: {0}")]
    Io(Arc<io::Error>),
    /// The compiler reported a failure.
    #[error("cc could not compile the library of faulty calls")]
    Compiler,
}

impl From<io::Error> for ShimError {
    fn from(error: io::Error) -> ShimError {
        ShimError::Io(Arc::new(error))
    }
}

/// The path of the library, which is compiled once in the life of a process.
///
/// # Errors
///
/// When it cannot be compiled.
pub fn library() -> Result<PathBuf, ShimError> {
    static LIBRARY: OnceLock<Result<PathBuf, ShimError>> = OnceLock::new();
    LIBRARY.get_or_init(|| compile(&directory())).clone()
}

/// Compiles the library under a name of this process's own and renames it: several processes may do so at the
/// same time.
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

/// The variables that a program is started with for its calls to fail at these rates, and its wall clock to be
/// ahead by the number of seconds in the file `clock`.
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

/// The same for calls on the files whose path contains `text`.
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
