//! `guavapass explain`: shows the routing decisions about a request, from the decision log.

use super::*;
use std::{fmt::Write, io::BufRead};

/// Returns the definition of the subcommand.
pub fn command() -> CommandLine {
    CommandLine::new("explain")
        .about("Show why a request went where it went, from the decision log")
        .arg(
            Arg::new("request")
                .value_name("REQUEST")
                .required(true)
                .help("The request id, as in the header Guavapass-Request"),
        )
        .arg(
            Arg::new("log").long("log").value_name("FILE").default_value("-").help(
                "The JSON log lines of the entry VM that served it; - for the standard input",
            ),
        )
}

/// Prints the decisions about a request. The exit code is 1 if the log has none.
///
/// # Errors
///
/// Returns an error if the log cannot be read.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let request = matches.get_one::<String>("request").map_or("", String::as_str);
    let path = matches.get_one::<String>("log").map_or("-", String::as_str);
    let log: Box<dyn BufRead> = match path {
        "-" => Box::new(std::io::stdin().lock()),
        path => Box::new(std::io::BufReader::new(std::fs::File::open(path)?)),
    };
    let mut found = false;
    for line in log.lines() {
        if let Some(text) = explain_line(&line?, request) {
            found = true;
            println!("{text}");
        }
    }
    if found {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("The log has no line about the request {request}; read that of the VM in its id.");
    Ok(ExitCode::FAILURE)
}

/// Returns a readable form of a JSON log line, or `None` if it is not about this request.
#[must_use]
pub fn explain_line(line: &str, request: &str) -> Option<String> {
    if !line.contains(request) {
        return None;
    }
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = line.get("fields").unwrap_or(&line);
    if fields.get("request")?.as_str()? != request {
        return None;
    }
    let text = |name: &str| match fields.get(name) {
        Some(serde_json::Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    };
    let time = line.get("timestamp").and_then(serde_json::Value::as_str).unwrap_or("-");
    let message = text("message");
    if message != "route" {
        return Some(format!("{time}  {message}{}", other_fields(fields)));
    }
    let mut explanation = format!(
        "{time}  attempt {} of team {}: {} on {} after {} ms\n    because: {}",
        text("attempt"),
        text("team"),
        text("target"),
        text("server"),
        text("waited_ms"),
        text("reason"),
    );
    let passed_over: Vec<RejectedCandidate> =
        serde_json::from_str(&text("passed_over")).unwrap_or_default();
    for rejected in passed_over {
        let RejectedCandidate { candidate, reason } = rejected;
        let _ = write!(explanation, "\n    not {candidate}: {reason}");
    }
    Some(explanation)
}

fn other_fields(fields: &serde_json::Value) -> String {
    let Some(fields) = fields.as_object() else { return String::new() };
    let mut text = String::new();
    for (name, value) in fields {
        if name != "message" && name != "request" {
            let _ = write!(text, "  {name}={}", value.to_string().trim_matches('"'));
        }
    }
    text
}
