//! Medians, ranges and the lines of the tables.

/// Returns a quantile of samples, or zero of none.
pub fn quantile(samples: &[f64], share: f64) -> f64 {
    if samples.is_empty() {
        return 0.0;
    }
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted[index.clamp(1, sorted.len()) - 1]
}

/// Returns the median and range of one figure per seed.
pub fn spread(samples: &[f64]) -> String {
    let (low, high) = (quantile(samples, 0.0), quantile(samples, 1.0));
    format!("{:.3} ({low:.3} to {high:.3})", quantile(samples, 0.5))
}

/// Prints a line of a table.
pub fn line(measure: &str, deployment: &str, found: &str, target: &str) {
    println!("| {measure} | {deployment} | {found} | {target} |");
}

/// Prints the head of a table.
pub fn head(title: &str) {
    println!("\n### {title}\n\n| measure | deployment | median (range) over seeds | target |");
    println!("|---|---|---|---|");
}
