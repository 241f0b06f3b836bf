//! Applying the orders to evacuate data centres.

use super::*;

/// State of reading the orders.
#[derive(Clone, Debug, Default)]
pub(in crate::gateway) struct EvacuationReads {
    /// The orders that the complete read under way has listed; none if there is no such read.
    listed: Option<BTreeSet<DataCentreId>>,
    /// Whether this VM has logged that it may not know the orders in force.
    is_unaware: bool,
    /// Requests that were refused while servers of their pool were closed.
    withheld: u64,
}

impl Gateway {
    /// Applies an order to evacuate a data centre or to take it back.
    pub(in crate::gateway) fn apply_evacuation(&mut self, now: Millis, order: &EvacuationOrder) {
        let age = self.lease.age(now);
        let age_ms = age.map(|age| age.0);
        let source = self.relay.source.as_ref().map(VmId::as_str);
        let centre = order.data_centre();
        let in_flight = self.servers.in_flight_in(centre);
        match order {
            EvacuationOrder::Evacuate(_) => {
                let bound = self.bounds.evacuate_ms;
                if self.servers.evacuated.evacuate(now, centre, age, bound) {
                    tracing::info!(
                        data_centre = %centre,
                        knowledge_age_ms = age_ms,
                        source,
                        in_flight,
                        is_closed = self.servers.evacuated.is_closed(centre),
                        "data centre is being evacuated: its servers get no more requests"
                    );
                }
            }
            EvacuationOrder::TakeBack(_) => {
                if self.servers.evacuated.take_back(centre) {
                    tracing::info!(
                        data_centre = %centre,
                        knowledge_age_ms = age_ms,
                        source,
                        "data centre is taken back: its servers may get requests again"
                    );
                    self.cool_servers_of(now, centre);
                }
            }
            EvacuationOrder::Unreadable { cause, .. } => {
                let is_evacuated = self.servers.evacuated.iter().any(|known| known == centre);
                tracing::warn!(
                    data_centre = %centre,
                    %cause,
                    is_evacuated,
                    "ignoring unreadable order to evacuate a data centre; the one before holds"
                );
            }
        }
    }

    /// Closes the data centres whose departure is over, and logs if this VM may not know all
    /// orders.
    pub(in crate::gateway) fn advance_evacuations(&mut self, now: Millis) {
        for (centre, is_for_all) in self.servers.evacuated.close_due(now) {
            let in_flight = self.servers.in_flight_in(&centre);
            tracing::info!(
                data_centre = %centre,
                in_flight,
                is_for_all,
                "evacuated data centre is closed: only requests under way remain"
            );
        }
        let Some(age) = self.lease.age(now) else { return };
        let is_unaware = age > self.bounds.evacuate_ms;
        if is_unaware == self.evacuation_reads.is_unaware {
            return;
        }
        self.evacuation_reads.is_unaware = is_unaware;
        if is_unaware {
            tracing::warn!(
                knowledge_age_ms = age.0,
                "orders to evacuate may be unknown: the operators' records are too old"
            );
        } else {
            tracing::info!(knowledge_age_ms = age.0, "orders to evacuate are known again");
        }
    }

    /// Starts to collect the orders of a complete read that begins with this answer.
    pub(in crate::gateway) fn start_evacuation_list(&mut self) {
        self.evacuation_reads.listed = Some(BTreeSet::new());
    }

    /// Collects the orders of a page of a complete read.
    pub(in crate::gateway) fn collect_evacuations(&mut self, records: &[StreamRecord]) {
        if let Some(listed) = &mut self.evacuation_reads.listed {
            listed.extend(records.iter().filter_map(StreamRecord::listed_evacuation));
        }
    }

    /// Ends the evacuations that a complete read up to the offset `end` did not list.
    pub(in crate::gateway) fn end_evacuation_list(&mut self, now: Millis, end: Offset) {
        if let Some(listed) = self.evacuation_reads.listed.take() {
            self.end_unlisted_evacuations(now, end, &listed);
        }
    }

    /// Ends the evacuations that a complete read up to the offset `end` does not list, unless this
    /// VM has a later order.
    pub(in crate::gateway) fn end_unlisted_evacuations(
        &mut self,
        now: Millis,
        end: Offset,
        listed: &BTreeSet<DataCentreId>,
    ) {
        // The record with the offset `end` is a later one.
        let Some(last) = end.0.checked_sub(1) else { return };
        let known = self.servers.evacuated.iter().filter(|centre| !listed.contains(*centre));
        for centre in known.cloned().collect::<Vec<_>>() {
            let record = StoreRecord::Evacuation(EvacuationOrder::TakeBack(centre));
            self.apply_records(now, &[StreamRecord { offset: Offset(last), record }]);
        }
    }

    /// Logs and counts a request that is refused while servers of its pool are closed.
    pub(in crate::gateway) fn record_withheld(&mut self, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else { return };
        let closed = self.servers.closed_count(&state.pool);
        if closed > 0 {
            self.evacuation_reads.withheld += 1;
            tracing::info!(
                request = request.0,
                pool = %state.pool,
                closed,
                "no server: those of the pool are in evacuated data centres"
            );
        }
    }

    /// Returns the number of evacuated data centres.
    #[must_use]
    pub fn evacuated_centres(&self) -> usize {
        self.servers.evacuated.iter().count()
    }

    /// Returns for how long this VM has known the oldest order in force.
    #[must_use]
    pub fn evacuation_age(&self, now: Millis) -> Millis {
        self.servers.evacuated.age(now).unwrap_or_default()
    }

    /// Returns this VM's requests under way at servers of evacuated data centres.
    #[must_use]
    pub fn evacuating_requests(&self) -> u32 {
        self.servers.evacuated.iter().map(|centre| self.servers.in_flight_in(centre)).sum()
    }

    /// Returns the number of requests that found no server while servers of their pool were closed.
    #[must_use]
    pub const fn withheld_sends(&self) -> u64 {
        self.evacuation_reads.withheld
    }
}
