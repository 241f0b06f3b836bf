use super::*;

/// The settings of an entry VM that runs the gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The id of the VM, unique among the entry VMs.
    pub vm: VmId,
    /// The data centre that the VM runs in.
    pub data_centre: DataCentreId,
    /// The CPU time available to the VM, in cores; 1 if absent. The VMs with the most CPU time
    /// read the store on behalf of others.
    #[serde(default = "default_processor_cores")]
    pub processor_cores: f64,
    /// The memory available to the process, in MB; 128 if absent.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// The listener for requests of callers.
    pub callers: RouteListener,
    /// The listener for the load balancer's readiness probes and for metrics.
    pub status: StatusListener,
    /// The listener for other entry VMs; if absent, this VM reads the store on its own.
    #[serde(default)]
    pub peers: Option<RelayListener>,
    /// The address of the platform's store.
    pub store: PlatformSettings,
    /// The time limits and budgets set by the operators.
    #[serde(default)]
    pub bounds: GatewayBounds,
    /// Format and level of the log.
    #[serde(default)]
    pub log: LogSettings,
}

/// The settings of the listener for callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteListener {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The maximum size of an answer that is buffered before delivery; 4 MiB if absent.
    #[serde(default = "default_answer_limit")]
    pub answer_limit_bytes: ByteSize,
}

/// The settings of the listener for other entry VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayListener {
    /// The address to listen on, at which other entry VMs reach this one.
    pub listen: SocketAddr,
    /// Peer addresses of some other entry VMs, from which this VM discovers the rest.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The settings of the listener for readiness probes and metrics.
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

const fn default_memory_mb() -> u32 {
    128
}

impl GatewaySettings {
    /// The part of the memory for the bodies of requests and answers. The rest is for the program,
    /// the state of the core and the buffers of connections.
    const BODY_MEMORY_PART: u64 = 4;
    const MIN_MEMORY_MB: u32 = 32;

    /// Returns the limits on the bodies that are held in memory.
    #[must_use]
    pub fn body_limits(&self) -> BodyLimits {
        let memory = u64::from(self.memory_mb) * 1_024 * 1_024;
        let all = ByteSize(memory / Self::BODY_MEMORY_PART);
        BodyLimits { answer: self.callers.answer_limit_bytes, all }
    }

    /// Returns the CPU time available to the VM, in hundredths of a core.
    #[must_use]
    pub fn processor_percent(&self) -> u32 {
        (self.processor_cores * 100.0).round() as u32
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or for the first value outside its range.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = read_document(path)?;
        let file = SmolStr::new(path.display().to_string());
        let bounds = settings.bounds;
        if !(settings.processor_cores > 0.0 && settings.processor_cores <= Self::MAX_CORES) {
            let found = settings.processor_cores.to_string().into();
            return Err(SettingsError::Range {
                file,
                field: "processor_cores",
                found,
                expected: "a number of cores above 0, at most 1024",
            });
        }
        if settings.memory_mb < Self::MIN_MEMORY_MB {
            let found = settings.memory_mb.to_string().into();
            let (field, expected) = ("memory_mb", "at least 32 MB");
            return Err(SettingsError::Range { file, field, found, expected });
        }
        let lengths = [
            ("bounds.key_removal_ms", bounds.key_removal_ms),
            ("bounds.drain_ms", bounds.drain_ms),
            ("bounds.shutdown_ms", bounds.shutdown_ms),
            ("bounds.resend_window_ms", bounds.resend_window_ms),
            ("bounds.evacuate_ms", bounds.evacuate_ms),
        ];
        for (field, found) in lengths {
            if found.0 < Self::MIN_BOUND_MS {
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

    /// Shorter bounds leave no time for two consecutive reads of the store.
    const MIN_BOUND_MS: u64 = 500;
    /// More cores than any machine has; a larger number is probably in the wrong unit.
    const MAX_CORES: f64 = 1_024.0;
}
