//! Golden tests of whole sessions, driven through the control cores.
//!
//! A file under `tests/golden/` is a script with its expected transcript: lines that start with `>
//! ` are commands, and the lines below a command are its expected output. Run with `GOLDEN_WRITE=1`
//! to write the transcripts again, and review the difference.

#[path = "support/golden_script.rs"]
mod golden_script;

use std::path::Path;

fn run(path: &Path) -> datatest_stable::Result<()> {
    let expected = std::fs::read_to_string(path)?;
    let found = golden_script::GoldenScript::replay(&expected)?;
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(path, &found)?;
        return Ok(());
    }
    for (number, (found, expected)) in found.lines().zip(expected.lines()).enumerate() {
        if found != expected {
            let number = number + 1;
            return Err(format!("line {number}:\n  found    {found}\n  expected {expected}").into());
        }
    }
    if found != expected {
        return Err("the transcript is longer or shorter than expected".into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = run, root = "tests/golden", pattern = r"^.*\.txt$" },
}
