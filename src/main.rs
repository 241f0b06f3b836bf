//! The entry point of the `guavapass` executable.

use std::process::ExitCode;

fn main() -> ExitCode {
    guavapass::run(std::env::args_os())
}
