use super::*;

/// The settings of an entry VM that runs the model router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The id of the VM, unique among the entry VMs.
    pub vm: VmId,
    /// The data centre that the VM runs in.
    pub data_centre: DataCentreId,
    /// The listener for callers.
    pub callers: CallerSettings,
    /// The listener for operators.
    pub operators: ListenerSettings,
    /// The listener for peers.
    pub peers: ListenerSettings,
    /// The address of the platform's services.
    pub platform: PlatformSettings,
    /// Entry VMs to ask for the configuration and the membership list while the platform is down.
    #[serde(default)]
    pub seeds: Vec<VmMember>,
    /// Format and level of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Where to send metrics; none are sent if absent.
    #[serde(default)]
    pub metrics: Option<MetricSettings>,
    /// Timing of a graceful shutdown.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
}

/// The settings of the connection to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the platform's services.
    pub address: SocketAddr,
}

/// The settings for sending metrics.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricSettings {
    /// The address of the `StatsD` server.
    pub statsd: SocketAddr,
    /// The prefix of all metric names; `guavapass` if absent.
    #[serde(default = "default_prefix")]
    pub prefix: SmolStr,
}

fn default_prefix() -> SmolStr {
    "guavapass".into()
}

/// The settings of a graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShutdownSettings {
    /// How long the load balancer may keep sending requests after the VM reports that it is not
    /// ready; 5 s if absent.
    #[serde(default = "default_balancer_lag")]
    pub balancer_lag_ms: Millis,
}

const fn default_balancer_lag() -> Millis {
    Millis(5_000)
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self { balancer_lag_ms: default_balancer_lag() }
    }
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file or a secret cannot be read, or for the first invalid value.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = read_document(path)?;
        settings.check(&SmolStr::new(path.display().to_string()))?;
        Ok(settings)
    }

    fn check(&self, file: &SmolStr) -> Result<(), SettingsError> {
        let range = |field, found: &dyn Display, holds: bool, expected| {
            if holds {
                return Ok(());
            }
            Err(SettingsError::Range {
                file: file.clone(),
                field,
                found: found.to_string().into(),
                expected,
            })
        };
        let callers = &self.callers;
        let threads = callers.threads;
        range("callers.threads", &threads, (1..=256).contains(&threads), "from 1 to 256")?;
        let body = callers.body_limit_bytes;
        range("callers.body_limit_bytes", &body, body.0 > 0, "at least 1")?;
        let answer = callers.answer_limit_bytes;
        range("callers.answer_limit_bytes", &answer, answer.0 > 0, "at least 1")?;
        let timeout = callers.body_timeout_ms;
        range("callers.body_timeout_ms", &timeout, timeout.0 > 0, "at least 1")?;
        self.secrets(file)?;
        Ok(())
    }

    /// Reads the secrets of the operators and of the peers.
    ///
    /// # Errors
    ///
    /// Returns the first secret that is missing or too short.
    pub fn secrets(&self, file: &SmolStr) -> Result<(Vec<Secret>, Vec<Secret>), SettingsError> {
        let operators = read_secrets(file, "operators.secret_files", &self.operators.secret_files)?;
        let peers = read_secrets(file, "peers.secret_files", &self.peers.secret_files)?;
        Ok((operators, peers))
    }
}

fn read_secrets(
    file: &SmolStr,
    field: &'static str,
    paths: &[PathBuf],
) -> Result<Vec<Secret>, SettingsError> {
    if paths.is_empty() || paths.len() > 2 {
        return Err(SettingsError::Range {
            file: file.clone(),
            field,
            found: format!("a list of {}", paths.len()).into(),
            expected: "a list of 1 or 2 files",
        });
    }
    paths.iter().map(|path| read_secret(file, field, path)).collect()
}

fn read_secret(file: &SmolStr, field: &'static str, path: &Path) -> Result<Secret, SettingsError> {
    let secret: SmolStr = path.display().to_string().into();
    let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Secret {
        file: file.clone(),
        field,
        secret: secret.clone(),
        cause: error.to_string().into(),
    })?;
    Secret::new(text.trim().as_bytes())
        .ok_or_else(|| SettingsError::ShortSecret { file: file.clone(), secret })
}
