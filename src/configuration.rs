//! What operators publish: models, versions, teams, services and presets.
//!
//! A [`ConfigurationDocument`] is the whole declaration. It is read from JSON with comments,
//! checked as a whole and then in force or rejected as a whole. Exactly one of its presets is in
//! force at a time.

use super::*;

mod check;
mod document;
mod error;
mod fold;
mod key_index;
mod model;
mod pool;
mod preset;
mod record;
mod service;
mod stamp;
mod team;

pub use {
    check::check_document,
    document::ConfigurationDocument,
    error::ConfigurationError,
    fold::{ConfigurationFold, FoldReport, PublicationOutcome},
    key_index::KeyIndex,
    model::{ModelEntry, RolloutPlan, RolloutStage, VersionEntry, VersionState},
    pool::{FenceRule, PoolEntry, PoolKind},
    preset::PresetEntry,
    record::{ConfigurationChange, ConfigurationRecord},
    service::ServiceEntry,
    stamp::{ConfigurationStamp, ConfigurationState},
    team::{AccessKey, TeamEntry, TeamLimits, hash_key},
};
