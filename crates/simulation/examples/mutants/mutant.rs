//! Mutants: bugs that are put into the code on purpose.

use std::fs;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::error::Error;
use crate::root;

/// The file with all mutants, from the root of the workspace.
const MUTANTS_FILE: &str = "crates/simulation/mutants.toml";

#[derive(Deserialize)]
struct MutantsFile {
    mutant: Vec<Mutant>,
}

/// A bug that is put into the code.
#[derive(Deserialize)]
pub struct Mutant {
    /// What it does.
    pub name: String,
    #[serde(flatten)]
    edit: Edit,
    #[serde(default)]
    also: Vec<Edit>,
    /// A package whose tests have to find it, in place of seeds.
    pub tests: Option<String>,
    /// The one test of that package that has to find it, if not any.
    pub test: Option<String>,
    /// The seeds of the simulation that have to find it hold processes up.
    #[serde(default)]
    hold_ups: bool,
    /// Servers of the seeds that have to find it reject requests in ways that prove nothing.
    #[serde(default)]
    broken_rejections: bool,
    /// Servers of the seeds that have to find it send answers a second time.
    #[serde(default)]
    second_answers: bool,
    /// Seeds of the soak, `A..B`, one of which has to find it, in place of seeds of the simulation.
    pub soak: Option<String>,
}

/// The replacement of a text that occurs once in a file.
#[derive(Deserialize)]
struct Edit {
    file: PathBuf,
    from: String,
    to: String,
}

/// Reads all mutants, and checks that each can be applied: a text that has moved shows before the first
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

    /// The options of the simulation with which its seeds are played.
    pub fn seed_options(&self) -> &'static [&'static str] {
        match self {
            Mutant { hold_ups: true, .. } => &["--hold-ups"],
            Mutant { broken_rejections: true, .. } => &["--broken-rejections"],
            Mutant { second_answers: true, .. } => &["--second-answers"],
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

    /// Puts it into a copy of the workspace.
    pub fn apply(&self, copy: &Path) -> Result<(), Error> {
        for edit in self.edits() {
            let path = copy.join(&edit.file);
            let before = fs::read_to_string(&path).map_err(Error::file(&path))?;
            let after = before.replacen(&edit.from, &edit.to, 1);
            fs::write(&path, after).map_err(Error::file(&path))?;
        }
        Ok(())
    }

    /// Takes it out of a copy of the workspace.
    pub fn revert(&self, copy: &Path) -> Result<(), Error> {
        for edit in self.edits() {
            let path = copy.join(&edit.file);
            // The replaced text may occur elsewhere in the file: the original is the only safe source.
            let original =
                fs::read_to_string(root().join(&edit.file)).map_err(Error::file(&edit.file))?;
            fs::write(&path, original).map_err(Error::file(&path))?;
        }
        Ok(())
    }
}
