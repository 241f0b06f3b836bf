//! Starts guavapass.

use std::process::ExitCode;

fn main() -> ExitCode {
    guavapass::run(std::env::args_os())
}
