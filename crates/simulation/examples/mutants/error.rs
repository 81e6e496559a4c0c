//! Errors of the mutation tool.

use std::io;
use std::path::PathBuf;

/// An error that ends the run of the mutants.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read, written or copied.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The file with the mutants cannot be parsed.
    #[error("mutants.toml: {0}")]
    Syntax(#[from] Box<toml::de::Error>),
    /// The text that a mutant replaces does not occur exactly once.
    #[error("mutant {mutant:?}: its text occurs {places} times in {}, expected once", .file.display())]
    Places {
        /// The name of the mutant.
        mutant: String,
        /// The number of occurrences.
        places: usize,
        /// The file that the mutant changes.
        file: PathBuf,
    },
    /// A program cannot be started.
    #[error("{program}: {source}")]
    Start {
        /// The program.
        program: String,
        /// The system's error.
        source: io::Error,
    },
    /// Cargo has failed, with this output.
    #[error("{0}")]
    Cargo(String),
    /// The last line of the output of the simulation or the soak has no count.
    #[error("the output ends without a count: {0:?}")]
    NoCount(String),
    /// A thread has panicked.
    #[error("a thread has panicked")]
    ThreadPanicked,
}

impl Error {
    /// Returns a function that adds the path of a file to an error of the system.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Error {
        let path = path.into();
        move |source| Error::File { path, source }
    }
}
