//! `guavapass check` on configurations before they are sent.

use guavapass::command::CheckedFile;
use serde_json::{Value, json};
use std::{path::Path, process::Command};

const DOCUMENT: &str = include_str!("support/document.json");

fn example(user: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(root.join("examples").join(user).join("configuration.jsonc")).unwrap()
}

fn check(text: &str) -> CheckedFile {
    CheckedFile::new("new.jsonc", text.to_owned()).unwrap()
}

/// Returns the fields of the remarks about a document that has been changed.
fn fields(document: &Value, change: impl Fn(&mut Value)) -> Vec<String> {
    let mut document = document.clone();
    change(&mut document);
    let checked = check(&document.to_string());
    checked.advice().iter().map(|advice| advice.field.to_string()).collect()
}

fn routes() -> Value {
    json!({
        "version": 1,
        "routes": [
            {"name": "a", "host": "plaza.example", "path_prefix": "/a/", "kind": "safe",
             "timeout_ms": 900, "target_latency_ms": 100, "service": "booking", "max_attempts": 2},
            {"name": "b", "host": "plaza.example", "path_prefix": "/a/b/", "kind": "unsafe",
             "timeout_ms": 900, "service": "booking", "max_attempts": 1},
        ],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 1000},
        "tenants": [{"name": "plaza", "api_keys": ["one", "two"]}],
    })
}

#[test]
fn sound_documents() {
    for user in ["kencana", "ruedaparque"] {
        let checked = check(&example(user));
        assert_eq!(checked.exit_code(), 0, "{}", checked.to_text());
    }
    assert_eq!(check(&routes().to_string()).to_text(), "new.jsonc: in order\n");
    assert_eq!(check(DOCUMENT).exit_code(), 0, "{}", check(DOCUMENT).to_text());
}

#[test]
fn routes_that_contradict_themselves() {
    let field = |at: &str, value: Value| {
        fields(&routes(), |document| *document.pointer_mut(at).unwrap() = value.clone())
    };
    assert_eq!(field("/routes/1/path_prefix", json!("/a/")), ["routes.1.path_prefix"]);
    assert_eq!(field("/routes/0/path_prefix", json!("a/")), ["routes.0.path_prefix"]);
    assert_eq!(field("/routes/0/host", json!("plaza.example:80")), ["routes.0.host"]);
    assert_eq!(field("/routes/0/timeout_ms", json!(99)), ["routes.0.timeout_ms"]);
    assert_eq!(field("/routes/0/target_latency_ms", json!(0)), ["routes.0.target_latency_ms"]);
    assert_eq!(field("/routes/0/max_attempts", json!(0)), ["routes.0.max_attempts"]);
    assert_eq!(field("/routes/1/max_attempts", json!(2)), ["routes.1.max_attempts"]);
    assert_eq!(field("/limits/max_body_bytes", json!(0)), ["limits.max_body_bytes"]);
    assert_eq!(field("/tenants/0/api_keys/1", json!("one")), ["tenants.0.api_keys.1"]);
    assert_eq!(field("/tenants/0/api_keys", json!([])), ["tenants.0.api_keys"]);
    let unreadable = check(&routes().to_string().replace("unsafe", "odd"));
    assert_eq!(unreadable.exit_code(), 2, "{}", unreadable.to_text());
}

#[test]
fn teams_that_contradict_themselves() {
    let document: Value =
        guavapass::document::parse_document("example", &example("kencana")).unwrap();
    let teams = document["teams"].as_object().unwrap();
    let (team, entry) = teams.iter().next().unwrap();
    let preset = document["preset"].as_str().unwrap();
    let found = fields(&document, |document| {
        let entry = &mut document["teams"][team];
        entry["keys"] = json!([]);
        entry["deadline_ms"] = json!(1);
        entry["limits"]["concurrent"] = json!(0);
        document["presets"][preset]["limit_factor"] = json!(0.0);
    });
    for field in ["keys", "deadline_ms", "limits.concurrent"] {
        assert!(found.contains(&format!("teams.{team}.{field}")), "{found:?}");
    }
    assert!(found.contains(&format!("presets.{preset}.limit_factor")), "{found:?}");
    let doubled = fields(&document, |document| {
        let keys = document["teams"][team]["keys"].as_array_mut().unwrap();
        keys.push(entry["keys"][0].clone());
    });
    let last = entry["keys"].as_array().unwrap().len();
    assert_eq!(doubled, [format!("teams.{team}.keys.{last}.sha256")], "an error");
}

#[test]
fn lines_and_differences() {
    let text = serde_json::to_string_pretty(&routes()).unwrap();
    let changed = text.replace("\"timeout_ms\": 900", "\"timeout_ms\": 50");
    let checked = check(&changed).against(&routes());
    assert_eq!(checked.exit_code(), 1);
    let line = 1 + changed.lines().position(|line| line.contains("timeout_ms")).unwrap();
    let text = checked.to_text();
    assert!(
        text.contains(&format!("new.jsonc, line {line}: warning: routes.0.timeout_ms: ")),
        "{text}"
    );
    assert!(text.contains("differs: routes.1.timeout_ms: It is 50; in force it is 900."), "{text}");
    let json = checked.to_json();
    let remarks = json.as_array().unwrap();
    let levels: Vec<_> = remarks.iter().map(|remark| remark["level"].as_str().unwrap()).collect();
    assert_eq!(levels, ["warning", "difference", "difference"]);
    assert_eq!(remarks[0]["line"], json!(line));
    assert_eq!(check(&changed).against(&serde_json::from_str(&changed).unwrap()).advice().len(), 1);
}

#[test]
fn differences_of_lists() {
    let mut next = routes();
    // A route is added before the others, one is removed, and one changes.
    let added = json!({"name": "c", "host": "plaza.example", "path_prefix": "/c/", "kind": "safe",
        "timeout_ms": 900, "service": "booking", "max_attempts": 2});
    let list = next["routes"].as_array_mut().unwrap();
    list.remove(0);
    list.insert(0, added);
    list[1]["timeout_ms"] = json!(800);
    next["tenants"][0]["api_keys"] = json!(["two"]);
    let checked = check(&next.to_string()).against(&routes());
    let found = checked.advice().iter().map(|advice| (advice.field.as_str(), advice.text.as_str()));
    let found: Vec<(&str, &str)> = found.collect();
    assert_eq!(found[0].0, "routes.0", "{found:?}");
    assert!(found[0].1.starts_with("It is new: {"), "{found:?}");
    assert_eq!(
        found[1..],
        [
            ("routes.1.timeout_ms", "It is 800; in force it is 900."),
            ("routes", "The entry \"a\" is missing; it is in force."),
            ("tenants.0.api_keys", "It is missing; in force it is \"one\"."),
        ]
    );
}

#[test]
fn exit_codes_of_the_command() {
    let folder = std::env::temp_dir().join(format!("guavapass-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let run = |document: &Value, words: &[&str]| {
        let file = folder.join("new.jsonc");
        std::fs::write(&file, document.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_guavapass"));
        let output = command.arg("check").arg(&file).args(words).output().unwrap();
        (output.status.code(), String::from_utf8(output.stdout).unwrap())
    };
    assert_eq!(run(&routes(), &["--json"]), (Some(0), "[]\n".into()));
    let in_force = folder.join("in-force.json");
    std::fs::write(&in_force, routes().to_string()).unwrap();
    let mut next = routes();
    next["version"] = json!(2);
    let (code, text) = run(&next, &["--against", in_force.to_str().unwrap()]);
    assert_eq!(code, Some(1));
    assert!(text.contains("differs: version: It is 2; in force it is 1."), "{text}");
    next["routes"] = json!(7);
    assert_eq!(run(&next, &[]).0, Some(2));
    std::fs::remove_dir_all(&folder).unwrap();
}
