//! Tests that each mutant of the list can still be applied to the code.

use std::path::{Path, PathBuf};

use serde::Deserialize;

#[derive(Deserialize)]
struct Mutants {
    mutant: Vec<Mutant>,
}

#[derive(Deserialize)]
struct Mutant {
    name: String,
    #[serde(flatten)]
    edit: Edit,
    #[serde(default)]
    also: Vec<Edit>,
}

#[derive(Deserialize)]
struct Edit {
    file: PathBuf,
    from: String,
}

/// If a text to be replaced is missing or ambiguous, the tool fails before it runs any mutant.
#[test]
fn text_that_each_mutant_replaces_occurs_once_in_its_file() {
    let crate_folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    let list = std::fs::read_to_string(crate_folder.join("mutants.toml")).expect("the list");
    let Mutants { mutant: mutants } = toml::from_str(&list).expect("a list of mutants");
    for Mutant { name, edit, also } in mutants {
        for Edit { file, from } in std::iter::once(edit).chain(also) {
            let path = crate_folder.join("../..").join(&file);
            let code = std::fs::read_to_string(path).expect("a source file");
            assert_eq!(code.matches(&from).count(), 1, "{name}, in {}: {from:?}", file.display());
        }
    }
}
