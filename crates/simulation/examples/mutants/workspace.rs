//! Copies of the workspace, which are built and run.

use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use crate::error::Error;
use crate::root;

/// The files and folders of the workspace that are copied.
const COPIED: [&str; 5] = ["Cargo.toml", "Cargo.lock", "src", "crates", "README.md"];
/// The folder of a copy that it is built in.
const BUILD_FOLDER: &str = "target";
/// The file that marks a target directory of cargo, which is not copied.
const BUILD_FOLDER_MARK: &str = "CACHEDIR.TAG";
/// The name of the program of the simulation.
const TOOL: &str = "lb-simulation";
/// The name of the program that runs the soak.
const SOAK_TOOL: &str = "lbctl";
/// Settings of the release profile that make builds of a copy faster. They don't change the results of runs.
const QUICK_BUILD: [(&str, &str); 4] =
    [("LTO", "off"), ("CODEGEN_UNITS", "16"), ("INCREMENTAL", "true"), ("DEBUG", "0")];

/// The results of a range of seeds.
pub struct SeedsResult {
    /// The number of seeds that have broken a rule.
    pub failed: u64,
    /// Some of these seeds.
    pub seeds: Vec<String>,
    /// The rules that they broke.
    pub rules: Vec<String>,
}

/// A copy of the workspace, which is removed when dropped.
pub struct WorkspaceCopy {
    folder: PathBuf,
}

impl Drop for WorkspaceCopy {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl WorkspaceCopy {
    /// Copies the workspace into a temporary folder.
    pub fn create(number: usize) -> Result<WorkspaceCopy, Error> {
        let name = format!("mutants-{}-{number}", std::process::id());
        let copy = WorkspaceCopy { folder: std::env::temp_dir().join(name) };
        for part in COPIED {
            copy_tree(&root().join(part), &copy.folder.join(part))?;
        }
        Ok(copy)
    }

    /// Returns its path.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Builds the program of the simulation.
    pub fn build_tool(&self) -> Result<(), Error> {
        let arguments = ["build", "--quiet", "--release", "-p", "simulation", "--bin", TOOL];
        let output = self.cargo(&arguments)?;
        if output.status.success() { Ok(()) } else { Err(Error::Cargo(all_output(&output))) }
    }

    /// Runs the tests of a package, and returns the names of those that fail.
    pub fn failed_tests(&self, package: &str, test: Option<&str>) -> Result<Vec<String>, Error> {
        let arguments = ["test", "--release", "--no-fail-fast", "-p", package];
        let built = self.cargo(&[&arguments[..], &["--quiet", "--no-run"]].concat())?;
        if !built.status.success() {
            return Err(Error::Cargo(all_output(&built)));
        }
        let arguments: Vec<&str> = arguments.into_iter().chain(test).collect();
        let output = all_output(&self.cargo(&arguments)?);
        let failed = output
            .lines()
            .filter_map(|line| line.strip_prefix("test ")?.strip_suffix(" ... FAILED"))
            .map(|name| name.rsplit("::").next().unwrap_or(name).to_owned());
        Ok(failed.collect())
    }

    /// Runs the seeds below `count` with these options.
    pub fn run_seeds(&self, count: u64, options: &[&str]) -> Result<SeedsResult, Error> {
        let seeds = format!("0..{count}");
        let arguments = [&["run", "--keep-going", "--seeds", &seeds], options].concat();
        let text = self.tool(&arguments)?;
        let last = text.lines().last().unwrap_or_default();
        let failed = last.rsplit("; ").next().and_then(|l| l.split(' ').next()?.parse().ok());
        let failed = failed.ok_or_else(|| Error::NoCount(text.clone()))?;
        let mut seeds = Vec::new();
        let mut rules = Vec::new();
        for line in text.lines() {
            let Some((seed, rest)) = line.strip_prefix("seed ").and_then(|l| l.split_once(": "))
            else {
                continue;
            };
            if let Some((rule, _)) = rest.split_once(" broken at ") {
                seeds.push(seed.to_owned());
                rules.push(rule.to_owned());
            }
        }
        rules.sort_unstable();
        rules.dedup();
        Ok(SeedsResult { failed, seeds, rules })
    }

    /// Builds all programs, runs the soak, and returns the number of runs with findings.
    pub fn soak(&self, seeds: &str) -> Result<u64, Error> {
        let built = self.cargo(&["build", "--quiet", "--release", "--workspace", "--bins"])?;
        if !built.status.success() {
            return Err(Error::Cargo(all_output(&built)));
        }
        let text = self.program(SOAK_TOOL, &["soak", "--seeds", seeds])?;
        let last = text.lines().last().unwrap_or_default();
        let findings = last.split_once(" runs, ").and_then(|(_, rest)| rest.split_once(' '));
        findings
            .and_then(|(count, _)| count.parse().ok())
            .ok_or_else(|| Error::NoCount(text.clone()))
    }

    /// Runs a seed with these options, and returns the output.
    pub fn play(&self, seed: &str, options: &[&str]) -> Result<String, Error> {
        self.tool(&[&["play", seed], options].concat())
    }

    /// Shrinks a seed, and returns the number of faults that are left.
    pub fn shrink(&self, seed: &str, options: &[&str]) -> Result<usize, Error> {
        let file = self.folder.join("shrunk.toml");
        let path = file.display().to_string();
        self.tool(&[&["shrink", seed, "--to", &path], options].concat())?;
        let scenario = fs::read_to_string(&file).map_err(Error::file(&file))?;
        Ok(scenario.matches("[[faults]]").count())
    }

    /// Runs cargo in the copy.
    fn cargo(&self, arguments: &[&str]) -> Result<Output, Error> {
        let program = std::env::var_os("CARGO").unwrap_or(OsString::from("cargo"));
        let mut command = Command::new(&program);
        command.args(arguments).current_dir(&self.folder);
        command.env("CARGO_TARGET_DIR", self.folder.join(BUILD_FOLDER));
        for (name, value) in QUICK_BUILD {
            command.env(format!("CARGO_PROFILE_RELEASE_{name}"), value);
        }
        let program = program.to_string_lossy().into_owned();
        command.output().map_err(|source| Error::Start { program, source })
    }

    /// Runs the program of the simulation, and returns its output.
    fn tool(&self, arguments: &[&str]) -> Result<String, Error> {
        self.program(TOOL, arguments)
    }

    /// Runs a program of the copy, and returns its output.
    fn program(&self, name: &str, arguments: &[&str]) -> Result<String, Error> {
        let path = self.folder.join(BUILD_FOLDER).join("release").join(name);
        let mut command = Command::new(path);
        // With `CARGO` set, the program would build the programs that it starts, with other settings.
        command.args(arguments).env_remove("CARGO").stderr(Stdio::null());
        let output = command.output();
        let output = output.map_err(|source| Error::Start { program: name.to_owned(), source })?;
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }
}

fn all_output(output: &Output) -> String {
    [&output.stdout, &output.stderr].map(|text| String::from_utf8_lossy(text)).concat()
}

/// Copies a file, or a folder without target directories.
fn copy_tree(from: &Path, to: &Path) -> Result<(), Error> {
    if let Some(folder) = to.parent() {
        fs::create_dir_all(folder).map_err(Error::file(folder))?;
    }
    if from.is_file() {
        return fs::copy(from, to).map(drop).map_err(Error::file(from));
    }
    if from.join(BUILD_FOLDER_MARK).exists() {
        return Ok(());
    }
    fs::create_dir_all(to).map_err(Error::file(to))?;
    for entry in fs::read_dir(from).map_err(Error::file(from))?.flatten() {
        copy_tree(&entry.path(), &to.join(entry.file_name()))?;
    }
    Ok(())
}
