//! Tests of parsing and formatting identifiers and quantities.

use guavapass::{
    ids::{IdError, RequestId, TeamId, VersionId},
    units::{Millis, Share},
};

#[test]
fn request_id_round_trip() {
    let id: RequestId = "vm-1.7.42".parse().unwrap();
    assert_eq!(id.vm.as_str(), "vm-1");
    assert_eq!(id.incarnation.0, 7);
    assert_eq!(id.number.0, 42);
    assert_eq!(id.to_string(), "vm-1.7.42");
}

#[test]
fn version_id_needs_model() {
    assert!(matches!("plain".parse::<VersionId>(), Err(IdError::Version { .. })));
    assert_eq!("m@2".parse::<VersionId>().unwrap().to_string(), "m@2");
}

#[test]
fn team_id_bad_character() {
    assert!(matches!("a b".parse::<TeamId>(), Err(IdError::Character { .. })));
    assert!(matches!("".parse::<TeamId>(), Err(IdError::Length { .. })));
}

#[test]
fn share_outside_range() {
    assert!("1.5".parse::<Share>().is_err());
    assert!(serde_json::from_str::<Share>("-0.1").is_err());
}

#[test]
fn millis_since_never_negative() {
    assert_eq!(Millis(3).since(Millis(5)), Millis(0));
}
