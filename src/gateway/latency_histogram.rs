use super::*;

/// Histogram of latencies per kind of work, with logarithmic buckets about a fifth wide.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LatencyHistogram {
    counts: BTreeMap<WorkKind, BTreeMap<u8, u32>>,
}

/// The kind of work of an answer, so that only like latencies are compared: a hash of the route,
/// the model and the measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkKind(u32);

/// Which latency of an answer is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LatencyMeasure {
    /// Time to the first event of the answer.
    First,
    /// Time to the end of the answer.
    Whole,
}

impl WorkKind {
    /// Returns the kind of work of a route's answers. `model` is `None` for routes without models.
    #[must_use]
    pub fn of(route: &str, model: Option<&ModelId>, measure: LatencyMeasure) -> Self {
        let model = model.map_or("", ModelId::as_str);
        Self(xxh3_64(format!("{route} {model} {measure:?}").as_bytes()) as u32)
    }
}

impl LatencyHistogram {
    /// Number of buckets in which a latency doubles.
    const BUCKETS_PER_DOUBLING: f64 = 4.0;
    /// Added to each latency before it is put into a bucket, so that the distance between two data
    /// centres and a few ms of work make no difference.
    const OFFSET_MS: u64 = 16;
    /// Maximum number of kinds that are kept: many times those that get enough requests to be
    /// compared.
    const KIND_LIMIT: usize = 64;
    /// Minimum number of answers of a kind for a latency to be ranked among them.
    const MIN_RANKED: u32 = 6;

    /// Adds the latency of one answer.
    pub fn add(&mut self, kind: WorkKind, took: Millis) {
        self.add_count(kind, Self::bucket(took), 1);
    }

    /// Adds the latencies of another histogram.
    pub fn add_all(&mut self, other: &Self) {
        for (kind, counts) in &other.counts {
            for (bucket, count) in counts {
                self.add_count(*kind, *bucket, *count);
            }
        }
    }

    /// Returns whether no latency has been added.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Returns the fraction of the answers of a kind that were faster, where those in the same
    /// bucket count half. `None` if there are too few answers.
    #[must_use]
    pub fn rank(&self, kind: WorkKind, took: Millis) -> Option<f64> {
        self.rank_of_bucket(kind, Self::bucket(took))
    }

    /// Returns how many latencies of another histogram can be ranked in this one, and their mean
    /// rank.
    #[must_use]
    pub fn mean_rank(&self, other: &Self) -> (u32, f64) {
        let (mut answers, mut sum) = (0, 0.0);
        for (kind, counts) in &other.counts {
            for (bucket, count) in counts {
                let Some(rank) = self.rank_of_bucket(*kind, *bucket) else { continue };
                answers += count;
                sum += rank * f64::from(*count);
            }
        }
        (answers, sum / f64::from(answers.max(1)))
    }

    fn rank_of_bucket(&self, kind: WorkKind, bucket: u8) -> Option<f64> {
        let counts = self.counts.get(&kind)?;
        let total: u32 = counts.values().sum();
        let below: u32 = counts.range(..bucket).map(|(_, count)| count).sum();
        let equal = counts.get(&bucket).copied().unwrap_or_default();
        let rank = (f64::from(below) + f64::from(equal) / 2.0) / f64::from(total.max(1));
        (total >= Self::MIN_RANKED).then_some(rank)
    }

    fn add_count(&mut self, kind: WorkKind, bucket: u8, count: u32) {
        if self.counts.len() < Self::KIND_LIMIT || self.counts.contains_key(&kind) {
            let sum = self.counts.entry(kind).or_default().entry(bucket).or_default();
            *sum = sum.saturating_add(count);
        }
    }

    fn bucket(took: Millis) -> u8 {
        (((took.0 + Self::OFFSET_MS) as f64).log2() * Self::BUCKETS_PER_DOUBLING) as u8
    }
}
