//! Sessions keep their version.
//!
//! A [`SessionToken`] carries the version under a keyed hash, so that any entry VM can check it and
//! none has to remember it. A caller that only repeats an id of its own has a pin in the
//! [`SessionTable`] of the id's home VM, which ranks first for it, and of the next in rank.

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
