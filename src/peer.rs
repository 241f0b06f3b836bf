//! The protocol between entry VMs.
//!
//! [`PeerTable`] holds the entry VMs that this one knows and whether they are in reach.
//! [`PeerMessage`] lists the messages; the payload of each variant belongs to the module that sends
//! it. [`PeerSeal`] signs and verifies them. Each VM sends to a bounded number of others, whatever
//! the size of the cluster: exchanges take the peers in turn, news are forwarded along
//! [`broadcast_targets`], and reports are aggregated along the [`ReportTree`] of each data centre.

use super::*;

mod aggregate_report;
mod broadcast;
mod digest;
mod key_ring;
mod member_view;
mod message;
mod peer_state;
mod peer_table;
mod rendezvous;
mod replay_window;
mod report_tree;
mod seal;
mod withdrawal_set;

pub use {
    aggregate_report::{AggregateReport, RevisionCount, ServerLoad},
    broadcast::broadcast_targets,
    digest::ExchangeDigest,
    key_ring::KeyRing,
    member_view::{ListStamp, MemberDelta, MemberView},
    message::{PeerMessage, PeerName},
    peer_state::PeerState,
    peer_table::PeerTable,
    rendezvous::{first_vm, last_vm, rank_vms, rendezvous_weight},
    replay_window::ReplayWindow,
    report_tree::{ReportMessage, ReportTree},
    seal::{PeerSeal, SealError},
    withdrawal_set::{Withdrawal, WithdrawalSet},
};
