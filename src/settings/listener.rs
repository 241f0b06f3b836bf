use super::*;

/// The settings of a listener for operators or peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The files with the accepted secrets, 1 or 2; the first one is also used for sending.
    pub secret_files: Vec<PathBuf>,
}
