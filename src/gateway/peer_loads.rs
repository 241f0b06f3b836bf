//! The outstanding load of other entry VMs at the backend servers.
//!
//! A server reports its load only in answers, which arrive late. The VMs of a data centre therefore
//! report their own outstanding load with each poll to the VM that reads the store for them (the
//! reader), and receive the sum of all others' in return. The readers exchange the sums of their
//! data centres. A sum that is not renewed expires soon. Otherwise VMs that know only their own
//! requests would send long prompts to the same engine at the same time.

use super::*;

/// Loads, and when they were received.
#[derive(Clone, Debug, Default)]
struct DatedSum {
    sum: LoadTotals,
    received: Millis,
}

/// The loads that other VMs reported.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    followers: BTreeMap<VmId, DatedSum>,
    centres: BTreeMap<DataCentreId, DatedSum>,
    reader: DatedSum,
}

impl PeerLoads {
    /// The time after which a sum expires: a few intervals between two messages.
    pub const EXPIRY: Millis = Millis(700);

    /// Replaces the load of a VM that polls this one.
    pub fn set_follower(&mut self, now: Millis, vm: &VmId, sum: LoadTotals) {
        self.followers.insert(vm.clone(), DatedSum { sum, received: now });
    }

    /// Replaces the sum of the loads of another data centre.
    pub fn set_centre(&mut self, now: Millis, centre: &DataCentreId, sum: LoadTotals) {
        self.centres.insert(centre.clone(), DatedSum { sum, received: now });
    }

    /// Replaces the sum of the loads of all other VMs, as received from this VM's reader.
    pub fn set_reader(&mut self, now: Millis, sum: LoadTotals) {
        self.reader = DatedSum { sum, received: now };
    }

    /// Returns whether the last answer of this VM's reader has expired.
    #[must_use]
    pub fn is_reader_silent(&self, now: Millis) -> bool {
        now.since(self.reader.received) >= Self::EXPIRY
    }

    /// Returns the sum of the loads of this VM and the VMs that poll it.
    #[must_use]
    pub fn of_centre(&self, now: Millis, own: &LoadTotals) -> LoadTotals {
        let mut total = own.clone();
        Self::fresh(now, self.followers.values()).for_each(|sum| total.add_all(sum));
        total
    }

    /// Returns the sum of the loads of all VMs except one that polls this VM.
    #[must_use]
    pub fn all_but(&self, now: Millis, own: &LoadTotals, follower: &VmId) -> LoadTotals {
        let mut total = own.clone();
        let others = self.followers.iter().filter(|(vm, _)| *vm != follower);
        Self::fresh(now, others.map(|(_, dated)| dated)).for_each(|sum| total.add_all(sum));
        Self::fresh(now, self.centres.values()).for_each(|sum| total.add_all(sum));
        total
    }

    /// Returns the sum of the loads of all other VMs, as far as this one knows.
    #[must_use]
    pub fn others(&self, now: Millis) -> LoadTotals {
        let mut total = LoadTotals::default();
        let all = self.followers.values().chain(self.centres.values());
        Self::fresh(now, all.chain([&self.reader])).for_each(|sum| total.add_all(sum));
        total
    }

    fn fresh<'a>(
        now: Millis,
        sums: impl Iterator<Item = &'a DatedSum>,
    ) -> impl Iterator<Item = &'a LoadTotals> {
        let fresh = sums.filter(move |dated| now.since(dated.received) < Self::EXPIRY);
        fresh.map(|dated| &dated.sum)
    }
}
