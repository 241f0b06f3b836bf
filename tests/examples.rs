//! The example configurations.

use guavapass::{
    configuration::{ConfigurationDocument, PoolKind, check_document, hash_key},
    ids::PresetId,
};

fn read(example: &str) -> ConfigurationDocument {
    let path = format!("{}/examples/{example}/configuration.jsonc", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).unwrap();
    jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default()).unwrap()
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
}

#[test]
fn check_example_kencana() {
    check_example("kencana");
}
