use super::*;

/// How many tokens a team's requests usually generate, by model asked for.
#[derive(Clone, Debug, Default)]
pub(super) struct OutputHistory {
    means: FxHashMap<(TeamId, SmolStr, bool), (f64, u32)>,
}

impl OutputHistory {
    const STEP: f64 = 0.05;
    const FEW: u32 = 20;
    /// The prompt size from which requests are counted apart.
    const LARGE_PROMPT_TOKENS: u64 = 2_000;
    /// The factor on the mean that covers most requests.
    const MARGIN: f64 = 1.5;

    fn key(team: &TeamId, model: &str, prompt: Tokens) -> (TeamId, SmolStr, bool) {
        (team.clone(), model.into(), prompt.0 >= Self::LARGE_PROMPT_TOKENS)
    }

    /// Takes in what a request generated.
    pub(super) fn observe(&mut self, team: &TeamId, model: &str, prompt: Tokens, output: Tokens) {
        let (mean, count) = self.means.entry(Self::key(team, model, prompt)).or_default();
        *count = count.saturating_add(1);
        let step = Self::STEP.max(1.0 / f64::from(*count));
        *mean += step * (output.0 as f64 - *mean);
    }

    /// Returns what a request with a limit is expected to generate.
    pub(super) fn expect(
        &self,
        team: &TeamId,
        model: &str,
        prompt: Tokens,
        most: Tokens,
    ) -> Tokens {
        let known = self.means.get(&Self::key(team, model, prompt));
        let known = known.filter(|(_, count)| *count >= Self::FEW);
        known.map_or(most, |(mean, _)| Tokens(most.0.min((mean * Self::MARGIN) as u64 + 1)))
    }
}
