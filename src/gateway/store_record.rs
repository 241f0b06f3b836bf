use super::*;

/// The streams of records in the platform's store that the gateway follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StoreStream {
    /// The records of operators: configurations and roll-out orders.
    Operators,
    /// The entries of backend servers.
    Servers,
    /// The states of roll-outs.
    Rollouts,
    /// The counts of answers per version that entry VMs observed during roll-outs.
    Evidence,
}

impl StoreStream {
    /// Returns whether the store retains the newest record of each key indefinitely.
    #[must_use]
    pub const fn is_keyed(self) -> bool {
        !matches!(self, Self::Evidence)
    }
}

impl Display for StoreStream {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Operators => "operators",
            Self::Servers => "servers",
            Self::Rollouts => "rollouts",
            Self::Evidence => "evidence",
        })
    }
}

/// A record of one of the streams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreRecord {
    /// A configuration.
    Configuration(Arc<GatewayDocument>),
    /// An order to roll out a version.
    Order(RolloutOrder),
    /// A change in the list of backend servers.
    Server(ServerChange),
    /// The state of a roll-out.
    Rollout(RolloutRecord),
    /// The counts that an entry VM observed during a roll-out.
    Evidence(EvidenceRecord),
    /// A record that cannot be parsed.
    Unreadable {
        /// Its key, or its offset in a stream without keys.
        key: SmolStr,
        /// The parse error.
        cause: SmolStr,
    },
    /// An order to evacuate a data centre, or to take it back.
    Evacuation(EvacuationOrder),
}

impl StoreRecord {
    /// Returns the key under which the record replaces older ones; none for a record that cannot be
    /// parsed.
    #[must_use]
    pub fn key(&self) -> Option<SmolStr> {
        Some(match self {
            Self::Configuration(_) => "configuration".into(),
            Self::Order(order) => format!("order/{}", order.pool).into(),
            Self::Server(ServerChange::Said(entry)) => format!("server/{}", entry.id).into(),
            Self::Server(ServerChange::Removed(id)) => format!("server/{id}").into(),
            Self::Rollout(record) => format!("rollout/{}", record.pool).into(),
            Self::Evidence(evidence) => {
                let EvidenceRecord { vm, incarnation, pool, .. } = evidence;
                format!("evidence/{vm}/{incarnation}/{pool}").into()
            }
            Self::Evacuation(order) => format!("evacuation/{}", order.data_centre()).into(),
            Self::Server(ServerChange::Unreadable { .. }) | Self::Unreadable { .. } => return None,
        })
    }
}

/// One page of the newest record of each key of a stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewestPage {
    /// The records.
    pub records: Vec<StreamRecord>,
    /// The offset after the last record when the page was made.
    pub end: Offset,
    /// The key to continue after; none on the last page.
    pub more_after: Option<SmolStr>,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StorePage {
    /// The records.
    pub records: Vec<StreamRecord>,
    /// The offset of the next read.
    pub next: Offset,
    /// The offset after the stream's last record.
    pub end: Offset,
}
