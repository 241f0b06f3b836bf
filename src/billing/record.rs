use super::*;

/// The state of a bill, as it is replicated and written to the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BillRecord {
    /// The key, which is the same for all requests of one bill.
    pub key: BillKey,
    /// The request that opened the bill.
    pub request: RequestId,
    /// The team that pays.
    pub team: TeamId,
    /// The subscriber of the team whose access key was used.
    pub subscriber: SubscriberId,
    /// When the bill was opened, by the wall clock of the entry VM that opened it.
    pub opened: Millis,
    /// Whether the bill is open or closed, and what it amounts to.
    pub stage: BillStage,
}

/// Whether a bill is open or closed, and what it amounts to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BillStage {
    /// The request may have run; its outcome is not known.
    Open {
        /// The version or service of the first step of the plan.
        target: WorkTarget,
        /// The expected cost.
        estimate: Cost,
    },
    /// The request has ended.
    Final {
        /// The sum that the team pays.
        cost: Cost,
        /// All attempts, including those that are free.
        parts: Vec<BillPart>,
    },
    /// The request has certainly not run; there is nothing to pay.
    Void,
}

impl BillRecord {
    /// Returns an estimate of the memory that the record takes.
    #[must_use]
    pub fn size(&self) -> ByteSize {
        const NAMES_BYTES: usize = 370;
        let parts = match &self.stage {
            BillStage::Final { parts, .. } => parts.len(),
            BillStage::Open { .. } | BillStage::Void => 0,
        };
        ByteSize((size_of::<Self>() + NAMES_BYTES + parts * size_of::<BillPart>()) as u64)
    }

    /// Returns whether the outcome of the request is known.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        !matches!(self.stage, BillStage::Open { .. })
    }
}
