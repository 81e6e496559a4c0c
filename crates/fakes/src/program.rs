//! The programs under test: built, found, started, and ended by their ids.

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
    /// There is no such program in the build's folder.
    #[error("{}: not there", path.display())]
    Missing {
        /// Where it was expected.
        path: PathBuf,
    },
}

/// The folder of the programs that belong to the build of the running test or tool.
///
/// # Panics
///
/// When the running program has no folder.
pub fn folder() -> PathBuf {
    let own = std::env::current_exe().expect("a running program has a path");
    let folder = own.parent().expect("a program lies in a folder");
    // Tests and examples lie one folder below the programs.
    let below = folder.file_name().is_some_and(|n| n == "deps" || n == "examples");
    if below {
        folder.parent().expect("deps lies in a folder").to_owned()
    } else {
        folder.to_owned()
    }
}

/// Every program that a host runs, as package and name.
const PROGRAMS: [(&str, &str); 5] = [
    ("lb-sidecar", "lb-sidecar"),
    ("config-distribution", "lb-config"),
    ("fleet", "lb-fleet"),
    ("fault-injection", "lb-process-guard"),
    ("lbctl", "lbctl"),
];

/// A program of the workspace, built in the same profile as the running one if it is older than
/// its sources. Without cargo at hand, as it is.
///
/// All are built in one call, once in the life of a process: cargo builds what they depend on with
/// the features that all of them together want, so that no other choice of packages makes it build
/// the same crates anew. While it builds it says what and how far, if `progress` is set.
///
/// # Errors
///
/// When it cannot be built, or is not there.
pub fn built(name: &str, progress: bool) -> Result<PathBuf, ProgramError> {
    static BUILT: OnceLock<Result<(), ProgramError>> = OnceLock::new();
    let folder = folder();
    BUILT.get_or_init(|| build_all(&folder, progress)).clone()?;
    let path = folder.join(name);
    if path.is_file() { Ok(path) } else { Err(ProgramError::Missing { path }) }
}

fn build_all(folder: &Path, progress: bool) -> Result<(), ProgramError> {
    let (Some(cargo), Some(target)) = (std::env::var_os("CARGO"), folder.parent()) else {
        return Ok(());
    };
    let mut command = Command::new(cargo);
    command.args(["build", "--locked"]);
    for (package, name) in PROGRAMS {
        command.args(["--package", package, "--bin", name]);
    }
    command.arg("--manifest-path").arg(manifest());
    command.arg("--target-dir").arg(target);
    if folder.file_name().is_some_and(|n| n == "release") {
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

/// The workspace's manifest.
fn manifest() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml")
}

/// A folder of its own that goes with its handle.
pub struct Folder(PathBuf);

impl Folder {
    /// A new one.
    ///
    /// # Panics
    ///
    /// When there is no room for it.
    #[must_use]
    pub fn new(what: &str) -> Folder {
        use std::sync::atomic::{AtomicU64, Ordering};
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("{what}-{}-{n}", std::process::id()));
        // One of this name was left by a process that had the same id before.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder of its own");
        Folder(path)
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
