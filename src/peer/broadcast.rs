use super::*;

/// Returns the peers to which a VM forwards an announcement: those 1, 4, 16, … places after it in a
/// ring of all VMs in reach, ordered by data centre and id.
///
/// An announcement reaches all of `n` VMs in at most `3 · log₄ n` hops. Each VM sends to `log₄ n`
/// others and receives from as many, so that the loss of some messages causes little delay.
#[must_use]
pub fn broadcast_targets(own: &VmIdentity, peers: &PeerTable) -> Vec<VmId> {
    const BASE: usize = 4;
    let mut ring: Vec<(&DataCentreId, &VmId)> = peers
        .iter()
        .filter(|peer| peer.is_in_reach())
        .map(|peer| (&peer.data_centre, &peer.vm))
        .chain([(&own.data_centre, &own.vm)])
        .collect();
    ring.sort_unstable();
    let position_in_ring = ring.iter().position(|(_, vm)| **vm == own.vm).unwrap_or(0);
    let distances = std::iter::successors(Some(1), |distance| Some(distance * BASE));
    distances
        .take_while(|distance| *distance < ring.len())
        .map(|distance| ring[(position_in_ring + distance) % ring.len()].1.clone())
        .collect()
}
