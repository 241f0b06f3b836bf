use super::*;
use cadence::MetricSink;
use hdrhistogram::Histogram;

/// Collects the counters, gauges and histograms of this process for the `/metrics` endpoint.
#[derive(Clone, Debug, Default)]
pub struct MetricPage {
    values: Arc<Mutex<MetricValues>>,
}

#[derive(Debug, Default)]
struct MetricValues {
    numbers: BTreeMap<SmolStr, i64>,
    histograms: BTreeMap<SmolStr, Histogram<u64>>,
}

impl MetricPage {
    const PREFIX: &'static str = "guavapass";

    /// Returns a client whose metrics are collected here.
    #[must_use]
    pub fn client(&self) -> MetricClient {
        MetricClient::to_sink(Self::PREFIX, self.clone())
    }

    /// Returns all metrics as text: one line for each counter and gauge, and four lines for each
    /// histogram (the count and the 50th, 95th and 99th percentiles).
    #[must_use]
    pub fn text(&self) -> String {
        use fmt::Write;
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (name, number) in &values.numbers {
            let _ = writeln!(text, "{name} {number}");
        }
        for (name, histogram) in &values.histograms {
            let _ = writeln!(text, "{name}.count {}", histogram.len());
            for percent in [50.0, 95.0, 99.0] {
                let value = histogram.value_at_percentile(percent);
                let _ = writeln!(text, "{name}.p{percent:.0} {value}");
            }
        }
        text
    }

    fn record(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let mut fields = rest.split('|');
        let value = fields.next()?;
        let kind = fields.next()?;
        let tag = fields.next().and_then(|tags| tags.strip_prefix('#'));
        let name = tag.map_or_else(|| name.into(), |tag| SmolStr::new(format!("{name}.{tag}")));
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        match kind {
            "c" => *values.numbers.entry(name).or_default() += value.parse::<i64>().ok()?,
            "g" => drop(values.numbers.insert(name, value.parse().ok()?)),
            _ => {
                let histogram = values.histograms.entry(name).or_insert_with(Self::histogram);
                histogram.saturating_record(value.parse().ok()?);
            }
        }
        Some(())
    }

    /// Returns an empty histogram of milliseconds, up to ten minutes.
    fn histogram() -> Histogram<u64> {
        const HIGHEST_MS: u64 = 600_000;
        const DIGITS: u8 = 1;
        Histogram::new_with_bounds(1, HIGHEST_MS, DIGITS)
            .unwrap_or_else(|error| unreachable!("the bounds are constant: {error}"))
    }
}

impl MetricSink for MetricPage {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        if self.record(metric).is_none() {
            tracing::debug!(metric, "cannot parse metric");
        }
        Ok(metric.len())
    }
}
