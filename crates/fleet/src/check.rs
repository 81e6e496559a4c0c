//! Has a program check the configurations that its instances would get.

use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use thiserror::Error;

use crate::atomic_file::write_atomically;
use crate::process::{ChildError, Process};
use crate::spec::{Spec, Template};
use crate::state_directory::StateDirectory;

/// The time within which a program must check one configuration.
const CHECK_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The check of a specification failed.
#[derive(Debug, Error)]
pub enum CheckError {
    /// The specification has no address for an instance.
    #[error("{slot}: no address")]
    NoAddress {
        /// The slot of the instance.
        slot: String,
    },
    /// The specification has no configuration for an instance.
    #[error("{slot}: no configuration")]
    NoConfiguration {
        /// The slot of the instance.
        slot: String,
    },
    /// A configuration file cannot be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The program cannot be started.
    #[error("failed to start the program: {0}")]
    Start(#[source] io::Error),
    /// The program was started, but no pidfd could be opened for it.
    #[error("{0}")]
    Observe(#[source] io::Error),
    /// The program did not exit in time.
    #[error("the program did not check its configuration in time")]
    Timeout,
    /// The program rejected a configuration.
    #[error(transparent)]
    Rejected(#[from] ChildError),
    /// The task of the check was cancelled or panicked.
    #[error("{0}")]
    Cancelled(#[from] tokio::task::JoinError),
}

/// Temporary files with the configurations to check, one per template. They are removed on drop.
pub(crate) struct CheckFiles(Vec<PathBuf>);

impl CheckFiles {
    /// Writes the configuration of the last instance of each template.
    pub(crate) fn write(directory: &StateDirectory, spec: &Spec) -> Result<CheckFiles, CheckError> {
        let mut files = CheckFiles(Vec::new());
        for template in spec.templates.iter().filter(|template| template.count > 0) {
            let path = directory.file(&format!("check-{}.json", template.name));
            write_configuration(spec, template, &path)?;
            files.0.push(path);
        }
        Ok(files)
    }

    /// Runs the check of a program on each file. Blocks until all are checked or one is rejected.
    pub(crate) fn check_with(&self, program: &Path) -> Result<(), CheckError> {
        self.0.iter().try_for_each(|file| check_file(program, file))
    }
}

impl Drop for CheckFiles {
    fn drop(&mut self) {
        for file in &self.0 {
            let _ = std::fs::remove_file(file);
        }
    }
}

fn write_configuration(spec: &Spec, template: &Template, path: &Path) -> Result<(), CheckError> {
    let slot = format!("{}-{}", template.name, template.count - 1);
    let Some(address) = spec.listen(&slot) else { return Err(CheckError::NoAddress { slot }) };
    let Some(configuration) = spec.configuration(&slot, 0, address, 0) else {
        return Err(CheckError::NoConfiguration { slot });
    };
    write_atomically(path, configuration.to_string().as_bytes())
        .map_err(|source| CheckError::Write { path: path.to_owned(), source })
}

fn check_file(program: &Path, file: &Path) -> Result<(), CheckError> {
    let mut command = Command::new(program);
    command.arg("check").arg(file).env_clear();
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    let child = command.spawn().map_err(CheckError::Start)?;
    let mut process = Process::from_child(child).map_err(CheckError::Observe)?;
    let deadline = Instant::now() + CHECK_TIMEOUT;
    while !process.has_ended() {
        if Instant::now() > deadline {
            process.signal(Signal::KILL);
            return Err(CheckError::Timeout);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(process.wait_for_success()?)
}
