use super::*;

/// A listener for operators or peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The files with the secrets that are valid; the first one is used for sending.
    pub secret_files: Vec<PathBuf>,
}
