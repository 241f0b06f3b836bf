//! What other entry VMs have sent to the backend servers.
//!
//! A server tells its load only in answers, which come late. The VMs of a data centre therefore
//! tell the one that reads the store for them what they have sent, with their polls, and get the
//! sum of all others back. Those that read exchange the sums of their data centres. A sum that was
//! not renewed is soon forgotten. Answers load patterns in which VMs that know only their own
//! requests send long prompts to the same engine at the same time.

use super::*;

/// Loads, and when they were heard of.
#[derive(Clone, Debug, Default)]
struct DatedSum {
    sum: LoadSum,
    heard: Millis,
}

/// The loads that others have told.
#[derive(Clone, Debug, Default)]
pub struct SharedLoads {
    followers: BTreeMap<VmId, DatedSum>,
    centres: BTreeMap<DataCentreId, DatedSum>,
    reader: DatedSum,
}

impl SharedLoads {
    /// The time for which a sum counts: a few of the pauses between two messages.
    const MEMORY_MS: u64 = 700;

    /// Takes in what a VM has sent that follows this one.
    pub fn take_follower(&mut self, now: Millis, vm: &VmId, sum: LoadSum) {
        self.followers.insert(vm.clone(), DatedSum { sum, heard: now });
    }

    /// Takes in what the VMs of another data centre have sent.
    pub fn take_centre(&mut self, now: Millis, centre: &DataCentreId, sum: LoadSum) {
        self.centres.insert(centre.clone(), DatedSum { sum, heard: now });
    }

    /// Takes in what all others have sent, as this VM's reader tells it.
    pub fn take_reader(&mut self, now: Millis, sum: LoadSum) {
        self.reader = DatedSum { sum, heard: now };
    }

    /// Returns what this data centre's VMs have sent, with this VM's own.
    #[must_use]
    pub fn of_centre(&self, now: Millis, own: &LoadSum) -> LoadSum {
        let mut total = own.clone();
        Self::fresh(now, self.followers.values()).for_each(|sum| total.add_all(sum));
        total
    }

    /// Returns what all VMs but a follower have sent.
    #[must_use]
    pub fn all_but(&self, now: Millis, own: &LoadSum, follower: &VmId) -> LoadSum {
        let mut total = own.clone();
        let others = self.followers.iter().filter(|(vm, _)| *vm != follower);
        Self::fresh(now, others.map(|(_, dated)| dated)).for_each(|sum| total.add_all(sum));
        Self::fresh(now, self.centres.values()).for_each(|sum| total.add_all(sum));
        total
    }

    /// Returns what all other VMs have sent, as far as this one knows.
    #[must_use]
    pub fn others(&self, now: Millis) -> LoadSum {
        let mut total = LoadSum::default();
        let all = self.followers.values().chain(self.centres.values());
        Self::fresh(now, all.chain([&self.reader])).for_each(|sum| total.add_all(sum));
        total
    }

    fn fresh<'a>(
        now: Millis,
        sums: impl Iterator<Item = &'a DatedSum>,
    ) -> impl Iterator<Item = &'a LoadSum> {
        let fresh = sums.filter(move |dated| now.since(dated.heard).0 < Self::MEMORY_MS);
        fresh.map(|dated| &dated.sum)
    }
}
