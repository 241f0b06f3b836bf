use super::*;

/// How many answers took how long, by kind of work, in steps of a fifth.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeSketch {
    counts: BTreeMap<WorkKind, BTreeMap<u8, u32>>,
}

/// What is compared of answers that are alike: a hash of their route, their model and the measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkKind(u32);

/// A time that is measured of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceMeasure {
    /// Up to the first event.
    First,
    /// Up to the end.
    Whole,
}

impl WorkKind {
    /// Returns the kind of a request's answers.
    #[must_use]
    pub fn of(route: &str, model: Option<&ModelId>, measure: PaceMeasure) -> Self {
        let model = model.map_or("", ModelId::as_str);
        Self(xxh3_64(format!("{route} {model} {measure:?}").as_bytes()) as u32)
    }
}

impl TimeSketch {
    /// The steps in which a time doubles.
    const STEPS: f64 = 4.0;
    /// Added to each time: what two data centres lie apart, and a few ms of work, tell nothing.
    const FLOOR_MS: u64 = 16;
    /// The kinds that are kept: many times those that get enough requests to be compared.
    const KIND_LIMIT: usize = 64;
    /// The answers of a kind from which a time can be ranked among them.
    const LEAST_RANKED: u32 = 6;

    /// Counts an answer.
    pub fn add(&mut self, kind: WorkKind, took: Millis) {
        self.add_count(kind, Self::step(took), 1);
    }

    /// Adds the answers of another sketch.
    pub fn add_all(&mut self, other: &Self) {
        for (kind, counts) in &other.counts {
            for (step, count) in counts {
                self.add_count(*kind, *step, *count);
            }
        }
    }

    /// Returns whether there are no answers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Returns the part of the answers of a kind that took less time, half of those that took as
    /// long included; none if there are too few.
    #[must_use]
    pub fn rank(&self, kind: WorkKind, took: Millis) -> Option<f64> {
        self.rank_of_step(kind, Self::step(took))
    }

    /// Returns the number of another sketch's answers that can be ranked, and their mean rank.
    #[must_use]
    pub fn mean_rank(&self, other: &Self) -> (u32, f64) {
        let (mut answers, mut sum) = (0, 0.0);
        for (kind, counts) in &other.counts {
            for (step, count) in counts {
                let Some(rank) = self.rank_of_step(*kind, *step) else { continue };
                answers += count;
                sum += rank * f64::from(*count);
            }
        }
        (answers, sum / f64::from(answers.max(1)))
    }

    fn rank_of_step(&self, kind: WorkKind, step: u8) -> Option<f64> {
        let counts = self.counts.get(&kind)?;
        let total: u32 = counts.values().sum();
        let below: u32 = counts.range(..step).map(|(_, count)| count).sum();
        let equal = counts.get(&step).copied().unwrap_or_default();
        let rank = (f64::from(below) + f64::from(equal) / 2.0) / f64::from(total.max(1));
        (total >= Self::LEAST_RANKED).then_some(rank)
    }

    fn add_count(&mut self, kind: WorkKind, step: u8, count: u32) {
        if self.counts.len() < Self::KIND_LIMIT || self.counts.contains_key(&kind) {
            let sum = self.counts.entry(kind).or_default().entry(step).or_default();
            *sum = sum.saturating_add(count);
        }
    }

    fn step(took: Millis) -> u8 {
        (((took.0 + Self::FLOOR_MS) as f64).log2() * Self::STEPS) as u8
    }
}
