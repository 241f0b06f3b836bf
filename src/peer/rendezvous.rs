use super::*;

/// Returns the weight of a VM for a key in rendezvous hashing. The VM with the greatest weight
/// ranks first.
#[must_use]
pub fn rendezvous_weight(key: &str, vm: &VmId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(
        vm.as_str().as_bytes(),
        xxhash_rust::xxh3::xxh3_64(key.as_bytes()),
    )
}

/// Returns VMs by rendezvous rank for a key, the first in rank first.
pub fn rank_vms<'a>(key: &str, vms: impl IntoIterator<Item = &'a VmId>) -> Vec<VmId> {
    let mut weighted: Vec<(u64, &VmId)> =
        vms.into_iter().map(|vm| (rendezvous_weight(key, vm), vm)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, vm)| vm.clone()).collect()
}

/// Returns the VM that ranks last for a key, if there is any.
pub fn last_vm<'a>(key: &str, vms: impl IntoIterator<Item = &'a VmId>) -> Option<&'a VmId> {
    vms.into_iter().min_by_key(|vm| (rendezvous_weight(key, vm), *vm))
}

/// Returns the VM that ranks first for a key, if there is any.
pub fn first_vm<'a>(key: &str, vms: impl IntoIterator<Item = &'a VmId>) -> Option<&'a VmId> {
    vms.into_iter().max_by_key(|vm| (rendezvous_weight(key, vm), *vm))
}
