//! `lbctl`, the operators' command.
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

/// Looks after fleets of sidecars.
///
/// Status 0: done. 1: refused, rolled back, or a rule was broken. 2: not understood, or nobody there.
#[derive(Parser)]
#[command(name = "lbctl", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Ask the daemon of a fleet.
    Fleet(fleet::Arguments),
    /// Play a whole host on loopback: a small fleet under load, reloaded, upgraded and killed.
    Demo(demo::Arguments),
    /// Play many sidecars with faults between them, as a file says.
    Trial(trial::Arguments),
    /// Publish changes of configuration, and see where they are in force.
    Config(config::Arguments),
    /// Play thousands of hollow sidecars beside real ones.
    Scale(scale::Arguments),
    /// Play many sidecars under drawn faults that overlap, one run for each seed.
    Soak(soak::Arguments),
    /// What sidecars know of their tier, and where they differ.
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
