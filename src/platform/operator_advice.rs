//! Checks a configuration of routes before an operator sends it.

use super::{
    operator_records::{CONFIGURATION_KEY, WireConfiguration, WireRoute, WireSplit, parse},
    *,
};

/// Returns errors and warnings about a configuration of routes.
#[must_use]
pub fn advise_operator_document(value: &[u8]) -> Vec<Advice> {
    let read = read_operator_record(CONFIGURATION_KEY, value);
    if let Some(StoreRecord::Unreadable { cause, .. }) = read {
        return vec![Advice {
            level: AdviceLevel::Error,
            field: SmolStr::default(),
            text: format!("The routes cannot be read: {cause}.").into(),
            mend: "Correct the field that is named.".into(),
        }];
    }
    let Ok(wire) = parse::<WireConfiguration>(value) else { return Vec::new() };
    let mut advice = Vec::new();
    let mut warn = |field: String, text: String, mend: &str| {
        advice.push(Advice::warning(field, text, mend));
    };
    if wire.routes.is_empty() {
        let text = "There are no routes, so no request is served.";
        warn("routes".into(), text.into(), "Add a route.");
    }
    for (index, route) in wire.routes.iter().enumerate() {
        let field = format!("routes.{index}");
        if let Some(first) = wire.routes[..index].iter().find(|first| {
            first.host.eq_ignore_ascii_case(&route.host) && first.path_prefix == route.path_prefix
        }) {
            let text = format!(
                "The route {} never matches: {} has its host and prefix.",
                route.name, first.name
            );
            warn(format!("{field}.path_prefix"), text, "Remove one, or give it another prefix.");
        }
        if !route.path_prefix.starts_with('/') {
            let text = format!("The route {} never matches: paths begin with a slash.", route.name);
            warn(format!("{field}.path_prefix"), text, "Let the prefix begin with a slash.");
        }
        if route.host.contains(':') {
            let text = format!(
                "The route {} never matches: hosts are compared without ports.",
                route.name
            );
            warn(format!("{field}.host"), text, "Remove the port.");
        }
        for (name, text, mend) in contradictions(route) {
            warn(format!("{field}.{name}"), format!("The route {} {text}.", route.name), mend);
        }
    }
    for (name, limit) in [
        ("max_header_bytes", wire.limits.max_header_bytes),
        ("max_body_bytes", wire.limits.max_body_bytes),
    ] {
        if limit == Some(0) {
            let text = "The limit is 0, so requests that have any are refused.";
            warn(format!("limits.{name}"), text.into(), "Raise it.");
        }
    }
    let tenants = wire.tenants.unwrap_or_default();
    let mut keys: BTreeMap<&str, &TeamId> = BTreeMap::new();
    for (index, tenant) in tenants.iter().enumerate() {
        let field = format!("tenants.{index}.api_keys");
        if tenant.api_keys.is_empty() {
            let text = format!("{} has no keys, so nobody can call as it.", tenant.name);
            warn(field.clone(), text, "Add a key, or remove the entry.");
        }
        for (key_index, key) in tenant.api_keys.iter().enumerate() {
            if let Some(first) = keys.insert(key, &tenant.name) {
                let text = format!(
                    "The key appears twice, for {first} and {}; the last counts.",
                    tenant.name
                );
                warn(format!("{field}.{key_index}"), text, "Remove one.");
            }
        }
    }
    advice
}

/// Returns the limits of a route that contradict each other: field, clause, and mend.
fn contradictions(route: &WireRoute) -> Vec<(&'static str, &'static str, &'static str)> {
    let objective = route.target_latency_ms;
    let no_weight =
        |split: &[WireSplit]| !split.is_empty() && !split.iter().any(|part| part.weight > 0.0);
    let rules = [
        (route.timeout_ms < 1.0, "timeout_ms", "has no time at all", "Raise it."),
        (
            objective.is_some_and(|objective| objective < 1.0),
            "target_latency_ms",
            "can never be on time",
            "Raise it, or remove it.",
        ),
        (
            objective.is_some_and(|objective| objective > route.timeout_ms),
            "timeout_ms",
            "ends before an answer is late",
            "Raise it to \"target_latency_ms\" at least.",
        ),
        (
            route.max_attempts == Some(0),
            "max_attempts",
            "may not run; it counts as 1",
            "Write 1 or more.",
        ),
        (
            route.kind == "unsafe" && route.max_attempts.is_some_and(|attempts| attempts > 1),
            "max_attempts",
            "runs once at most, as its kind is \"unsafe\"",
            "Write 1, or correct the kind.",
        ),
        (
            route.kind != "streaming" && route.resumable,
            "resumable",
            "has no stream to resume",
            "Remove it, or correct the kind.",
        ),
        (
            route.gap_aim_ms.is_some_and(|pause| pause < 1.0),
            "gap_aim_ms",
            "allows no pause between events",
            "Raise it, or remove it.",
        ),
        (no_weight(&route.traffic_split), "traffic_split", "gives no pool a weight", "Raise one."),
    ];
    rules
        .into_iter()
        .filter(|(holds, ..)| *holds)
        .map(|(_, field, text, mend)| (field, text, mend))
        .collect()
}
