//! Mutants: bugs that are put into the code to check that seeds, tests or the soak find them.

use std::fs;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::error::Error;
use crate::root;

/// The file with all mutants, relative to the root of the workspace.
const MUTANTS_FILE: &str = "crates/simulation/mutants.toml";

#[derive(Deserialize)]
struct MutantsFile {
    mutant: Vec<Mutant>,
}

/// A bug that is put into the code.
#[derive(Deserialize)]
pub struct Mutant {
    /// A description of the bug.
    pub name: String,
    #[serde(flatten)]
    edit: Edit,
    #[serde(default)]
    also: Vec<Edit>,
    /// The package whose tests have to find it; `None` if seeds of the simulation or of the soak have to.
    pub tests: Option<String>,
    /// The test of that package that has to find it; `None` if any may.
    pub test: Option<String>,
    /// Whether the seeds that have to find it hold up processes.
    #[serde(default)]
    hold_ups: bool,
    /// Whether the seeds that have to find it have rejections that do not prove that the request was not executed.
    #[serde(default)]
    broken_rejections: bool,
    /// Whether the seeds that have to find it have responses that are sent a second time.
    #[serde(default)]
    second_answers: bool,
    /// Whether the seeds that have to find it have responses that servers give piece by piece.
    #[serde(default)]
    slow_responses: bool,
    /// The range of seeds of the soak, `A..B`, one of which has to find it; `None` if the soak is not run.
    pub soak: Option<String>,
}

/// The replacement of a text that occurs once in a file.
#[derive(Deserialize)]
struct Edit {
    file: PathBuf,
    from: String,
    to: String,
}

/// Reads all mutants, and checks that each can be applied, so that a missing text is reported before the first mutant
/// is built.
pub fn load() -> Result<Vec<Mutant>, Error> {
    let text = fs::read_to_string(root().join(MUTANTS_FILE)).map_err(Error::file(MUTANTS_FILE))?;
    let MutantsFile { mutant: mutants } = toml::from_str(&text).map_err(Box::new)?;
    for mutant in &mutants {
        mutant.check()?;
    }
    Ok(mutants)
}

impl Mutant {
    fn edits(&self) -> impl Iterator<Item = &Edit> {
        std::iter::once(&self.edit).chain(&self.also)
    }

    /// Returns the options of the simulation for its seeds.
    pub fn seed_options(&self) -> &'static [&'static str] {
        match self {
            Mutant { hold_ups: true, .. } => &["--hold-ups"],
            Mutant { broken_rejections: true, .. } => &["--broken-rejections"],
            Mutant { second_answers: true, .. } => &["--second-answers"],
            Mutant { slow_responses: true, .. } => &["--slow-responses"],
            _ => &[],
        }
    }

    /// Checks that each text to be replaced occurs exactly once.
    fn check(&self) -> Result<(), Error> {
        for edit in self.edits() {
            let original =
                fs::read_to_string(root().join(&edit.file)).map_err(Error::file(&edit.file))?;
            let places = original.matches(&edit.from).count();
            if places != 1 {
                let (mutant, file) = (self.name.clone(), edit.file.clone());
                return Err(Error::Places { mutant, places, file });
            }
        }
        Ok(())
    }

    /// Applies it to a copy of the workspace.
    pub fn apply(&self, copy: &Path) -> Result<(), Error> {
        for edit in self.edits() {
            let path = copy.join(&edit.file);
            let before = fs::read_to_string(&path).map_err(Error::file(&path))?;
            let after = before.replacen(&edit.from, &edit.to, 1);
            fs::write(&path, after).map_err(Error::file(&path))?;
        }
        Ok(())
    }

    /// Restores the files that it has changed in a copy of the workspace.
    pub fn revert(&self, copy: &Path) -> Result<(), Error> {
        for edit in self.edits() {
            let path = copy.join(&edit.file);
            // The new text may also occur elsewhere in the file, so the file is copied from the original.
            let original =
                fs::read_to_string(root().join(&edit.file)).map_err(Error::file(&edit.file))?;
            fs::write(&path, original).map_err(Error::file(&path))?;
        }
        Ok(())
    }
}
