//! What a valid document says that cannot have the intended effect.

use super::*;

/// Returns warnings about entries that can never match and limits that contradict each other. The
/// document has passed [`check_document`].
#[must_use]
pub fn advise(document: &ConfigurationDocument) -> Vec<Advice> {
    let mut advice = Vec::new();
    for (id, pool) in &document.pools {
        advise_pool(document, id, pool, &mut advice);
    }
    for (id, model) in &document.models {
        advise_model(document, id, model, &mut advice);
    }
    for id in document.services.keys() {
        if !document.teams.values().any(|team| team.services.contains(id)) {
            let text = "No team may use the service.";
            let mend = "Add it to \"services\" of a team, or remove it.";
            advice.push(Advice::warning(format!("services.{id}"), text, mend));
        }
    }
    for (id, team) in &document.teams {
        advise_team(document, id, team, &mut advice);
    }
    for (id, preset) in &document.presets {
        advise_preset(id, preset, &mut advice);
    }
    advice
}

fn advise_pool(
    document: &ConfigurationDocument,
    id: &PoolId,
    pool: &PoolEntry,
    advice: &mut Vec<Advice>,
) {
    let is_used = document.versions().any(|(_, version)| version.pool == *id)
        || document.services.values().any(|service| service.pool == *id);
    if !is_used {
        let text = "No version and no service runs in the pool.";
        advice.push(Advice::warning(format!("pools.{id}"), text, "Name it in one, or remove it."));
    }
    for (version, entry) in document.versions().filter(|(_, version)| version.pool == *id) {
        let field = format!("models.{}.versions.{}", version.model, version.version);
        if entry.first_token_ms >= pool.progress_timeout_ms {
            let text = format!(
                "Its first token takes {}, but the pool gives a run up after {}.",
                entry.first_token_ms, pool.progress_timeout_ms
            );
            let mend = "Raise the pool's \"progress_timeout_ms\".";
            advice.push(Advice::warning(format!("{field}.first_token_ms"), text, mend));
        }
        if pool.memory_bytes.0 > 0 && entry.memory_bytes.0 > pool.memory_bytes.0 {
            let text =
                format!("It needs {}, a server has {}.", entry.memory_bytes, pool.memory_bytes);
            let mend = "Choose another pool, or correct \"memory_bytes\".";
            advice.push(Advice::warning(format!("{field}.memory_bytes"), text, mend));
        }
    }
}

fn advise_model(
    document: &ConfigurationDocument,
    id: &ModelId,
    model: &ModelEntry,
    advice: &mut Vec<Advice>,
) {
    let field = format!("models.{id}");
    let is_allowed = |version: &SmolStr| {
        let version = VersionId { model: id.clone(), version: version.clone() };
        document.teams.values().any(|team| team.allows(&version))
    };
    if !model.versions.keys().any(is_allowed) {
        let text = "No team may use the model.";
        let mend = "Add it to \"allowed\" of a team, or remove it.";
        advice.push(Advice::warning(&field, text, mend));
    }
    let stable = model.versions.get(&model.stable);
    if stable.is_some_and(|stable| stable.state == VersionState::Withdrawn) {
        let text = "The stable version is withdrawn, so it takes no new requests.";
        let mend = "Name a live version, or make this one live.";
        advice.push(Advice::warning(format!("{field}.stable"), text, mend));
    }
    let Some(plan) = &model.rollout else { return };
    if plan.to == model.stable {
        let text = "The rollout goes to the version that is stable already.";
        advice.push(Advice::warning(format!("{field}.rollout.to"), text, "Remove the rollout."));
    }
    for (index, pair) in plan.stages.windows(2).enumerate() {
        if pair[1].share.get() < pair[0].share.get() {
            let text = "The share is lower than that of the stage before it.";
            let path = format!("{field}.rollout.stages.{}.share", index + 1);
            advice.push(Advice::warning(path, text, "Let the shares rise."));
        }
    }
}

fn advise_team(
    document: &ConfigurationDocument,
    id: &TeamId,
    team: &TeamEntry,
    advice: &mut Vec<Advice>,
) {
    let field = |name: &str| format!("teams.{id}.{name}");
    if team.allowed.is_empty() && team.services.is_empty() {
        let text = "The team may use no model and no service.";
        let mend = "Add \"allowed\" or \"services\".";
        advice.push(Advice::warning(format!("teams.{id}"), text, mend));
    }
    if team.keys.is_empty() {
        let text = "The team has no keys, so nobody can call as it.";
        advice.push(Advice::warning(field("keys"), text, "Add a key, or remove the team."));
    }
    for (index, allowed) in team.allowed.iter().enumerate() {
        let model = allowed.split('@').next().unwrap_or_default();
        let is_covered = team.allowed.iter().enumerate().any(|(other, entry)| {
            other != index && (entry == model || (entry == allowed && other < index))
        });
        if is_covered && (allowed.contains('@') || team.allowed[..index].contains(allowed)) {
            let text = format!("\"{allowed}\" is allowed by another entry already.");
            advice.push(Advice::warning(field(&format!("allowed.{index}")), text, "Remove one."));
        }
    }
    let limits = [
        ("rate", team.limits.rate.is_some_and(|rate| rate.0 <= 0.0)),
        ("concurrent", team.limits.concurrent == Some(0)),
        ("tokens", team.limits.tokens.is_some_and(|tokens| tokens.0 <= 0.0)),
    ];
    for (name, _) in limits.iter().filter(|(_, is_zero)| *is_zero) {
        let text = "The limit is 0, so every request of the team is refused.";
        advice.push(Advice::warning(field(&format!("limits.{name}")), text, "Raise or remove it."));
    }
    let usable = document.versions().filter(|(version, _)| team.allows(version));
    if let Some(quickest) = usable.map(|(_, entry)| entry.first_token_ms).min()
        && quickest >= team.deadline_ms
    {
        let text = format!(
            "The deadline is {}, but the quickest model's first token takes {quickest}.",
            team.deadline_ms
        );
        advice.push(Advice::warning(field("deadline_ms"), text, "Raise it."));
    }
    for service in &team.services {
        let expected = document.services.get(service).map(|service| service.expected_ms);
        if let Some(expected) = expected.filter(|expected| *expected >= team.deadline_ms) {
            let text = format!(
                "The deadline is {}, but a call of \"{service}\" takes {expected}.",
                team.deadline_ms
            );
            advice.push(Advice::warning(field("deadline_ms"), text, "Raise it."));
        }
    }
}

fn advise_preset(id: &PresetId, preset: &PresetEntry, advice: &mut Vec<Advice>) {
    let field = |name: &str| format!("presets.{id}.{name}");
    if preset.limit_factor == 0.0 {
        let text = "The factor is 0, so every team with a limit is refused.";
        advice.push(Advice::warning(field("limit_factor"), text, "Raise it."));
    }
    if preset.long_factor == 0.0 {
        let text = "The factor is 0, so long requests get no slot.";
        advice.push(Advice::warning(field("long_factor"), text, "Raise it."));
    }
    if preset.queue_limit == 0 {
        let text = "Nothing may wait, so requests are refused while all slots are taken.";
        advice.push(Advice::warning(field("queue_limit"), text, "Raise it."));
    }
    for (index, team) in preset.shed_first.iter().enumerate() {
        if preset.shed_first[..index].contains(team) {
            let text = format!("\"{team}\" is in the list already.");
            advice.push(Advice::warning(field(&format!("shed_first.{index}")), text, "Remove it."));
        }
    }
}
