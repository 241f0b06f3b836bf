use super::*;

/// The placement in one pool, as one entry VM sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementStatus {
    /// The pool.
    pub pool: PoolId,
    /// The last known holder of the lease.
    pub holder: Option<PeerName>,
    /// Its fencing number.
    pub fence: Option<Fence>,
    /// The VMs that may order in the pool, by rank; the first one knows most.
    pub may_order: Vec<VmId>,
    /// Whether the entry VM that answers holds the lease.
    pub held_here: bool,
    /// The versions that lack room.
    pub unplaced: BTreeSet<VersionId>,
    /// The servers.
    pub servers: Vec<ServerPlacementStatus>,
}

/// The placement on one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerPlacementStatus {
    /// The server.
    pub server: ServerId,
    /// The versions that should be loaded.
    pub desired: BTreeSet<VersionId>,
    /// The versions that are loaded, if the server says so.
    pub actual: Option<BTreeSet<VersionId>>,
    /// The versions of an order that has not shown its effect.
    pub pending: Option<BTreeSet<VersionId>>,
    /// The versions that are being drained.
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
