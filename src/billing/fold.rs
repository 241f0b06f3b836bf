use super::*;

/// The bills, folded from the records of the `bills` stream in any order and any repetition.
///
/// The first final record of a key wins, and a final record beats open ones. A void record takes
/// back the open ones of the same request.
#[derive(Clone, Debug, Default)]
pub struct BillFold {
    entries: BTreeMap<BillKey, BillEntry>,
}

#[derive(Clone, Debug, Default)]
struct BillEntry {
    last: Option<BillRecord>,
    open: BTreeMap<RequestId, BillRecord>,
    void: BTreeSet<RequestId>,
}

/// What a key is billed.
#[derive(Clone, Debug, PartialEq)]
pub enum BillState<'a> {
    /// The final record.
    Settled(&'a BillRecord),
    /// An open record whose end nobody knows.
    Unsettled(&'a BillRecord),
}

impl BillFold {
    /// Folds a record of the stream.
    pub fn fold(&mut self, record: &LogRecord) {
        match rmp_serde::from_slice::<Vec<BillRecord>>(&record.record) {
            Ok(batch) => batch.into_iter().for_each(|bill| self.add(bill)),
            Err(error) => tracing::warn!(offset = %record.offset, %error, "bills record skipped"),
        }
    }

    /// Folds a bill.
    pub fn add(&mut self, bill: BillRecord) {
        let entry = self.entries.entry(bill.key.clone()).or_default();
        match bill.stage {
            BillStage::Final { .. } => {
                entry.last.get_or_insert(bill);
            }
            BillStage::Open { .. } => {
                entry.open.entry(bill.request.clone()).or_insert(bill);
            }
            BillStage::Void => {
                entry.void.insert(bill.request);
            }
        }
    }

    /// Returns what each key is billed; keys of requests that did not run are left out.
    pub fn bills(&self) -> impl Iterator<Item = (&BillKey, BillState<'_>)> {
        self.entries.iter().filter_map(|(key, entry)| {
            if let Some(bill) = &entry.last {
                return Some((key, BillState::Settled(bill)));
            }
            let unsettled = entry.open.values().find(|bill| !entry.void.contains(&bill.request))?;
            Some((key, BillState::Unsettled(unsettled)))
        })
    }
}
