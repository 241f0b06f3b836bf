use super::*;

/// The evacuated data centres as this VM knows them.
///
/// The servers of such a data centre get no more requests once [`Self::close_due`] has closed it.
/// Before that, more and more prompt parts leave it, so that the servers of the others do not have
/// to process all of them at the same moment.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedCentres {
    centres: BTreeMap<DataCentreId, Departure>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Departure {
    learned: Millis,
    closes: Millis,
    is_closed: bool,
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
        let departure = Departure { learned: now, closes, is_closed: closes <= now };
        self.centres.insert(centre.clone(), departure);
        true
    }

    /// Records the end of an evacuation. Returns whether there was one.
    pub fn take_back(&mut self, centre: &DataCentreId) -> bool {
        self.centres.remove(centre).is_some()
    }

    /// Closes the data centres whose departure is over, and returns them.
    pub fn close_due(&mut self, now: Millis) -> Vec<DataCentreId> {
        let mut closed = Vec::new();
        for (centre, departure) in &mut self.centres {
            if !departure.is_closed && departure.closes <= now {
                departure.is_closed = true;
                closed.push(centre.clone());
            }
        }
        closed
    }

    /// Returns when the next data centre is to be closed.
    #[must_use]
    pub fn next(&self) -> Option<Millis> {
        let open = self.centres.values().filter(|departure| !departure.is_closed);
        open.map(|departure| departure.closes).min()
    }

    /// Returns whether the servers of a data centre must get no requests.
    #[must_use]
    pub fn is_closed(&self, centre: &DataCentreId) -> bool {
        self.centres.get(centre).is_some_and(|departure| departure.is_closed)
    }

    /// Returns whether a prompt part has left a data centre. Once it has, it stays away.
    #[must_use]
    pub fn has_left(&self, now: Millis, centre: &DataCentreId, part: u64) -> bool {
        let Some(departure) = self.centres.get(centre) else { return false };
        let span = departure.closes.since(departure.learned).0.max(1) as f64;
        let over = now.since(departure.learned).0 as f64 / span;
        let place = xxh3_64(&part.to_le_bytes()) as f64 / u64::MAX as f64;
        departure.is_closed || place <= over
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
