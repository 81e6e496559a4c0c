//! `lbctl`, the command line tool for operators.
#![forbid(unsafe_code)]

mod config;
mod demo;
mod fleet;
mod outcome;
mod scale;
mod soak;
mod table;
mod tier;
mod trial;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Operates and tests fleets of sidecars.
///
/// Exit status 0: success. 1: rejected, rolled back, or a check failed. 2: invalid command, or no answer.
#[derive(Parser)]
#[command(name = "lbctl", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Send requests to the daemon of a fleet.
    Fleet(fleet::Arguments),
    /// Run a small fleet on loopback under load, with reloads, a killed sidecar and a killed daemon.
    Demo(demo::Arguments),
    /// Run many sidecars with injected faults, as described by a scenario file.
    Trial(trial::Arguments),
    /// Publish configuration changes and show where they are in force.
    Config(config::Arguments),
    /// Run thousands of hollow sidecars, which serve no requests, beside real ones.
    Scale(scale::Arguments),
    /// Run many sidecars under random overlapping faults, one run per seed.
    Soak(soak::Arguments),
    /// Show the gossip state of sidecars and where it differs.
    Tier(tier::Arguments),
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Fleet(arguments) => fleet::run(arguments),
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Trial(arguments) => trial::run(&arguments),
        Command::Soak(arguments) => soak::run(&arguments),
        Command::Tier(arguments) => tier::run(&arguments),
        Command::Config(arguments) => config::run(&arguments),
        Command::Scale(arguments) => scale::run(&arguments),
    }
}
