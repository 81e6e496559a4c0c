//! Shows that the oracle can fail: puts bugs into a copy of the workspace, one at a time, and counts
//! the seeds that find each.
//!
//! `cargo run --release -p dst --example mutants -- [SEEDS] [NAME]`: at first a quarter of the seeds
//! (2,000) are played; all of them where these find nothing. Status 1: a bug was not found.

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Stdio};

use serde::Deserialize;

#[derive(Deserialize)]
struct File {
    mutant: Vec<Mutant>,
}

/// One bug: in a file a text stands in place of another, which is there once.
#[derive(Deserialize)]
struct Mutant {
    name: String,
    file: PathBuf,
    from: String,
    to: String,
}

fn main() -> ExitCode {
    match all() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(missed) => {
            eprintln!("{missed} not found");
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("mutants: {e}");
            ExitCode::from(2)
        }
    }
}

fn all() -> Result<usize, String> {
    let mut given = std::env::args().skip(1);
    let seeds: u64 = given.next().and_then(|n| n.parse().ok()).unwrap_or(2000);
    let only = given.next();
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(here.join("mutants.toml")).map_err(|e| e.to_string())?;
    let file: File = toml::from_str(&text).map_err(|e| format!("mutants.toml: {e}"))?;
    let copy = std::env::temp_dir().join(format!("mutants-{}", std::process::id()));
    let root = here.join("../..");
    for part in ["Cargo.toml", "Cargo.lock", "src", "crates", "README.md"] {
        copy_tree(&root.join(part), &copy.join(part))?;
    }
    let mut missed = 0;
    // Named before the first is built: a text that moved shows at once.
    for mutant in &file.mutant {
        let sound = std::fs::read_to_string(copy.join(&mutant.file)).map_err(|e| e.to_string())?;
        let places = sound.matches(&mutant.from).count();
        if places != 1 {
            return Err(format!("{}: {places} places in {}", mutant.name, mutant.file.display()));
        }
    }
    println!("| bug | seeds that found it | of | rules broken |\n| --- | --- | --- | --- |");
    for mutant in file.mutant.iter().filter(|m| only.as_ref().is_none_or(|n| *n == m.name)) {
        let path = copy.join(&mutant.file);
        let sound =
            std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        std::fs::write(&path, sound.replacen(&mutant.from, &mutant.to, 1))
            .map_err(|e| e.to_string())?;
        build(&copy)?;
        let mut played = seeds / 4;
        let mut found = play(&copy, played)?;
        if found.0 == 0 {
            played = seeds;
            found = play(&copy, played)?;
        }
        missed += usize::from(found.0 == 0);
        println!("| {} | {} | {played} | {} |", mutant.name, found.0, found.1);
        std::fs::write(&path, sound).map_err(|e| e.to_string())?;
    }
    let _ = std::fs::remove_dir_all(&copy);
    Ok(missed)
}

fn copy_tree(from: &Path, to: &Path) -> Result<(), String> {
    let text = |e: std::io::Error| format!("{}: {e}", from.display());
    if let Some(folder) = to.parent() {
        std::fs::create_dir_all(folder).map_err(text)?;
    }
    if from.is_file() {
        return std::fs::copy(from, to).map(drop).map_err(text);
    }
    std::fs::create_dir_all(to).map_err(text)?;
    for entry in std::fs::read_dir(from).map_err(text)?.flatten() {
        if entry.file_name() != "target" {
            copy_tree(&entry.path(), &to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

/// Builds the tool of the copy, quickly: what it plays is the same.
fn build(copy: &Path) -> Result<(), String> {
    let mut command = Command::new(std::env::var_os("CARGO").unwrap_or("cargo".into()));
    command.args(["build", "--quiet", "--release", "-p", "dst", "--bin", "plankvale-dst"]);
    command.current_dir(copy).env("CARGO_TARGET_DIR", copy.join("target"));
    for (name, value) in
        [("LTO", "off"), ("CODEGEN_UNITS", "16"), ("INCREMENTAL", "true"), ("DEBUG", "0")]
    {
        command.env(format!("CARGO_PROFILE_RELEASE_{name}"), value);
    }
    let status = command.stderr(Stdio::null()).status().map_err(|e| e.to_string())?;
    if status.success() { Ok(()) } else { Err("a mutant does not compile".to_owned()) }
}

/// How many seeds broke a rule, and which rules.
fn play(copy: &Path, seeds: u64) -> Result<(u64, String), String> {
    let mut command = Command::new(copy.join("target/release/plankvale-dst"));
    command.args(["run", "--keep-going", "--seeds", &format!("0..{seeds}")]);
    let out = command.stderr(Stdio::null()).output().map_err(|e| e.to_string())?;
    let told = String::from_utf8_lossy(&out.stdout).into_owned();
    let failed =
        told.lines().last().and_then(|l| l.rsplit("; ").next()?.split(' ').next()?.parse().ok());
    let failed = failed.ok_or_else(|| format!("no count in {told:?}"))?;
    let mut rules: Vec<&str> = told
        .lines()
        .filter(|l| l.starts_with("seed "))
        .filter_map(|l| l.split(": ").nth(1)?.split(" broken").next())
        .collect();
    rules.sort_unstable();
    rules.dedup();
    Ok((failed, rules.join(", ")))
}
