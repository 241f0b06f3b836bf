use super::*;

/// The settings of the process's log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The format of the lines; text if absent.
    #[serde(default)]
    pub format: LogFormat,
    /// A filter such as `info` or `guavapass=debug`; `info` if absent.
    #[serde(default = "default_level")]
    pub level: SmolStr,
}

fn default_level() -> SmolStr {
    "info".into()
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Plain text, one line per event.
    #[default]
    Text,
    /// JSON, one object per line.
    Json,
}
