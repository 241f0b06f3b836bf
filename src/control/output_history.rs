use super::*;

/// The mean number of tokens that a team's requests generate, by the model they ask for.
#[derive(Clone, Debug, Default)]
pub(super) struct OutputHistory {
    means: FxHashMap<(TeamId, SmolStr, bool), (f64, u32)>,
}

impl OutputHistory {
    /// The least weight of a new observation in the moving average.
    const MIN_WEIGHT: f64 = 0.05;
    /// The observations needed before the mean is used.
    const MIN_OBSERVATIONS: u32 = 20;
    /// The prompt size from which requests are averaged separately.
    const LARGE_PROMPT_TOKENS: u64 = 2_000;
    /// The factor that raises the mean so that it covers most requests.
    const MARGIN: f64 = 1.5;

    fn key(team: &TeamId, model: &str, prompt: Tokens) -> (TeamId, SmolStr, bool) {
        (team.clone(), model.into(), prompt.0 >= Self::LARGE_PROMPT_TOKENS)
    }

    /// Records the tokens that a request generated.
    pub(super) fn observe(&mut self, team: &TeamId, model: &str, prompt: Tokens, output: Tokens) {
        let (mean, count) = self.means.entry(Self::key(team, model, prompt)).or_default();
        *count = count.saturating_add(1);
        let weight = Self::MIN_WEIGHT.max(1.0 / f64::from(*count));
        *mean += weight * (output.0 as f64 - *mean);
    }

    /// Returns the tokens that a request with the limit `most` is expected to generate.
    pub(super) fn expect(
        &self,
        team: &TeamId,
        model: &str,
        prompt: Tokens,
        limit: Tokens,
    ) -> Tokens {
        let known = self.means.get(&Self::key(team, model, prompt));
        let known = known.filter(|(_, count)| *count >= Self::MIN_OBSERVATIONS);
        known.map_or(limit, |(mean, _)| Tokens(limit.0.min((mean * Self::MARGIN) as u64 + 1)))
    }
}
