//! The command-line interface.
//!
//! Every subcommand is a file in this folder with a function `command` that declares its arguments
//! and a function `run` that executes it. Exit codes: 0 for success, 1 if the command failed, 2 if
//! the arguments or a file are invalid, 3 if the outcome of a publication is unknown or some entry
//! VMs do not have the revision in force yet.

use super::*;
use clap::{Arg, ArgMatches, Command as CommandLine};

mod bills;
mod check;
mod command_error;
mod demo;
mod explain;
mod gateway;
mod logs;
mod operator_client;
mod publish;
mod serve;
mod signals;
mod status;

pub use {
    check::{CheckedFile, differences, read_configuration},
    command_error::CommandError,
    explain::explain_line,
};

/// Parses the arguments, runs the chosen subcommand and returns the exit code of the process.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command_line().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            let _ = error.print();
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(2));
        }
    };
    let result = match matches.subcommand() {
        Some(("serve", matches)) => serve::run(matches),
        Some(("gateway", matches)) => gateway::run(matches),
        Some(("check", matches)) => check::run(matches),
        Some(("bills", matches)) => bills::run(matches),
        Some(("publish", matches)) => publish::run(matches),
        Some(("preset", matches)) => publish::run_preset(matches),
        Some(("status", matches)) => status::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("demo", matches)) => demo::run(matches),
        _ => Ok(ExitCode::SUCCESS),
    };
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::from(error.exit_code())
    })
}

fn command_line() -> CommandLine {
    CommandLine::new("guavapass")
        .about("A model-aware router for versions and cascades")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve::command())
        .subcommand(gateway::command())
        .subcommand(check::command())
        .subcommand(bills::command())
        .subcommand(publish::command())
        .subcommand(publish::preset_command())
        .subcommand(status::command())
        .subcommand(explain::command())
        .subcommand(demo::command())
}
