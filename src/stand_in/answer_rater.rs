//! The rating service of the stand-in platform.

use super::*;
use reply::{error_reply, json_reply};

/// Rates answers good or bad with the configured probability of their version. The same request and
/// version always get the same score.
#[derive(Debug)]
pub struct AnswerRater {
    seed: u64,
    good_shares: Mutex<BTreeMap<SmolStr, Share>>,
    ratings: AtomicU64,
    poor: Mutex<BTreeMap<SmolStr, BTreeSet<SmolStr>>>,
    faults: FaultSwitches,
}

#[derive(Deserialize)]
struct RatingRequest {
    request: SmolStr,
    version: SmolStr,
}

impl AnswerRater {
    const DEFAULT_GOOD_SHARE: f64 = 0.9;
    const GOOD_SCORE: f64 = 0.9;
    const BAD_SCORE: f64 = 0.1;

    pub(super) fn new(seed: u64) -> Self {
        Self {
            seed,
            good_shares: Mutex::default(),
            ratings: AtomicU64::new(0),
            poor: Mutex::default(),
            faults: FaultSwitches::default(),
        }
    }

    /// Sets the share of good answers of a version, written `model@version`. The default is 0.9.
    pub fn set_good_share(&self, version: &str, share: Share) {
        lock(&self.good_shares).insert(version.into(), share);
    }

    /// Returns how many valid rating requests arrived, including those whose answers were lost.
    #[must_use]
    pub fn ratings(&self) -> u64 {
        self.ratings.load(Ordering::SeqCst)
    }

    /// Returns the versions, written `model@version`, whose answers were rated bad for requests
    /// that contain `text`.
    #[must_use]
    pub fn rated_poor(&self, text: &str) -> BTreeSet<SmolStr> {
        let poor = lock(&self.poor);
        let matching = poor.iter().filter(|(request, _)| request.contains(text));
        matching.flat_map(|(_, versions)| versions.iter().cloned()).collect()
    }

    /// Returns the faults injected into the rating service.
    #[must_use]
    pub const fn faults(&self) -> &FaultSwitches {
        &self.faults
    }

    /// Returns the score of a version's answer to a request: 0.9 if good, 0.1 if bad.
    #[must_use]
    pub fn score(&self, request: &str, version: &str) -> f64 {
        let share = lock(&self.good_shares)
            .get(version)
            .map_or(Self::DEFAULT_GOOD_SHARE, |share| share.get());
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(
            format!("{request}\n{version}").as_bytes(),
            self.seed,
        );
        let draw = hash as f64 / u64::MAX as f64;
        if draw < share { Self::GOOD_SCORE } else { Self::BAD_SCORE }
    }

    pub(super) async fn answer(&self, body: &[u8]) -> Answer {
        if self.faults.outage() {
            return Ok(error_reply(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        fault_switches::pause(self.faults.delay()).await;
        let Ok(request) = serde_json::from_slice::<RatingRequest>(body) else {
            return Ok(error_reply(StatusCode::BAD_REQUEST, "bad_rating"));
        };
        self.ratings.fetch_add(1, Ordering::SeqCst);
        if self.faults.take_lost_answer() {
            return Err(ConnectionCut);
        }
        let score = self.score(&request.request, &request.version);
        if score < Self::GOOD_SCORE {
            lock(&self.poor).entry(request.request).or_default().insert(request.version);
        }
        Ok(json_reply(StatusCode::OK, &serde_json::json!({"score": score})))
    }
}
