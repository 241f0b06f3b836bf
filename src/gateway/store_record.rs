use super::*;

/// The streams of records in the platform's store that the gateway follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StoreStream {
    /// What operators publish: the configuration and orders of roll-outs.
    Operators,
    /// The backend servers' entries.
    Servers,
    /// The states of roll-outs.
    Rollouts,
    /// What entry VMs have seen of versions that are brought in.
    Evidence,
}

impl StoreStream {
    /// Returns whether the store keeps the newest record of each key for good.
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
    /// An order of a roll-out.
    Order(RolloutOrder),
    /// A change in the list of backend servers.
    Server(ServerChange),
    /// The state of a roll-out.
    Rollout(RolloutRecord),
    /// What an entry VM has seen.
    Evidence(EvidenceRecord),
    /// A record that cannot be read.
    Unreadable {
        /// Its key, or its offset in a stream without keys.
        key: SmolStr,
        /// What is wrong with it.
        cause: SmolStr,
    },
}

impl StoreRecord {
    /// Returns the key of which the newest record counts; none of a record that says nothing.
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
            Self::Server(ServerChange::Unreadable { .. }) | Self::Unreadable { .. } => return None,
        })
    }
}

/// The newest record of each key of a stream, or one page of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewestPage {
    /// The records.
    pub records: Vec<KeptRecord>,
    /// The offset after the last record when the page was made.
    pub end: Offset,
    /// The key to go on after, if there are more.
    pub more_after: Option<SmolStr>,
}

/// Records of a stream in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StorePage {
    /// The records.
    pub records: Vec<KeptRecord>,
    /// The offset to read next.
    pub next: Offset,
    /// The offset after the stream's last record.
    pub end: Offset,
}
