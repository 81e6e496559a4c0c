//! Receives signals of the process.
//!
//! The signal handler sets a flag and wakes the event loop through a pipe. If its write to the pipe fails (it may be
//! interrupted, for example), the wake-up is lost but the flag stays set, so the flags are also
//! polled at regular intervals.

use std::fmt;
use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGCHLD, SIGHUP, SIGINT, SIGTERM, SIGUSR2};
use signal_hook::{flag, low_level::pipe};
use tokio::net::UnixStream;

/// The time between two checks of the flags, which bounds the delay of a signal whose wake-up was lost.
const FLAG_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The number of wake-ups read from the pipe at once; each is one byte.
const WAKE_UP_BUFFER_SIZE: usize = 64;

/// A signal that a [`SignalReceiver`] can receive.
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

/// A signal handler or its pipe could not be set up.
#[derive(Debug)]
pub struct SignalError {
    /// The name of the signal, or of the pipe.
    name: &'static str,
    /// The system's error.
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

/// Receives signals. Before a signal is registered, its default action applies, which is to end the process for most.
pub struct SignalReceiver {
    received: Vec<(Signal, Arc<AtomicBool>)>,
    wake_ups: UnixStream,
}

impl SignalReceiver {
    /// Installs handlers for these signals, which stay for the rest of the life of the process. Signals that are
    /// pending together are reported in the order of `signals`. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns the signal whose handler could not be installed, or the error of the pipe.
    pub fn register(signals: &[Signal]) -> Result<SignalReceiver, SignalError> {
        let pipe_error = |source| SignalError { name: "signal pipe", source };
        let (reader, writer) = StdUnixStream::pair().map_err(pipe_error)?;
        reader.set_nonblocking(true).map_err(pipe_error)?;
        let received: Vec<_> =
            signals.iter().map(|&signal| (signal, Arc::new(AtomicBool::new(false)))).collect();
        for (signal, flag) in &received {
            let error = |source| SignalError { name: signal.name(), source };
            // Actions run in the order of their registration, so the flag is set before the wake-up is written.
            flag::register(signal.number(), flag.clone()).map_err(error)?;
            let writer = writer.try_clone().map_err(error)?;
            pipe::register(signal.number(), writer).map_err(error)?;
        }
        let wake_ups = UnixStream::from_std(reader).map_err(pipe_error)?;
        Ok(SignalReceiver { received, wake_ups })
    }

    /// Waits for the next signal. Several signals of one kind since the last call are reported once.
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

    /// Empties the pipe. Errors are ignored, because the flags hold the received signals.
    async fn discard_wake_ups(&self, readable: bool) {
        let mut buffer = [0; WAKE_UP_BUFFER_SIZE];
        loop {
            match self.wake_ups.try_read(&mut buffer) {
                Ok(read) if read > 0 && readable => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // A closed or broken pipe stays readable forever; sleeping avoids a busy loop.
                _ => return tokio::time::sleep(FLAG_POLL_INTERVAL).await,
            }
        }
    }
}
