use super::*;

/// Returns the peers that pass on a VM's news: those 1, 4, 16, … places after it in a ring of all
/// VMs in reach, ordered by data centre and name.
///
/// News reach all of `n` VMs in at most `3 · log₄ n` steps, each VM sends to `log₄ n` others, and
/// each hears them from as many, so that the loss of some messages delays them little.
#[must_use]
pub fn spread_targets(own: &VmIdentity, peers: &PeerTable) -> Vec<VmId> {
    const BASE: usize = 4;
    let mut ring: Vec<(&DataCentreId, &VmId)> = peers
        .iter()
        .filter(|peer| peer.is_in_reach())
        .map(|peer| (&peer.data_centre, &peer.vm))
        .chain([(&own.data_centre, &own.vm)])
        .collect();
    ring.sort_unstable();
    let place = ring.iter().position(|(_, vm)| **vm == own.vm).unwrap_or(0);
    let steps = std::iter::successors(Some(1), |step| Some(step * BASE));
    steps
        .take_while(|step| *step < ring.len())
        .map(|step| ring[(place + step) % ring.len()].1.clone())
        .collect()
}
