use super::*;

/// The bills that result from the records of the `bills` stream, which may be repeated and in any
/// order.
///
/// The first final record of a key counts and takes precedence over open ones. A void record
/// cancels the open records of the same request.
#[derive(Clone, Debug, Default)]
pub struct BillFold {
    entries: BTreeMap<BillKey, BillEntry>,
}

#[derive(Clone, Debug, Default)]
struct BillEntry {
    final_record: Option<BillRecord>,
    open_records: BTreeMap<RequestId, BillRecord>,
    voided: BTreeSet<RequestId>,
}

/// The bill of one key.
#[derive(Clone, Debug, PartialEq)]
pub enum BillState<'a> {
    /// The first final record of the key.
    Settled(&'a BillRecord),
    /// An open record of a request whose outcome no entry VM has recorded.
    Unsettled(&'a BillRecord),
}

impl BillFold {
    /// Applies a record of the stream. A record that cannot be decoded is logged and skipped.
    pub fn fold(&mut self, record: &LogRecord) {
        match rmp_serde::from_slice::<Vec<BillRecord>>(&record.record) {
            Ok(batch) => batch.into_iter().for_each(|bill| self.add(bill)),
            Err(error) => tracing::warn!(offset = %record.offset, %error, "bills record skipped"),
        }
    }

    /// Applies one bill of a record.
    pub fn add(&mut self, bill: BillRecord) {
        let entry = self.entries.entry(bill.key.clone()).or_default();
        match bill.stage {
            BillStage::Final { .. } => {
                entry.final_record.get_or_insert(bill);
            }
            BillStage::Open { .. } => {
                entry.open_records.entry(bill.request.clone()).or_insert(bill);
            }
            BillStage::Void => {
                entry.voided.insert(bill.request);
            }
        }
    }

    /// Returns the bill of each key. Keys whose requests certainly did not run are omitted.
    pub fn bills(&self) -> impl Iterator<Item = (&BillKey, BillState<'_>)> {
        self.entries.iter().filter_map(|(key, entry)| {
            if let Some(bill) = &entry.final_record {
                return Some((key, BillState::Settled(bill)));
            }
            let unsettled =
                entry.open_records.values().find(|bill| !entry.voided.contains(&bill.request))?;
            Some((key, BillState::Unsettled(unsettled)))
        })
    }
}
