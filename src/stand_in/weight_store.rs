//! The weight store of the fake platform.

use super::*;
use reply::{error_reply, json_reply};

/// Serves downloads of model weights, with a limit on the downloads started each second.
#[derive(Debug)]
pub struct WeightStore {
    state: Mutex<WeightState>,
    downloads: RunCounter,
}

#[derive(Debug)]
struct WeightState {
    per_second: u32,
    download_time: Duration,
    window_start: Instant,
    in_window: u32,
}

impl Default for WeightStore {
    fn default() -> Self {
        let state = WeightState {
            per_second: Self::DEFAULT_DOWNLOADS_PER_SECOND,
            download_time: Duration::ZERO,
            window_start: Instant::now(),
            in_window: 0,
        };
        Self { state: Mutex::new(state), downloads: RunCounter::default() }
    }
}

impl WeightStore {
    const DEFAULT_DOWNLOADS_PER_SECOND: u32 = 4;
    const WINDOW: Duration = Duration::from_secs(1);

    /// Sets how many downloads may start in a second, and the duration of each.
    pub fn set_rate(&self, per_second: u32, download_time: Duration) {
        let mut state = lock(&self.state);
        state.per_second = per_second;
        state.download_time = download_time;
    }

    /// Returns the counter of downloads, by version, and of refused ones.
    #[must_use]
    pub const fn downloads(&self) -> &RunCounter {
        &self.downloads
    }

    pub(super) async fn answer(&self, version: &str) -> Response<ReplyBody> {
        let Some(time) = self.admit(Instant::now()) else {
            self.downloads.refuse();
            let mut response = error_reply(StatusCode::TOO_MANY_REQUESTS, "rate_limited");
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(Self::WINDOW.as_secs()));
            return response;
        };
        self.downloads.start(version);
        fault_switches::pause(time).await;
        self.downloads.finish();
        json_reply(StatusCode::OK, &serde_json::json!({"version": version}))
    }

    fn admit(&self, now: Instant) -> Option<Duration> {
        let mut state = lock(&self.state);
        if now.duration_since(state.window_start) >= Self::WINDOW {
            state.window_start = now;
            state.in_window = 0;
        }
        if state.in_window >= state.per_second {
            return None;
        }
        state.in_window += 1;
        Some(state.download_time)
    }
}
