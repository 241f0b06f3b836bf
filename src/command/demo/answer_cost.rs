use super::*;

/// Returns the cost of an answer at the prices of the configuration; 0 if it names no known version.
pub(super) fn answer_cost(document: &ConfigurationDocument, result: &DemoResult) -> Cost {
    let service = |name: &str| {
        let id = name.parse::<ServiceId>().ok()?;
        document.services.get(&id).map(|entry| entry.cost_per_call)
    };
    let cost = match result.call.kind {
        CallKind::Booking => service("crew-booking"),
        CallKind::Lookup => service("slot-status"),
        CallKind::Question | CallKind::Dossier => {
            result.version().and_then(|version| model_cost(document, result, &version))
        }
    };
    cost.unwrap_or_default()
}

/// Returns the cost of an answer's tokens at the prices of a version, or `None` if the version is
/// not configured or the answer states no usage.
pub(super) fn model_cost(
    document: &ConfigurationDocument,
    result: &DemoResult,
    version: &VersionId,
) -> Option<Cost> {
    let entry = document.version(version)?;
    let (prompt, output) = result.outcome.usage()?;
    let prompt_cost = prompt.0 as f64 * entry.cost_per_million_prompt_tokens.0;
    let output_cost = output.0 as f64 * entry.cost_per_million_output_tokens.0;
    Some(Cost((prompt_cost + output_cost) / 1e6))
}
