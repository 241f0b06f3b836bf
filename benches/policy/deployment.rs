//! The two deployments, from the example configurations.

use guavapass::{
    configuration::{ConfigurationDocument, TeamLimits},
    ids::{PoolId, VersionId},
};

/// One of the two deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    Ruedaparque,
    Kencana,
}

impl Deployment {
    pub const ALL: [Self; 2] = [Self::Ruedaparque, Self::Kencana];

    pub fn name(self) -> &'static str {
        match self {
            Self::Ruedaparque => "ruedaparque",
            Self::Kencana => "kencana",
        }
    }

    /// The pool of the model engines.
    pub fn pool(self) -> PoolId {
        let name = match self {
            Self::Ruedaparque => "planning",
            Self::Kencana => "models",
        };
        name.parse().unwrap()
    }

    /// The version that replaces another one in the example's roll-out.
    pub fn new_version(self) -> VersionId {
        let name = match self {
            Self::Ruedaparque => "planner-large@3.1",
            Self::Kencana => "mould-expert@8",
        };
        name.parse().unwrap()
    }

    /// The teams that ask short questions, and those that send long jobs.
    pub fn teams(self) -> (Vec<&'static str>, Vec<&'static str>) {
        match self {
            Self::Ruedaparque => (
                vec![
                    "cuadrillas-norte",
                    "cuadrillas-sur",
                    "cuadrillas-valle",
                    "cuadrillas-cumbaya",
                    "permisos",
                    "oficina",
                ],
                vec!["plazas", "escuelas", "levantamientos", "cotizaciones"],
            ),
            Self::Kencana => (
                vec!["shop-floor", "press-lines", "order-desk", "buyers", "quotations", "holding"],
                vec![
                    "mould-wear",
                    "distributors-asia",
                    "distributors-europe",
                    "distributors-americas",
                ],
            ),
        }
    }

    /// Returns the example configuration without limits, so that the queue alone decides.
    pub fn document(self) -> ConfigurationDocument {
        let path =
            format!("{}/examples/{}/configuration.jsonc", env!("CARGO_MANIFEST_DIR"), self.name());
        let text = std::fs::read_to_string(path).unwrap();
        let options = jsonc_parser::ParseOptions::default();
        let mut document: ConfigurationDocument =
            jsonc_parser::parse_to_serde_value(&text, &options).unwrap();
        for team in document.teams.values_mut() {
            team.limits = TeamLimits::default();
        }
        document
    }
}
