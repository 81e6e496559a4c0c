//! Child processes of a scale test, which end with the process that started them.

use std::fs::File;
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use fakes::program::built;
use local_cluster::{Usage, process_usage, signal_process};
use rustix::process::Signal;

use crate::error::RunError;

/// A running process, which is killed when the handle is dropped.
pub(crate) struct Process {
    child: Child,
    /// The pipe to its standard input. `None` if that is no pipe.
    pub input: Option<ChildStdin>,
}

impl Process {
    /// Starts a command created by [`guarded`]. Returns the pipe of its standard output; its standard error is appended
    /// to the file `log`.
    pub fn start(mut command: Command, log: &Path) -> Result<(Process, ChildStdout), RunError> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut child = command.stdout(Stdio::piped()).stderr(log).spawn()?;
        let output = child.stdout.take().ok_or(RunError::NoPipe)?;
        Ok((Process { input: child.stdin.take(), child }, output))
    }

    /// Returns the resource usage so far, or zeros if the process has exited.
    pub fn usage(&self) -> Usage {
        process_usage(self.child.id()).unwrap_or_default()
    }

    /// Pauses the process (SIGSTOP).
    pub fn pause(&self) {
        signal_process(self.child.id(), Signal::STOP);
    }

    /// Resumes the process (SIGCONT).
    pub fn resume(&self) {
        signal_process(self.child.id(), Signal::CONT);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.input.take());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Creates a command that runs a program under the process guard, which kills it even if this process is killed.
pub(crate) fn guarded(program: &Path) -> Result<Command, RunError> {
    let mut command = Command::new(built("lb-process-guard", false)?);
    command.arg(std::process::id().to_string()).arg(program).stdin(Stdio::piped());
    command.env_remove("NOTIFY_SOCKET").env_remove("LB_LISTEN").env_remove("LB_NAME");
    Ok(command)
}
