//! Shows that the oracle can fail: puts bugs into copies of the workspace, one at a time, and counts
//! the seeds that find each. The first seed that does is played again in two new processes, which have
//! to come to the same, and is cut down to the faults that matter.
//!
//! `cargo run --release -p simulation --example mutants`: at first a quarter of the seeds (2,000) are played;
//! all of them where these find nothing. Status 1: a bug was not found, or not twice the same.

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Output, Stdio};
use std::sync::Mutex;

use clap::Parser;
use serde::Deserialize;

/// Plays bugs that are put in on purpose.
#[derive(Parser)]
struct Arguments {
    /// Seeds.
    #[arg(long, default_value_t = 2000)]
    seeds: u64,
    /// Copies of the workspace that are built and played side by side.
    #[arg(long, default_value_t = 1)]
    copies: usize,
    /// Only bugs whose name has this in it.
    only: Option<String>,
}

#[derive(Deserialize)]
struct File {
    mutant: Vec<Mutant>,
}

/// One bug.
#[derive(Deserialize)]
struct Mutant {
    name: String,
    #[serde(flatten)]
    edit: Edit,
    #[serde(default)]
    also: Vec<Edit>,
    /// A package whose tests have to find it, in place of seeds.
    tests: Option<String>,
}

/// In a file a text stands in place of another, which is there once.
#[derive(Deserialize)]
struct Edit {
    file: PathBuf,
    from: String,
    to: String,
}

impl Mutant {
    fn edits(&self) -> impl Iterator<Item = &Edit> {
        std::iter::once(&self.edit).chain(&self.also)
    }

    /// Puts it into a copy of the workspace, or takes it out.
    fn put(&self, copy: &Path, into: bool) -> Result<(), String> {
        let text = |e: std::io::Error| format!("{}: {e}", self.name);
        for edit in self.edits() {
            let path = copy.join(&edit.file);
            let before = std::fs::read_to_string(&path).map_err(text)?;
            let after = match into {
                true => before.replacen(&edit.from, &edit.to, 1),
                // What stands behind a bug may be the same as what it replaced.
                false => std::fs::read_to_string(root().join(&edit.file)).map_err(text)?,
            };
            std::fs::write(&path, after).map_err(text)?;
        }
        Ok(())
    }
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn main() -> ExitCode {
    match all(&Arguments::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(missed) => {
            eprintln!("{missed} not found, or not the same again");
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("mutants: {e}");
            ExitCode::from(2)
        }
    }
}

fn all(given: &Arguments) -> Result<usize, String> {
    let text = std::fs::read_to_string(root().join("crates/simulation/mutants.toml"));
    let file: File = toml::from_str(&text.map_err(|e| e.to_string())?)
        .map_err(|e| format!("mutants.toml: {e}"))?;
    // Named before the first is built: a text that moved shows at once.
    for (mutant, edit) in file.mutant.iter().flat_map(|m| m.edits().map(move |e| (m, e))) {
        let sound = std::fs::read_to_string(root().join(&edit.file)).map_err(|e| e.to_string())?;
        let places = sound.matches(&edit.from).count();
        if places != 1 {
            return Err(format!("{}: {places} places in {}", mutant.name, edit.file.display()));
        }
    }
    let wanted = |m: &&Mutant| given.only.as_ref().is_none_or(|part| m.name.contains(part));
    let todo: Vec<&Mutant> = file.mutant.iter().filter(wanted).collect();
    println!("| bug | seeds that found it | of | rules broken | the first again | faults left |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let (next, missed) = (Mutex::new(todo.iter()), Mutex::new(Ok(0)));
    std::thread::scope(|scope| {
        for n in 0..given.copies.max(1) {
            let (next, missed) = (&next, &missed);
            scope.spawn(move || {
                let copy = std::env::temp_dir().join(format!("mutants-{}-{n}", std::process::id()));
                let came_to = some(&copy, next, given);
                let _ = std::fs::remove_dir_all(&copy);
                if let Ok(mut missed) = missed.lock() {
                    *missed = match (missed.clone(), came_to) {
                        (Ok(a), Ok(b)) => Ok(a + b),
                        (Err(e), _) | (_, Err(e)) => Err(e),
                    };
                }
            });
        }
    });
    missed.into_inner().map_err(|_| "a thread has ended early")?
}

type Next<'a> = Mutex<std::slice::Iter<'a, &'a Mutant>>;

/// Plays bugs in one copy until none is left.
fn some(copy: &Path, next: &Next<'_>, given: &Arguments) -> Result<usize, String> {
    for part in ["Cargo.toml", "Cargo.lock", "src", "crates", "README.md"] {
        copy_tree(&root().join(part), &copy.join(part))?;
    }
    let mut missed = 0;
    loop {
        let taken = next.lock().map_err(|_| "a thread has ended early")?.next();
        let Some(mutant) = taken else { return Ok(missed) };
        mutant.put(copy, true)?;
        let found = match &mutant.tests {
            Some(package) => tested(copy, mutant, package)?,
            None => {
                build(copy)?;
                found(copy, mutant, given)?
            }
        };
        missed += usize::from(!found);
        mutant.put(copy, false)?;
    }
}

fn found(copy: &Path, mutant: &Mutant, given: &Arguments) -> Result<bool, String> {
    let mut of = given.seeds / 4;
    let mut came = run(copy, of)?;
    if came.seeds.is_empty() {
        of = given.seeds;
        came = run(copy, of)?;
    }
    let Some(first) = came.seeds.first() else {
        println!("| {} | 0 | {of} | | | |", mutant.name);
        return Ok(false);
    };
    let again = [tool(copy, &["play", first])?, tool(copy, &["play", first])?];
    let [one, two] = again.map(|out| String::from_utf8_lossy(&out.stdout).into_owned());
    let same = one == two && one.contains(" broken at ");
    let file = copy.join("least.toml");
    tool(copy, &["shrink", first, "--to", &file.display().to_string()])?;
    let least = std::fs::read_to_string(&file).map_err(|e| e.to_string())?;
    println!(
        "| {} | {} | {of} | {} | {} | {} |",
        mutant.name,
        came.failed,
        came.rules.join(", "),
        if same { "the same" } else { "DIFFERS" },
        least.matches("[[faults]]").count(),
    );
    Ok(same)
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

/// Whether a package's tests find a bug.
fn tested(copy: &Path, mutant: &Mutant, package: &str) -> Result<bool, String> {
    let tests = ["test", "--release", "--no-fail-fast", "-p", package];
    cargo(copy, &[&tests[..], &["--quiet", "--no-run"]].concat())?;
    // Tests that fail are what is looked for here.
    let told = match cargo(copy, &tests) {
        Ok(told) | Err(told) => told,
    };
    let failed: Vec<&str> = told
        .lines()
        .filter_map(|l| l.strip_prefix("test ")?.strip_suffix(" ... FAILED"))
        .map(|name| name.rsplit("::").next().unwrap_or(name))
        .collect();
    println!("| {} | {} tests | | {} | | |", mutant.name, failed.len(), failed.join(", "));
    Ok(!failed.is_empty())
}

/// Builds the tool of the copy.
fn build(copy: &Path) -> Result<(), String> {
    cargo(copy, &["build", "--quiet", "--release", "-p", "simulation", "--bin", "lb-simulation"])
        .map(drop)
}

/// Runs cargo in the copy, where it builds quickly: what is played is the same. What it told, also where it failed.
fn cargo(copy: &Path, arguments: &[&str]) -> Result<String, String> {
    let mut command = Command::new(std::env::var_os("CARGO").unwrap_or("cargo".into()));
    command.args(arguments);
    command.current_dir(copy).env("CARGO_TARGET_DIR", copy.join("target"));
    for (name, value) in
        [("LTO", "off"), ("CODEGEN_UNITS", "16"), ("INCREMENTAL", "true"), ("DEBUG", "0")]
    {
        command.env(format!("CARGO_PROFILE_RELEASE_{name}"), value);
    }
    let out = command.output().map_err(|e| e.to_string())?;
    match out.status.success() {
        true => Ok(String::from_utf8_lossy(&out.stdout).into_owned()),
        false => {
            Err([out.stdout, out.stderr].map(|t| String::from_utf8_lossy(&t).into_owned()).concat())
        }
    }
}

fn tool(copy: &Path, arguments: &[&str]) -> Result<Output, String> {
    let mut command = Command::new(copy.join("target/release/lb-simulation"));
    command.args(arguments).stderr(Stdio::null()).output().map_err(|e| e.to_string())
}

/// What a range of seeds came to.
struct Came {
    /// How many broke a rule; some of them; the rules.
    failed: u64,
    seeds: Vec<String>,
    rules: Vec<String>,
}

fn run(copy: &Path, seeds: u64) -> Result<Came, String> {
    let out = tool(copy, &["run", "--keep-going", "--seeds", &format!("0..{seeds}")])?;
    let told = String::from_utf8_lossy(&out.stdout).into_owned();
    let last = told.lines().last().unwrap_or_default();
    let failed = last.rsplit("; ").next().and_then(|l| l.split(' ').next()?.parse().ok());
    let failed = failed.ok_or_else(|| format!("no count in {told:?}"))?;
    let broken: Vec<(&str, &str)> = told
        .lines()
        .filter_map(|l| l.strip_prefix("seed ")?.split_once(": "))
        .filter_map(|(seed, what)| Some((seed, what.split_once(" broken at ")?.0)))
        .collect();
    let mut rules: Vec<String> = broken.iter().map(|(_, rule)| (*rule).to_owned()).collect();
    rules.sort_unstable();
    rules.dedup();
    Ok(Came { failed, seeds: broken.iter().map(|(s, _)| (*s).to_owned()).collect(), rules })
}
