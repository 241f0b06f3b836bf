//! Sessions, whose requests keep to one version of a model.
//!
//! A [`SessionToken`] carries the version under a keyed hash, so any entry VM can verify it and
//! none has to store it. A caller that sends only an id of its own gets a pin instead: the
//! [`SessionTable`] of the id's home VM, which ranks first for the id, holds it, and the VM next in
//! rank holds a copy.

use super::*;

mod choice;
mod key;
mod table;
mod token;

pub use {
    choice::{SessionChoice, SessionEnd},
    key::SessionKey,
    table::{PinMessage, SessionTable},
    token::{SessionToken, TokenError},
};
