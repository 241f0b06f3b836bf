use super::*;

/// The crashes of servers that others crashed together with.
///
/// A subject that crashes servers does so one by one, or is present at all of them. Servers that
/// crash at the same moment under different subjects have a common cause outside: a rack, a
/// release, or servers that go down and up together.
#[derive(Debug)]
pub(super) struct SharedCrashes<'a> {
    /// The known crashes, one for each server and moment, sorted by time.
    crashes: Vec<&'a ServerCrash>,
}

impl<'a> SharedCrashes<'a> {
    /// The longest time between two crashes of one moment.
    const MOMENT_MS: u64 = 250;
    /// The number of servers from which on a moment counts as shared: more crash at random, and
    /// less than a subject of several requests a second crashes.
    const SERVERS: usize = 4;

    pub(super) fn of(entries: impl Iterator<Item = &'a CrashEntry>) -> Self {
        let recorded = entries.flat_map(|entry| &entry.crashes);
        let mut crashes: Vec<&ServerCrash> = recorded.map(|known| &known.crash).collect();
        crashes.sort_by_key(|crash| (crash.ended, &crash.server));
        crashes.dedup_by(|crash, other| crash.server == other.server && crash.ended == other.ended);
        Self { crashes }
    }

    /// Removes the crashes of a subject that happened together with those of so many other servers
    /// that it was present at less than half of them.
    pub(super) fn remove_explained(&self, crashes: &mut Vec<&ServerCrash>) {
        let of_subject = crashes.clone();
        crashes.retain(|crash| {
            let all = Self::servers_at(&self.crashes, crash.ended);
            let own = Self::servers_at(&of_subject, crash.ended);
            all < Self::SERVERS || own * 2 >= all
        });
    }

    /// Returns the number of servers that crashed around a time. `crashes` are sorted by time.
    fn servers_at(crashes: &[&ServerCrash], at: Millis) -> usize {
        let moment = Millis(Self::MOMENT_MS);
        let first = crashes.partition_point(|crash| crash.ended + moment < at);
        let near = crashes[first..].iter().take_while(|crash| crash.ended <= at + moment);
        near.map(|crash| &crash.server).collect::<BTreeSet<_>>().len()
    }
}
