use super::*;

/// Validates a document, including the references between its entries.
///
/// # Errors
///
/// Returns the first error: schema, pools, models, services, teams, presets, preset in force.
pub fn check_document(document: &ConfigurationDocument) -> Result<(), ConfigurationError> {
    if document.schema != ConfigurationDocument::SCHEMA {
        return Err(ConfigurationError::Schema { found: document.schema });
    }
    for (id, pool) in &document.pools {
        check_pool(id, pool)?;
    }
    for (id, model) in &document.models {
        check_model(document, id, model)?;
    }
    for (id, service) in &document.services {
        check_service(document, id, service)?;
    }
    check_teams(document)?;
    for (id, preset) in &document.presets {
        check_preset(document, id, preset)?;
    }
    require_known("preset", &document.preset, document.presets.contains_key(&document.preset))
}

fn require_known(
    field: impl Display,
    name: impl Display,
    found: bool,
) -> Result<(), ConfigurationError> {
    if found {
        return Ok(());
    }
    Err(ConfigurationError::Unknown {
        field: field.to_string().into(),
        name: name.to_string().into(),
    })
}

fn require_range(
    field: impl Display,
    found: impl Display,
    holds: bool,
    expected: &str,
) -> Result<(), ConfigurationError> {
    if holds {
        return Ok(());
    }
    Err(ConfigurationError::Range {
        field: field.to_string().into(),
        found: found.to_string().into(),
        expected: expected.into(),
    })
}

fn finite_from_zero(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

fn check_pool(id: &PoolId, pool: &PoolEntry) -> Result<(), ConfigurationError> {
    let field = |name: &str| format!("pools.{id}.{name}");
    require_range(field("slots"), pool.slots, pool.slots > 0, "at least 1")?;
    require_range(
        field("long_slots"),
        pool.long_slots,
        (1..=pool.slots).contains(&pool.long_slots),
        "from 1 to \"slots\"",
    )?;
    require_range(
        field("progress_timeout_ms"),
        pool.progress_timeout_ms.0,
        pool.progress_timeout_ms.0 > 0,
        "at least 1",
    )
}

fn check_model(
    document: &ConfigurationDocument,
    id: &ModelId,
    model: &ModelEntry,
) -> Result<(), ConfigurationError> {
    let field = |name: &str| format!("models.{id}.{name}");
    require_known(field("stable"), &model.stable, model.versions.contains_key(&model.stable))?;
    for (name, version) in &model.versions {
        check_version(document, &field(&format!("versions.{name}")), version)?;
    }
    let Some(plan) = &model.rollout else { return Ok(()) };
    require_known(field("rollout.to"), &plan.to, model.versions.contains_key(&plan.to))?;
    require_range(
        field("rollout.stage"),
        plan.stage,
        plan.stage < plan.stages.len(),
        "the index of one of \"stages\"",
    )
}

fn check_version(
    document: &ConfigurationDocument,
    path: &str,
    version: &VersionEntry,
) -> Result<(), ConfigurationError> {
    let pool = document.pools.get(&version.pool);
    let is_engine = pool.is_some_and(|pool| pool.kind == PoolKind::Engine);
    require_known(format!("{path}.pool"), &version.pool, is_engine)?;
    let costs = [
        ("cost_per_million_prompt_tokens", version.cost_per_million_prompt_tokens),
        ("cost_per_million_output_tokens", version.cost_per_million_output_tokens),
    ];
    for (name, cost) in costs {
        require_range(format!("{path}.{name}"), cost.0, finite_from_zero(cost.0), "at least 0")?;
    }
    let rate = version.stream_rate.0;
    require_range(
        format!("{path}.stream_rate"),
        rate,
        rate.is_finite() && rate > 0.0,
        "more than 0 tokens a second",
    )
}

fn check_service(
    document: &ConfigurationDocument,
    id: &ServiceId,
    service: &ServiceEntry,
) -> Result<(), ConfigurationError> {
    let pool = document.pools.get(&service.pool);
    let is_service = pool.is_some_and(|pool| pool.kind == PoolKind::Service);
    require_known(format!("services.{id}.pool"), &service.pool, is_service)?;
    let cost = service.cost_per_call.0;
    require_range(
        format!("services.{id}.cost_per_call"),
        cost,
        finite_from_zero(cost),
        "at least 0",
    )
}

fn check_teams(document: &ConfigurationDocument) -> Result<(), ConfigurationError> {
    let mut keys: BTreeMap<&str, SmolStr> = BTreeMap::new();
    for (id, team) in &document.teams {
        check_team(document, id, team)?;
        for (index, key) in team.keys.iter().enumerate() {
            let path = SmolStr::new(format!("teams.{id}.keys.{index}.sha256"));
            let is_hash = key.sha256.len() == 64
                && key.sha256.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
            require_range(&path, &key.sha256, is_hash, "64 lower-case hexadecimal digits")?;
            if let Some(first) = keys.insert(&key.sha256, path.clone()) {
                return Err(ConfigurationError::SharedKey { first, second: path });
            }
        }
    }
    Ok(())
}

fn check_team(
    document: &ConfigurationDocument,
    id: &TeamId,
    team: &TeamEntry,
) -> Result<(), ConfigurationError> {
    let field = |name: &str| format!("teams.{id}.{name}");
    for allowed in &team.allowed {
        let found = document.models.iter().any(|(model, entry)| match allowed.split_once('@') {
            None => allowed.as_str() == model.as_str(),
            Some((name, version)) => name == model.as_str() && entry.versions.contains_key(version),
        });
        require_known(field("allowed"), allowed, found)?;
    }
    for service in &team.services {
        require_known(field("services"), service, document.services.contains_key(service))?;
    }
    require_range(
        field("weight"),
        team.weight,
        team.weight.is_finite() && team.weight > 0.0,
        "more than 0",
    )?;
    require_range(field("deadline_ms"), team.deadline_ms.0, team.deadline_ms.0 > 0, "at least 1")
}

fn check_preset(
    document: &ConfigurationDocument,
    id: &PresetId,
    preset: &PresetEntry,
) -> Result<(), ConfigurationError> {
    let field = |name: &str| format!("presets.{id}.{name}");
    let offset = preset.quality_offset;
    require_range(field("quality_offset"), offset, (-1.0..=1.0).contains(&offset), "from -1 to 1")?;
    for (name, factor) in
        [("limit_factor", preset.limit_factor), ("long_factor", preset.long_factor)]
    {
        require_range(field(name), factor, finite_from_zero(factor), "at least 0")?;
    }
    for team in &preset.shed_first {
        require_known(field("shed_first"), team, document.teams.contains_key(team))?;
    }
    Ok(())
}
