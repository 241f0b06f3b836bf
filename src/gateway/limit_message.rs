use super::*;

/// What an entry VM reports to another about the limits of servers, and the permits that it asks
/// for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitQuery {
    /// Limits that have changed recently, and those of the servers in `demands`.
    pub reports: Vec<LimitReport>,
    /// The permits that the sender asks for.
    pub demands: Vec<PermitDemand>,
    /// Servers that have become cold, and those of the servers in `demands` that are.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cold: Vec<ColdReport>,
}

impl LimitQuery {
    /// Returns whether the message contains nothing. It is then left out, so that VMs of an earlier
    /// build understand the rest.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.demands.is_empty() && self.cold.is_empty()
    }
}

/// The answer to a [`LimitQuery`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitReply {
    /// Limits that have changed recently, and those of the servers that permits were asked for.
    pub reports: Vec<LimitReport>,
    /// The permits that were asked for, as far as they are issued.
    pub grants: Vec<PermitGrant>,
    /// The number of VMs that ask the sender for permits.
    pub askers: u32,
    /// Servers that have become cold, and those that permits were asked for that are.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cold: Vec<ColdReport>,
}

impl LimitReply {
    /// Returns whether the message contains nothing; see [`LimitQuery::is_empty`].
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.grants.is_empty() && self.cold.is_empty()
    }
}

/// The limit of a server as an entry VM knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The server.
    pub start: ServerStart,
    /// The requests per second that it accepts from all VMs together; none if it has no limit.
    pub rate: Option<RequestsPerSecond>,
    /// The age of the server's statement.
    pub age: Millis,
}

/// The permits that an entry VM asks for, to send requests to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PermitDemand {
    /// The server.
    pub server: ServerTag,
    /// For requests that wait.
    pub waiting: u32,
    /// The equal part of the waiting requests that falls to this server, as they wait for permits
    /// of all servers of the pool that have a limit.
    pub backlog: f32,
    /// For requests that may arrive soon.
    pub ahead: u32,
}

impl PermitDemand {
    /// Returns the number of permits for waiting requests and, if `with_ahead` is true, ahead.
    #[must_use]
    pub fn permits(&self, with_ahead: bool) -> u32 {
        let ahead = if with_ahead { self.ahead } else { 0 };
        self.waiting.saturating_add(ahead).min(PermitStock::MAX_PERMITS)
    }
}

/// Permits for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The server.
    pub server: ServerTag,
    /// The number of permits.
    pub permits: u32,
    /// The time until all requests that wait for permits can have got them.
    pub wait: Millis,
}
