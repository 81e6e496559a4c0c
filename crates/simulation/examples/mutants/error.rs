//! Why mutants cannot be played.

use std::io;
use std::path::PathBuf;

/// Why mutants cannot be played.
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
    #[error("{mutant}: {places} places in {}", .file.display())]
    Places {
        /// The name of the mutant.
        mutant: String,
        /// How often the text occurs.
        places: usize,
        /// The file that the mutant is put into.
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
    /// Cargo has failed; this is its output.
    #[error("{0}")]
    Cargo(String),
    /// The last line of the tool's output has no count.
    #[error("no count in {0:?}")]
    NoCount(String),
    /// A thread has panicked.
    #[error("a thread has ended early")]
    ThreadPanicked,
}

impl Error {
    /// Adds the file to an error of the system.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Error {
        let path = path.into();
        move |source| Error::File { path, source }
    }
}
