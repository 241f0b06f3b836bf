use super::*;

/// The evacuated data centres as this VM knows them.
///
/// The servers of such a data centre get no more requests once [`Self::close_due`] has closed it.
/// Before that, more and more prompt parts leave it, so that the servers of the others do not have
/// to process all of them at the same moment. The last open servers of a pool get its requests for
/// longer, as long as the bound allows: another server may be back until then.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedCentres {
    centres: BTreeMap<DataCentreId, Departure>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Departure {
    learned: Millis,
    /// When the data centre is closed.
    closes: Millis,
    /// When it is closed for pools that have no other server, too.
    ends: Millis,
    stage: DepartureStage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DepartureStage {
    Leaving,
    Closed,
    ClosedForAll,
}

impl Departure {
    fn stage(&self, now: Millis) -> DepartureStage {
        match now {
            _ if now >= self.ends => DepartureStage::ClosedForAll,
            _ if now >= self.closes => DepartureStage::Closed,
            _ => DepartureStage::Leaving,
        }
    }

    /// Returns when the next stage begins.
    const fn next(&self) -> Option<Millis> {
        match self.stage {
            DepartureStage::Leaving => Some(self.closes),
            DepartureStage::Closed => Some(self.ends),
            DepartureStage::ClosedForAll => None,
        }
    }
}

impl EvacuatedCentres {
    /// The longest time over which prompt parts leave.
    const MAX_DEPARTURE_MS: u64 = 1_000;
    /// The same, as a part of the bound.
    const DEPARTURE_PART: u64 = 4;
    /// The part of the bound at which a data centre is closed at the latest. The rest is for
    /// requests that wait for a connection.
    const LATEST_PART: u64 = 2;

    /// Records an order that was given at most `age` ago, or at an unknown time. Returns whether it
    /// is new.
    pub fn evacuate(
        &mut self,
        now: Millis,
        centre: &DataCentreId,
        age: Option<Millis>,
        bound: Millis,
    ) -> bool {
        if self.centres.contains_key(centre) {
            return false;
        }
        let latest = Millis(bound.0 / Self::LATEST_PART);
        let left = age.map(|age| latest.since(age)).unwrap_or_default();
        let longest = Self::MAX_DEPARTURE_MS.min(bound.0 / Self::DEPARTURE_PART);
        let closes = now + left.min(Millis(longest));
        let stage = DepartureStage::Leaving;
        let mut departure = Departure { learned: now, closes, ends: now + left, stage };
        departure.stage = departure.stage(now);
        self.centres.insert(centre.clone(), departure);
        true
    }

    /// Records the end of an evacuation. Returns whether there was one.
    pub fn take_back(&mut self, centre: &DataCentreId) -> bool {
        self.centres.remove(centre).is_some()
    }

    /// Closes the data centres whose departure is over, and returns those that are closed now, with
    /// whether they are for pools without another server, too.
    pub fn close_due(&mut self, now: Millis) -> Vec<(DataCentreId, bool)> {
        let mut closed = Vec::new();
        for (centre, departure) in &mut self.centres {
            let stage = departure.stage(now);
            if stage > departure.stage {
                departure.stage = stage;
                closed.push((centre.clone(), stage == DepartureStage::ClosedForAll));
            }
        }
        closed
    }

    /// Returns when the next data centre is to be closed.
    #[must_use]
    pub fn next(&self) -> Option<Millis> {
        self.centres.values().filter_map(Departure::next).min()
    }

    /// Returns whether the servers of a data centre must get no requests.
    #[must_use]
    pub fn is_closed(&self, centre: &DataCentreId) -> bool {
        self.centres.get(centre).is_some_and(|departure| departure.stage > DepartureStage::Leaving)
    }

    /// Returns whether the servers of a data centre may get the requests of a pool that has no other
    /// server.
    #[must_use]
    pub fn is_last_resort(&self, centre: &DataCentreId) -> bool {
        self.centres.get(centre).is_some_and(|departure| departure.stage == DepartureStage::Closed)
    }

    /// Returns whether a prompt part has left a data centre. Once it has, it stays away.
    #[must_use]
    pub fn has_left(&self, now: Millis, centre: &DataCentreId, part: u64) -> bool {
        let Some(departure) = self.centres.get(centre) else { return false };
        let span = departure.closes.since(departure.learned).0.max(1) as f64;
        let over = now.since(departure.learned).0 as f64 / span;
        let place = xxh3_64(&part.to_le_bytes()) as f64 / u64::MAX as f64;
        departure.stage > DepartureStage::Leaving || place <= over
    }

    /// Returns the data centres with an order in force.
    pub fn iter(&self) -> impl Iterator<Item = &DataCentreId> {
        self.centres.keys()
    }

    /// Returns whether no data centre is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.centres.is_empty()
    }

    /// Returns for how long this VM has known the oldest order in force.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.centres.values().map(|departure| now.since(departure.learned)).max()
    }
}
