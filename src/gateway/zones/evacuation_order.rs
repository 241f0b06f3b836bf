use super::*;

/// An order of operators about the backend servers of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationOrder {
    /// The servers must get no more requests.
    Evacuate(DataCentreId),
    /// They may get requests again.
    TakeBack(DataCentreId),
    /// The order cannot be parsed. An earlier one stays in force.
    Unreadable {
        /// The data centre.
        data_centre: DataCentreId,
        /// The parse error.
        cause: SmolStr,
    },
}

impl EvacuationOrder {
    /// Returns the data centre that the order is about.
    #[must_use]
    pub const fn data_centre(&self) -> &DataCentreId {
        match self {
            Self::Evacuate(centre) | Self::TakeBack(centre) => centre,
            Self::Unreadable { data_centre, .. } => data_centre,
        }
    }
}
