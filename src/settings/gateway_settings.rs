use super::*;

/// The settings of an entry VM that serves routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The name of the VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The processor time that it may use, in cores: those with most serve others.
    #[serde(default = "default_processor_cores")]
    pub processor_cores: f64,
    /// The listener for callers.
    pub callers: RouteListener,
    /// The listener for the balancer's questions and for metrics.
    pub status: StatusListener,
    /// The listener for other entry VMs; without it, this VM reads the store by itself.
    #[serde(default)]
    pub peers: Option<RelayListener>,
    /// The platform's store.
    pub store: PlatformSettings,
    /// The bounds that the operators have set.
    #[serde(default)]
    pub bounds: GatewayBounds,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// The listener for callers of routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteListener {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The largest answer that is held whole before it is passed on.
    #[serde(default = "default_answer_limit")]
    pub answer_limit_bytes: ByteSize,
}

/// The listener for other entry VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayListener {
    /// The address to listen on, by which other entry VMs reach this one.
    pub listen: SocketAddr,
    /// Such addresses of other entry VMs, to find the rest by.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The listener for the balancer's questions and for metrics.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusListener {
    /// The address to listen on.
    pub listen: SocketAddr,
}

const fn default_answer_limit() -> ByteSize {
    ByteSize(4 * 1_024 * 1_024)
}

const fn default_processor_cores() -> f64 {
    1.0
}

impl GatewaySettings {
    /// Returns the processor time that the VM may use, in hundredths of a core.
    #[must_use]
    pub fn processor_percent(&self) -> u32 {
        (self.processor_cores * 100.0).round() as u32
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = read_document(path)?;
        let file = SmolStr::new(path.display().to_string());
        let bounds = settings.bounds;
        if !(settings.processor_cores > 0.0 && settings.processor_cores <= Self::MOST_CORES) {
            let found = settings.processor_cores.to_string().into();
            return Err(SettingsError::Range {
                file,
                field: "processor_cores",
                found,
                expected: "a number of cores above 0, at most 1024",
            });
        }
        let lengths = [
            ("bounds.key_removal_ms", bounds.key_removal_ms),
            ("bounds.drain_ms", bounds.drain_ms),
            ("bounds.shutdown_ms", bounds.shutdown_ms),
            ("bounds.resend_window_ms", bounds.resend_window_ms),
        ];
        for (field, found) in lengths {
            if found.0 < Self::LEAST_BOUND_MS {
                let found = found.to_string().into();
                return Err(SettingsError::Range {
                    file,
                    field,
                    found,
                    expected: "at least 500 ms",
                });
            }
        }
        Ok(settings)
    }

    /// Bounds below this leave no time for two reads of the store after each other.
    const LEAST_BOUND_MS: u64 = 500;
    /// More than any machine has; a larger number is a mistake of unit.
    const MOST_CORES: f64 = 1_024.0;
}
