use super::*;

/// How the process logs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The form of a line.
    #[serde(default)]
    pub format: LogFormat,
    /// A filter such as `info` or `guavapass=debug`.
    #[serde(default = "default_level")]
    pub level: SmolStr,
}

fn default_level() -> SmolStr {
    "info".into()
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text.
    #[default]
    Text,
    /// One JSON object.
    Json,
}
