use super::*;

/// The time after which the configuration is requested from the next peer that has it.
const FETCH_TIMEOUT_MS: u64 = 400;
/// The peers remembered as holders of the configuration to fetch.
const HOLDER_LIMIT: usize = 8;

impl Control {
    /// Records that a peer has a configuration, and fetches it if it is newer than the one in
    /// force.
    pub(super) fn want_configuration(
        &mut self,
        now: Millis,
        holder: &VmId,
        stamp: ConfigurationStamp,
    ) {
        if stamp <= self.configuration.stamp() {
            return;
        }
        let fresh = WantedConfiguration { stamp, holders: VecDeque::new(), fetched: None };
        let wanted = self.cluster.wanted.get_or_insert(fresh);
        if stamp > wanted.stamp {
            wanted.stamp = stamp;
            wanted.holders.clear();
            wanted.fetched = None;
        }
        if stamp == wanted.stamp
            && wanted.holders.len() < HOLDER_LIMIT
            && !wanted.holders.contains(holder)
        {
            wanted.holders.push_back(holder.clone());
        }
        self.fetch_wanted(now);
    }

    /// Requests the newer configuration from the next holder, unless a request is under way.
    pub(super) fn fetch_wanted(&mut self, now: Millis) {
        let have = self.configuration.stamp();
        let Some(wanted) = &mut self.cluster.wanted else { return };
        if wanted.stamp <= have {
            self.cluster.wanted = None;
            return;
        }
        if wanted.fetched.is_some_and(|at| now.since(at) < Millis(FETCH_TIMEOUT_MS)) {
            return;
        }
        let Some(holder) = wanted.holders.pop_front() else {
            if wanted.fetched.is_some() {
                self.cluster.wanted = None;
            }
            return;
        };
        wanted.fetched = Some(now);
        wanted.holders.push_back(holder.clone());
        self.send(&holder, PeerMessage::FetchConfiguration(have));
    }

    /// Sends the configuration to a peer whose own is older.
    pub(super) fn send_configuration(&mut self, to: &PeerName, have: ConfigurationStamp) {
        if self.configuration.stamp() <= have {
            return;
        }
        let Some(state) = self.configuration.state() else { return };
        self.send(&to.vm, PeerMessage::Configuration(state));
    }

    /// Adopts a peer's configuration if it is newer.
    pub(super) fn on_configuration_state(&mut self, now: Millis, state: &ConfigurationState) {
        let before = self.configuration.stamp();
        let adopted = self.configuration.adopt(state);
        if adopted {
            tracing::info!(
                from = %before.revision,
                to = %self.configuration.revision(),
                "configuration adopted from a peer"
            );
        }
        self.settle_publications();
        if adopted {
            self.apply_configuration(now);
        }
    }
}
