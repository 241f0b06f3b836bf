use super::*;

/// The amounts to be paid by teams.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BillReport {
    /// The totals by team.
    pub teams: BTreeMap<TeamId, TeamTotal>,
    /// The open bills, whose requests have an unknown outcome.
    pub unsettled: Vec<BillRecord>,
}

/// The amount to be paid by one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TeamTotal {
    /// The number of bills, unsettled ones included.
    pub requests: u64,
    /// The number of open bills, whose requests have an unknown outcome.
    pub unsettled: u64,
    /// The prompt tokens of charged attempts.
    pub prompt_tokens: Tokens,
    /// The generated tokens of charged attempts.
    pub output_tokens: Tokens,
    /// The total cost.
    pub cost: Cost,
}

impl BillReport {
    /// Sums up the bills opened at `since` or later, of one team or, without `team`, of all.
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
