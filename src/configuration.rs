//! The configuration that operators publish: pools, models, versions, teams, services and presets.
//!
//! A [`ConfigurationDocument`] is read from JSON with comments and validated as a whole: it is
//! either accepted completely or rejected. Exactly one of its presets is in force at a time.

use super::*;

mod advice;
mod advise;
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
    advice::{Advice, AdviceLevel},
    advise::advise,
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
