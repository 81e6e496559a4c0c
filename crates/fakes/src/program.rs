//! The programs of the workspace, for tests and tools that run them.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, OnceLock};

/// Why a program of the workspace cannot be had.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ProgramError {
    /// Cargo could not be started.
    #[error("cargo: {0}")]
    Cargo(Arc<io::Error>),
    /// Cargo ran, and reported a failure.
    #[error("cargo could not build the programs")]
    Build,
    /// There is no such program.
    #[error("{}: not there", path.display())]
    Missing {
        /// Where it was expected.
        path: PathBuf,
    },
}

/// The directory of the programs that belong to the build of the running test or tool.
///
/// # Panics
///
/// When the running program has no directory.
pub fn directory() -> PathBuf {
    let own_program = std::env::current_exe().expect("a running program has a path");
    let directory = own_program.parent().expect("a program lies in a directory");
    // Tests and examples lie one level below the programs.
    let below = directory.file_name().is_some_and(|n| n == "deps" || n == "examples");
    if below {
        directory.parent().expect("deps lies in a directory").to_owned()
    } else {
        directory.to_owned()
    }
}

/// The programs that hosts run, by package and name.
const PROGRAMS: [(&str, &str); 5] = [
    ("lb-sidecar", "lb-sidecar"),
    ("config-distribution", "lb-config"),
    ("fleet", "lb-fleet"),
    ("fault-injection", "lb-process-guard"),
    ("lbctl", "lbctl"),
];

/// The path of a program of the workspace. It is built in the profile of the running program if it is older than its
/// sources; without cargo, it is taken as it is. `progress` shows the build.
///
/// All programs are built by one call of cargo, once in the life of a process: their dependencies get the features
/// that all of them need together, so that cargo does not build the same crates again for another set of packages.
///
/// # Errors
///
/// When it cannot be built, or is not there.
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

/// The manifest of the workspace.
fn manifest() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml")
}

/// A temporary directory. Dropping it deletes it.
pub struct Folder(PathBuf);

impl Folder {
    /// A new directory; `what` is the beginning of its name.
    ///
    /// # Panics
    ///
    /// When it cannot be created.
    #[must_use]
    pub fn new(what: &str) -> Folder {
        use std::sync::atomic::{AtomicU64, Ordering};
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("{what}-{}-{n}", std::process::id()));
        // An earlier process with the same id may have left one of this name.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a temporary directory");
        Folder(path)
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
