use super::*;

/// The two servers that rank highest by rendezvous hashing for the last shared part of a prompt.
/// All VMs compute the same ones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RendezvousServers<'a> {
    first: Option<&'a ServerId>,
    second: Option<&'a ServerId>,
}

impl<'a> RendezvousServers<'a> {
    /// The fraction of the shared parts that the second-ranked server is assumed to have cached if
    /// this VM has not sent them there. The small value makes no VM leave the first server earlier,
    /// but makes the second-ranked server the preferred alternative once it does.
    const SECOND_SHARE: f64 = 0.2;

    pub(super) fn of(servers: &[&'a BackendServer], parts: &[PromptPart]) -> Self {
        let shared = parts.len().checked_sub(2).and_then(|last| parts.get(last));
        let Some(shared) = shared else { return Self::default() };
        let rank = |server: &BackendServer| {
            let own = xxh3_64(server.entry.id.as_str().as_bytes()).rotate_left(17);
            xxh3_64(&(own ^ shared.id.wrapping_mul(0x9E37_79B9_7F4A_7C15)).to_le_bytes())
        };
        let mut ranked: [Option<(u64, &'a ServerId)>; 2] = [None, None];
        for server in servers {
            let ranking = Some((rank(server), &server.entry.id));
            if ranking > ranked[0] {
                ranked = [ranking, ranked[0]];
            } else if ranking > ranked[1] {
                ranked[1] = ranking;
            }
        }
        let [first, second] = ranked.map(|ranking| ranking.map(|(_, server)| server));
        Self { first, second }
    }

    /// Returns the fraction of the shared parts that a server is assumed to have cached, from 0 to
    /// 1.
    pub(super) fn cached_share(&self, server: &ServerId) -> f64 {
        if self.first == Some(server) {
            1.0
        } else if self.second == Some(server) {
            Self::SECOND_SHARE
        } else {
            0.0
        }
    }
}
