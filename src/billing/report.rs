use super::*;

/// What teams pay.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BillReport {
    /// The totals by team.
    pub teams: BTreeMap<TeamId, TeamTotal>,
    /// The bills whose end nobody knows.
    pub unsettled: Vec<BillRecord>,
}

/// What a team pays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TeamTotal {
    /// The requests billed.
    pub requests: u64,
    /// Those of them whose end nobody knows.
    pub unsettled: u64,
    /// The tokens of the prompts that were charged.
    pub prompt_tokens: Tokens,
    /// The generated tokens that were charged.
    pub output_tokens: Tokens,
    /// The sum.
    pub cost: Cost,
}

impl BillReport {
    /// Returns the totals of one team or all, from a time on.
    #[must_use]
    pub fn of(fold: &BillFold, rule: UnsettledRule, team: Option<&TeamId>, since: Millis) -> Self {
        let mut report = Self::default();
        for (_, state) in fold.bills() {
            let (BillState::Settled(bill) | BillState::Unsettled(bill)) = state;
            if bill.opened < since || team.is_some_and(|team| *team != bill.team) {
                continue;
            }
            let total = report.teams.entry(bill.team.clone()).or_default();
            total.add(bill, rule);
            if !bill.is_closed() {
                report.unsettled.push(bill.clone());
            }
        }
        report
    }
}

impl TeamTotal {
    fn add(&mut self, bill: &BillRecord, rule: UnsettledRule) {
        self.requests += 1;
        match &bill.stage {
            BillStage::Final { cost, parts } => {
                self.cost += *cost;
                for part in parts.iter().filter(|part| part.charge == PartCharge::Charged) {
                    self.prompt_tokens += part.usage.prompt;
                    self.output_tokens += part.usage.output;
                }
            }
            BillStage::Open { estimate, .. } => {
                self.unsettled += 1;
                if rule == UnsettledRule::Estimate {
                    self.cost += *estimate;
                }
            }
            BillStage::Void => {}
        }
    }
}
