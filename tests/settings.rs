//! Invalid settings and configuration files: the error is one sentence that names the file, the
//! line, the field and how to correct it.

use guavapass::{
    command::{CommandError, read_configuration},
    settings::EntrySettings,
};
use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
    sync::atomic::{AtomicU32, Ordering},
};

const SETTINGS: &str = r#"{
    // An entry VM in the north.
    "vm": "vm-1",
    "data_centre": "norte",
    "callers": { "listen": "127.0.0.1:0", "body_timeout_ms": 1000 },
    "operators": { "listen": "127.0.0.1:0", "secret_files": ["SECRET"] },
    "peers": { "listen": "127.0.0.1:0", "secret_files": ["SECRET"] },
    "platform": { "address": "127.0.0.1:9" },
}"#;

/// A temporary directory for one test, removed on drop.
struct TestDirectory {
    folder: PathBuf,
}

impl TestDirectory {
    fn new() -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("guavapass-settings-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        Self { folder }.write("secret", "a secret of thirty characters.")
    }

    fn write(self, name: &str, text: &str) -> Self {
        let secret = self.folder.join("secret").display().to_string();
        fs::write(self.folder.join(name), text.replace("SECRET", &secret)).unwrap();
        self
    }

    fn settings_error(&self) -> String {
        EntrySettings::read(&self.folder.join("vm.jsonc")).unwrap_err().to_string()
    }

    fn check(&self, name: &str) -> Output {
        Command::new(env!("CARGO_BIN_EXE_guavapass"))
            .arg("check")
            .arg(self.folder.join(name))
            .output()
            .unwrap()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn assert_names(error: &str, parts: &[&str]) {
    for part in parts {
        assert!(error.contains(part), "{error:?} does not name {part:?}");
    }
}

fn error_of(from: &str, to: &str) -> String {
    assert!(SETTINGS.contains(from));
    TestDirectory::new().write("vm.jsonc", &SETTINGS.replace(from, to)).settings_error()
}

#[test]
fn read_with_comments() {
    let directory = TestDirectory::new().write("vm.jsonc", SETTINGS);
    let settings = EntrySettings::read(&directory.folder.join("vm.jsonc")).unwrap();
    assert_eq!(settings.vm.as_str(), "vm-1");
    assert_eq!(settings.callers.body_timeout_ms.0, 1000);
}

#[test]
fn read_unknown_field() {
    let error = error_of("\"data_centre\"", "\"zone\"");
    assert_names(&error, &["vm.jsonc", "line 4", "zone", "data_centre"]);
}

#[test]
fn read_missing_field() {
    let error = error_of("\"vm\": \"vm-1\",", "");
    assert_names(&error, &["vm.jsonc", "missing field `vm`"]);
}

#[test]
fn read_wrong_unit() {
    let error = error_of("\"body_timeout_ms\": 1000", "\"body_timeout_ms\": \"1 s\"");
    assert_names(&error, &["vm.jsonc", "line 5", "callers.body_timeout_ms", "invalid type"]);
}

#[test]
fn read_unparsable_address() {
    let error = error_of("127.0.0.1:9", "platform.example");
    assert_names(&error, &["vm.jsonc", "line 8", "platform.address"]);
}

#[test]
fn read_syntax_error() {
    let error = error_of("\"vm\": \"vm-1\",", "\"vm\": vm-1,");
    assert_names(&error, &["vm.jsonc", "line 3", "correct the JSON"]);
}

#[test]
fn read_missing_secret() {
    let error = error_of("[\"SECRET\"] },\n    \"peers\"", "[\"SECRET.none\"] },\n    \"peers\"");
    assert_names(&error, &["vm.jsonc", "operators.secret_files", "secret.none", "create it"]);
}

#[test]
fn read_short_secret() {
    let directory = TestDirectory::new().write("secret", "short").write("vm.jsonc", SETTINGS);
    assert_names(&directory.settings_error(), &["secret", "too short", "at least 16 bytes"]);
}

#[test]
fn read_number_outside_range() {
    let error = error_of("\"body_timeout_ms\": 1000", "\"threads\": 0");
    assert_names(&error, &["vm.jsonc", "callers.threads", "0", "from 1 to 256"]);
}

#[test]
fn check_exit_codes() {
    let directory =
        TestDirectory::new().write("vm.jsonc", SETTINGS).write("bad.jsonc", "{ \"vm\": 3 }");
    assert_eq!(directory.check("vm.jsonc").status.code(), Some(0));
    let output = directory.check("bad.jsonc");
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(error.trim().lines().count(), 1, "{error}");
}

#[test]
fn configuration_unknown_pool() {
    let text = r#"{
        "schema": 1, "pools": {}, "models": {},
        "services": { "booking": {
            "pool": "crew", "repeatable": false, "cost_per_call": 1, "expected_ms": 1
        } },
        "teams": {}, "presets": { "ordinary": {} }, "preset": "ordinary"
    }"#;
    let directory = TestDirectory::new().write("configuration.jsonc", text);
    let error = read_configuration(&directory.folder.join("configuration.jsonc")).unwrap_err();
    assert!(matches!(error, CommandError::Configuration { .. }));
    assert_names(&error.to_string(), &["services.booking.pool", "crew", "add it"]);
}
