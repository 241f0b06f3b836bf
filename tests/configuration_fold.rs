//! Applying the records of the configuration stream, with snapshots, trimmed and restored logs.

use guavapass::{
    configuration::*,
    ids::{Offset, Revision},
    ports::{LogPage, LogRecord},
};

const DOCUMENT: &str = include_str!("support/document.json");

fn document() -> ConfigurationDocument {
    serde_json::from_str(DOCUMENT).unwrap()
}

fn record(publication: &str, base: u64, change: ConfigurationChange) -> String {
    let publication = publication.into();
    let record = ConfigurationRecord { schema: 1, publication, base: Revision(base), change };
    serde_json::to_string(&record).unwrap()
}

fn whole(publication: &str, base: u64) -> String {
    record(publication, base, ConfigurationChange::Document(Box::new(document())))
}

fn preset(publication: &str, base: u64, name: &str) -> String {
    record(publication, base, ConfigurationChange::Preset(name.parse().unwrap()))
}

fn snapshot(base: u64, as_of: u64, preset: &str) -> String {
    let document = ConfigurationDocument { preset: preset.parse().unwrap(), ..document() };
    let document = Box::new(document);
    record("snapshot", base, ConfigurationChange::Snapshot { as_of: Offset(as_of), document })
}

/// An in-memory log stream.
#[derive(Default)]
struct TextLog {
    oldest: u64,
    records: Vec<String>,
}

impl TextLog {
    fn of(records: &[String]) -> Self {
        Self { oldest: 0, records: records.to_vec() }
    }

    fn trim(&mut self, oldest: u64) {
        self.records.drain(..(oldest - self.oldest) as usize);
        self.oldest = oldest;
    }

    fn page(&self, from: Offset) -> LogPage {
        let all = self.records.iter().enumerate().map(|(index, record)| LogRecord {
            offset: Offset(self.oldest + index as u64),
            record: record.clone().into_bytes().into(),
        });
        let records: Vec<LogRecord> = all.filter(|record| record.offset >= from).collect();
        let next = Offset(self.oldest + self.records.len() as u64);
        LogPage { oldest: Offset(self.oldest), next, records }
    }

    /// Applies all records and returns the outcomes of the publications, in order.
    fn fold_into(&self, fold: &mut ConfigurationFold) -> Vec<(String, PublicationOutcome)> {
        let mut decided = Vec::new();
        for _ in 0..100 {
            if fold.next() < Offset(self.oldest) {
                fold.trimmed(Offset(self.oldest));
            }
            let from = fold.next();
            let report = fold.fold_page(from, &self.page(from));
            let outcomes = report.outcomes.into_iter();
            decided.extend(outcomes.map(|(name, outcome)| (name.to_string(), outcome)));
            if fold.next() == self.page(from).next && !report.restored {
                return decided;
            }
        }
        panic!("the fold did not reach the end of the log within 100 pages");
    }
}

fn preset_of(fold: &ConfigurationFold) -> &str {
    fold.document().unwrap().preset.as_str()
}

fn is_rejected(outcome: &PublicationOutcome) -> bool {
    matches!(outcome, PublicationOutcome::Rejected(_))
}

#[test]
fn fold_racing_publications() {
    let log = TextLog::of(&[whole("a", 0), preset("b", 1, "peak"), preset("c", 1, "maintenance")]);
    let mut fold = ConfigurationFold::default();
    let decided = log.fold_into(&mut fold);
    assert_eq!(decided[1].1, PublicationOutcome::Accepted(Revision(2)));
    assert!(is_rejected(&decided[2].1), "{decided:?}");
    assert_eq!(preset_of(&fold), "peak");
}

#[test]
fn fold_repeated_publication() {
    let repeated = preset("b", 1, "peak");
    let log =
        TextLog::of(&[whole("a", 0), repeated.clone(), preset("c", 2, "maintenance"), repeated]);
    let mut fold = ConfigurationFold::default();
    let decided = log.fold_into(&mut fold);
    assert_eq!(decided[3], ("b".into(), PublicationOutcome::Accepted(Revision(2))));
    assert_eq!(fold.revision(), Revision(3));
    assert_eq!(preset_of(&fold), "maintenance");
}

#[test]
fn fold_repeated_after_outcome_evicted() {
    let repeated = preset("first", 1, "peak");
    let mut records = vec![whole("a", 0), repeated.clone()];
    for index in 0..=ConfigurationFold::OUTCOME_LIMIT as u64 {
        let name = if index % 2 == 0 { "ordinary" } else { "peak" };
        records.push(preset(&format!("p-{index}"), index + 2, name));
    }
    records.push(repeated);
    let mut fold = ConfigurationFold::default();
    let decided = TextLog::of(&records).fold_into(&mut fold);
    assert!(is_rejected(&decided.last().unwrap().1));
    assert_eq!(fold.revision(), Revision(records.len() as u64 - 1));
}

#[test]
fn fold_unknown_kind_skipped() {
    let unknown = r#"{"schema":1,"publication":"u","base":1,"change":{"rename":"x"}}"#.into();
    let newer = preset("n", 1, "peak").replace("\"schema\":1", "\"schema\":2");
    let log = TextLog::of(&[whole("a", 0), unknown, newer, "garbage".into()]);
    let mut fold = ConfigurationFold::default();
    let decided = log.fold_into(&mut fold);
    assert_eq!(decided.len(), 1);
    assert_eq!((fold.revision(), fold.next()), (Revision(1), Offset(4)));
}

#[test]
fn fold_malformed_rejected() {
    let malformed = r#"{"schema":1,"publication":"m","base":1,"change":{"preset":7}}"#.into();
    let unchecked = preset("p", 1, "absent");
    let log = TextLog::of(&[whole("a", 0), malformed, unchecked]);
    let mut fold = ConfigurationFold::default();
    let decided = log.fold_into(&mut fold);
    assert!(is_rejected(&decided[1].1) && is_rejected(&decided[2].1), "{decided:?}");
    assert_eq!(fold.revision(), Revision(1));
}

#[test]
fn snapshot_changes_nothing() {
    let log = TextLog::of(&[
        whole("a", 0),
        preset("b", 1, "peak"),
        snapshot(2, 2, "peak"),
        preset("c", 2, "maintenance"),
        snapshot(2, 2, "peak"),
    ]);
    let mut fold = ConfigurationFold::default();
    log.fold_into(&mut fold);
    assert_eq!((fold.revision(), preset_of(&fold)), (Revision(3), "maintenance"));
}

#[test]
fn trimmed_start_needs_snapshot() {
    let mut log = TextLog::of(&[whole("a", 0), preset("b", 1, "peak"), preset("c", 2, "ordinary")]);
    log.trim(1);
    let mut fold = ConfigurationFold::default();
    let decided = log.fold_into(&mut fold);
    assert!(fold.document().is_none() && fold.has_gap() && decided.is_empty(), "{decided:?}");
    log.records.push(snapshot(3, 3, "ordinary"));
    log.fold_into(&mut fold);
    assert_eq!((fold.revision(), fold.has_gap()), (Revision(3), false));
}

#[test]
fn trimmed_records_need_snapshot() {
    let mut log = TextLog::of(&[whole("a", 0)]);
    let mut fold = ConfigurationFold::default();
    log.fold_into(&mut fold);
    log.records.push(preset("b", 1, "peak"));
    log.records.push(preset("late", 1, "maintenance"));
    log.trim(2);
    log.fold_into(&mut fold);
    assert_eq!((fold.revision(), preset_of(&fold)), (Revision(1), "ordinary"));
    log.records.push(snapshot(2, 3, "peak"));
    log.fold_into(&mut fold);
    assert_eq!((fold.revision(), preset_of(&fold)), (Revision(2), "peak"));
}

#[test]
fn snapshot_of_lagging_author() {
    let mut log = TextLog::of(&[
        whole("a", 0),
        preset("b", 1, "peak"),
        preset("c", 2, "maintenance"),
        snapshot(1, 1, "ordinary"),
    ]);
    log.trim(1);
    let mut fold = ConfigurationFold::default();
    log.fold_into(&mut fold);
    assert_eq!((fold.revision(), preset_of(&fold)), (Revision(3), "maintenance"));
}

#[test]
fn restored_log_keeps_revision() {
    let mut log = TextLog::of(&[whole("a", 0), preset("b", 1, "peak"), preset("c", 2, "ordinary")]);
    let mut fold = ConfigurationFold::default();
    log.fold_into(&mut fold);
    log.records.truncate(1);
    log.fold_into(&mut fold);
    assert_eq!((fold.revision(), fold.next()), (Revision(3), Offset(1)));
    log.records.push(snapshot(3, 1, "ordinary"));
    let mut fresh = ConfigurationFold::default();
    log.fold_into(&mut fresh);
    assert_eq!(fresh.stamp(), fold.stamp());
}

#[test]
fn restored_log_found_by_anchor() {
    let mut log = TextLog::of(&[whole("a", 0), preset("b", 1, "peak")]);
    let mut fold = ConfigurationFold::default();
    log.fold_into(&mut fold);
    log.records.truncate(1);
    log.records.push(preset("x", 1, "maintenance"));
    log.records.push(preset("y", 2, "maintenance"));
    let from = fold.anchor();
    assert!(fold.fold_page(from, &log.page(from)).restored);
    log.fold_into(&mut fold);
    assert_eq!((fold.revision(), preset_of(&fold)), (Revision(3), "maintenance"));
}

#[test]
fn adopt_state_of_peer() {
    let log = TextLog::of(&[whole("a", 0), preset("b", 1, "peak")]);
    let mut ahead = ConfigurationFold::default();
    log.fold_into(&mut ahead);
    let mut behind = ConfigurationFold::default();
    assert!(behind.adopt(&ahead.state().unwrap()));
    assert_eq!((behind.stamp(), behind.next()), (ahead.stamp(), Offset(2)));
    assert_eq!(behind.outcome("b"), Some(&PublicationOutcome::Accepted(Revision(2))));
    let older = ahead.state().unwrap();
    let more = TextLog::of(&[whole("a", 0), preset("b", 1, "peak"), preset("c", 2, "ordinary")]);
    more.fold_into(&mut behind);
    assert!(!behind.adopt(&older));
    assert_eq!(behind.revision(), Revision(3));
}
