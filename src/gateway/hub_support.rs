/// How many VMs of a data centre follow one that considers itself the hub.
///
/// A VM follows one hub at a time, so that at most one hub of a data centre has a quorum, whatever
/// the VMs believe about each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HubSupport {
    /// The VMs that follow the hub.
    pub followers: u32,
    /// The known VMs of the data centre but the hub itself.
    pub others: u32,
    /// Whether the hub ranks before all known VMs of the data centre.
    pub is_first_rank: bool,
}

impl HubSupport {
    /// Returns whether the hub and its followers are a majority of the data centre's VMs, or one
    /// half that includes the first rank.
    #[must_use]
    pub const fn is_quorum(self) -> bool {
        let (with, all) = (2 * (self.followers + 1), self.others + 1);
        with > all || (with == all && self.is_first_rank)
    }

    /// Returns the hub and its followers as a share of the data centre's VMs.
    #[must_use]
    pub fn share(self) -> f64 {
        f64::from(self.followers + 1) / f64::from(self.others + 1)
    }
}
