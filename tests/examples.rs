//! The example configurations and settings are valid.

use guavapass::{
    configuration::{ConfigurationDocument, PoolKind, check_document, hash_key},
    ids::PresetId,
    settings::EntrySettings,
};

fn text(example: &str, file: &str) -> String {
    let path = format!("{}/examples/{example}/{file}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).unwrap()
}

fn read(example: &str) -> ConfigurationDocument {
    let text = text(example, "configuration.jsonc");
    jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default()).unwrap()
}

/// Reads the example settings with the secret files replaced by temporary ones.
fn check_settings(example: &str) {
    let name = format!("guavapass-examples-{example}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    for secret in ["operators.secret", "peers.secret"] {
        std::fs::write(folder.join(secret), "a secret of thirty characters.").unwrap();
    }
    let text = text(example, "settings.jsonc");
    let text = text.replace("/etc/guavapass", folder.to_str().unwrap());
    let path = folder.join("settings.jsonc");
    std::fs::write(&path, text).unwrap();
    let settings = EntrySettings::read(&path);
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(settings.unwrap().vm.as_str().starts_with(|first: char| first.is_ascii_lowercase()));
}

fn check_example(example: &str) {
    let document = read(example);
    check_document(&document).unwrap();
    assert_eq!(document.teams.len(), 10);
    assert!(document.services.values().any(|service| !service.repeatable));
    assert!(document.services.values().any(|service| service.repeatable));
    assert!(document.pools.values().any(|pool| pool.kind == PoolKind::Engine));
    let names: Vec<_> = document.presets.keys().map(PresetId::as_str).collect();
    assert_eq!(names, ["maintenance", "ordinary", "peak"]);
    for key in document.teams.values().flat_map(|team| &team.keys) {
        assert_eq!(key.sha256, hash_key(&format!("{}-key", key.subscriber)));
    }
}

#[test]
fn check_example_ruedaparque() {
    check_example("ruedaparque");
    check_settings("ruedaparque");
}

#[test]
fn check_example_kencana() {
    check_example("kencana");
    check_settings("kencana");
}
