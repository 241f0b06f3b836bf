use super::*;

/// The placement in one pool according to one entry VM, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementStatus {
    /// The pool.
    pub pool: PoolId,
    /// The holder of the lease; none if no holder is known or the lease was released.
    pub holder: Option<PeerName>,
    /// The fencing number of the last known lease.
    pub fence: Option<Fence>,
    /// The VMs that may acquire the lease, by rank. The first one reads load reports most often and
    /// so has the most recent state.
    pub may_order: Vec<VmId>,
    /// Whether the entry VM that made this status holds the lease.
    pub held_here: bool,
    /// The versions that should have more copies than there is room for.
    pub unplaced: BTreeSet<VersionId>,
    /// The placement on each server of the pool.
    pub servers: Vec<ServerPlacementStatus>,
}

/// The placement on one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerPlacementStatus {
    /// The server.
    pub server: ServerId,
    /// The versions that should be loaded.
    pub desired: BTreeSet<VersionId>,
    /// The versions that are loaded; none if the server does not report them.
    pub actual: Option<BTreeSet<VersionId>>,
    /// The versions that the server was ordered to have, until a load report shows the effect.
    pub pending: Option<BTreeSet<VersionId>>,
    /// The versions that are being drained before they are unloaded.
    pub draining: BTreeSet<VersionId>,
}

impl Display for PlacementStatus {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "pool {}", self.pool)?;
        match (&self.holder, self.fence) {
            (Some(holder), Some(fence)) => write!(formatter, "  holder {holder}  fence {fence}")?,
            _ => write!(formatter, "  no holder known")?,
        }
        let may_order: Vec<&str> = self.may_order.iter().map(VmId::as_str).collect();
        write!(formatter, "  may order {}", may_order.join(","))?;
        if self.held_here {
            write!(formatter, "  held here")?;
        }
        if !self.unplaced.is_empty() {
            write!(formatter, "  no room for {}", join(&self.unplaced))?;
        }
        for server in &self.servers {
            write!(formatter, "\n  {server}")?;
        }
        Ok(())
    }
}

impl Display for ServerPlacementStatus {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}  desired {}", self.server, join(&self.desired))?;
        match &self.actual {
            Some(actual) => write!(formatter, "  actual {}", join(actual))?,
            None => write!(formatter, "  actual unknown")?,
        }
        if let Some(pending) = &self.pending {
            write!(formatter, "  pending {}", join(pending))?;
        }
        if !self.draining.is_empty() {
            write!(formatter, "  draining {}", join(&self.draining))?;
        }
        Ok(())
    }
}

fn join(versions: &BTreeSet<VersionId>) -> String {
    if versions.is_empty() {
        return "none".into();
    }
    let names: Vec<String> = versions.iter().map(ToString::to_string).collect();
    names.join(",")
}
