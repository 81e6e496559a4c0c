//! Signals of the process.
//!
//! A signal sets a flag and wakes the event loop through a pipe. The pipe may fail as any other descriptor may: a
//! write that is interrupted in the handler loses the wake-up, though not the flag, so the flags are looked at now
//! and then as well.

use std::fmt;
use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGCHLD, SIGHUP, SIGINT, SIGTERM, SIGUSR2};
use signal_hook::{flag, low_level::pipe};
use tokio::net::UnixStream;

/// The time within which a signal is noticed whose wake-up was lost.
const FLAG_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How many wake-ups are read at once.
const WAKE_UP_BUFFER: usize = 64;

/// A signal that can be listened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM.
    Terminate,
    /// SIGINT.
    Interrupt,
    /// SIGHUP.
    HangUp,
    /// SIGUSR2.
    UserDefined2,
    /// SIGCHLD.
    Child,
}

impl Signal {
    fn number(self) -> i32 {
        match self {
            Signal::Terminate => SIGTERM,
            Signal::Interrupt => SIGINT,
            Signal::HangUp => SIGHUP,
            Signal::UserDefined2 => SIGUSR2,
            Signal::Child => SIGCHLD,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Signal::Terminate => "SIGTERM",
            Signal::Interrupt => "SIGINT",
            Signal::HangUp => "SIGHUP",
            Signal::UserDefined2 => "SIGUSR2",
            Signal::Child => "SIGCHLD",
        }
    }
}

/// A signal cannot be listened for.
#[derive(Debug)]
pub struct SignalError {
    /// What the error is about.
    name: &'static str,
    /// What the system says.
    source: io::Error,
}

impl fmt::Display for SignalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.name, self.source)
    }
}

impl std::error::Error for SignalError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}

/// Receives signals. Until they are listened for, most of them end the process.
pub struct SignalReceiver {
    received: Vec<(Signal, Arc<AtomicBool>)>,
    wake_ups: UnixStream,
}

impl SignalReceiver {
    /// Listens for these signals, for the rest of the life of the process. To be called within a tokio runtime. If
    /// several have come, they are reported in this order.
    ///
    /// # Errors
    ///
    /// The signal that cannot be listened for.
    pub fn register(signals: &[Signal]) -> Result<SignalReceiver, SignalError> {
        let pipe_error = |source| SignalError { name: "pipe of signals", source };
        let (reader, writer) = StdUnixStream::pair().map_err(pipe_error)?;
        reader.set_nonblocking(true).map_err(pipe_error)?;
        let received: Vec<_> =
            signals.iter().map(|&signal| (signal, Arc::new(AtomicBool::new(false)))).collect();
        for (signal, flag) in &received {
            let error = |source| SignalError { name: signal.name(), source };
            // The flag is set before the wake-up is written: actions run in the order of their registration.
            flag::register(signal.number(), flag.clone()).map_err(error)?;
            let writer = writer.try_clone().map_err(error)?;
            pipe::register(signal.number(), writer).map_err(error)?;
        }
        let wake_ups = UnixStream::from_std(reader).map_err(pipe_error)?;
        Ok(SignalReceiver { received, wake_ups })
    }

    /// The next signal. Several of one kind that have come since the last call are one.
    pub async fn next(&mut self) -> Signal {
        loop {
            if let Some(signal) = self.take_received() {
                return signal;
            }
            tokio::select! {
                biased;
                readable = self.wake_ups.readable() => self.discard_wake_ups(readable.is_ok()).await,
                () = tokio::time::sleep(FLAG_POLL_INTERVAL) => {}
            }
        }
    }

    fn take_received(&self) -> Option<Signal> {
        let mut received = self.received.iter();
        received.find(|(_, flag)| flag.swap(false, Ordering::SeqCst)).map(|(signal, _)| *signal)
    }

    /// Empties the pipe. Where that fails, the flags tell what has come.
    async fn discard_wake_ups(&self, readable: bool) {
        let mut buffer = [0; WAKE_UP_BUFFER];
        loop {
            match self.wake_ups.try_read(&mut buffer) {
                Ok(read) if read > 0 && readable => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The pipe has ended or is broken, and would be readable for ever.
                _ => return tokio::time::sleep(FLAG_POLL_INTERVAL).await,
            }
        }
    }
}
