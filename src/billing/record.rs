use super::*;

/// What is known of a bill at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BillRecord {
    /// What it is keyed by.
    pub key: BillKey,
    /// The request.
    pub request: RequestId,
    /// The team that pays.
    pub team: TeamId,
    /// The subscriber in the team.
    pub subscriber: SubscriberId,
    /// When the bill was opened, by the wall clock of its VM.
    pub opened: Millis,
    /// How far it is.
    pub stage: BillStage,
}

/// How far a bill is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BillStage {
    /// The request may have run; its end is not known.
    Open {
        /// The version or service of the first step.
        target: WorkTarget,
        /// What it is expected to cost.
        estimate: Cost,
    },
    /// The request has ended.
    Final {
        /// What the team pays.
        cost: Cost,
        /// The attempts.
        parts: Vec<BillPart>,
    },
    /// The request has certainly not run.
    Void,
}

impl BillRecord {
    /// Returns the memory that the record takes.
    #[must_use]
    pub fn size(&self) -> ByteSize {
        const NAMES_BYTES: usize = 370;
        let parts = match &self.stage {
            BillStage::Final { parts, .. } => parts.len(),
            BillStage::Open { .. } | BillStage::Void => 0,
        };
        ByteSize((size_of::<Self>() + NAMES_BYTES + parts * size_of::<BillPart>()) as u64)
    }

    /// Returns whether the end of the request is known.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        !matches!(self.stage, BillStage::Open { .. })
    }
}
