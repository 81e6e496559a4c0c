//! Locates and builds the programs of the workspace, for tests and tools that run them.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, OnceLock};

/// A program of the workspace could not be built or found.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ProgramError {
    /// Cargo could not be started.
    #[error("cargo: {0}")]
    Cargo(Arc<io::Error>),
    /// Cargo reported a failure.
    #[error("cargo could not build the programs")]
    Build,
    /// The program does not exist.
    #[error("{}: no such program", path.display())]
    Missing {
        /// The path at which it was expected.
        path: PathBuf,
    },
}

/// Returns the directory of the programs that were built together with the running test or tool.
///
/// # Panics
///
/// When the running program has no directory.
pub fn directory() -> PathBuf {
    let own_program = std::env::current_exe().expect("a running program has a path");
    let directory = own_program.parent().expect("a program lies in a directory");
    // Tests and examples are one level below the programs.
    let below = directory.file_name().is_some_and(|n| n == "deps" || n == "examples");
    if below {
        directory.parent().expect("deps lies in a directory").to_owned()
    } else {
        directory.to_owned()
    }
}

/// The programs that run on hosts, as pairs of package and name.
const PROGRAMS: [(&str, &str); 5] = [
    ("lb-sidecar", "lb-sidecar"),
    ("config-distribution", "lb-config"),
    ("fleet", "lb-fleet"),
    ("fault-injection", "lb-process-guard"),
    ("lbctl", "lbctl"),
];

/// Returns the path of a program of the workspace. If it is older than its sources, it is built in the profile of the
/// running program; without cargo, the existing program is used. `progress` shows the progress of the build.
///
/// All programs are built by one call of cargo, once per process: the features of their dependencies are then unified,
/// so that cargo does not build the same crates again for another set of packages.
///
/// # Errors
///
/// When the program cannot be built or does not exist.
pub fn built(name: &str, progress: bool) -> Result<PathBuf, ProgramError> {
    static BUILT: OnceLock<Result<(), ProgramError>> = OnceLock::new();
    let directory = directory();
    BUILT.get_or_init(|| build_all(&directory, progress)).clone()?;
    let path = directory.join(name);
    if path.is_file() { Ok(path) } else { Err(ProgramError::Missing { path }) }
}

fn build_all(directory: &Path, progress: bool) -> Result<(), ProgramError> {
    let (Some(cargo), Some(target)) = (std::env::var_os("CARGO"), directory.parent()) else {
        return Ok(());
    };
    let mut command = Command::new(cargo);
    command.args(["build", "--locked"]);
    for (package, name) in PROGRAMS {
        command.args(["--package", package, "--bin", name]);
    }
    command.arg("--manifest-path").arg(manifest());
    command.arg("--target-dir").arg(target);
    if directory.file_name().is_some_and(|n| n == "release") {
        command.arg("--release");
    }
    if progress {
        command.env("CARGO_TERM_PROGRESS_WHEN", "always").env("CARGO_TERM_PROGRESS_WIDTH", "79");
    } else {
        command.arg("--quiet");
    }
    let status = command.status().map_err(|e| ProgramError::Cargo(Arc::new(e)))?;
    if status.success() { Ok(()) } else { Err(ProgramError::Build) }
}

/// Returns the path of the workspace's manifest.
fn manifest() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml")
}

/// A temporary directory. It is deleted when dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates a directory whose name begins with `what`.
    ///
    /// # Panics
    ///
    /// When the directory cannot be created.
    #[must_use]
    pub fn new(what: &str) -> Folder {
        use std::sync::atomic::{AtomicU64, Ordering};
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("{what}-{}-{n}", std::process::id()));
        // An earlier process with the same id may have left a directory of this name.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a temporary directory");
        Folder(path)
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
