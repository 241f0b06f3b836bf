use super::*;

/// The time after which the configuration is asked of the next peer that has it.
const FETCH_TIMEOUT_MS: u64 = 400;
/// The peers remembered as holders of a wanted configuration.
const HOLDER_LIMIT: usize = 8;

impl Control {
    /// Notes that a peer has a configuration, and fetches it if it is ahead.
    pub(super) fn want(&mut self, now: Millis, holder: &VmId, stamp: ConfigurationStamp) {
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

    /// Asks a holder for the wanted configuration, unless one is being asked.
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

    /// Hands the configuration to a peer that is behind.
    pub(super) fn hand_over(&mut self, to: &PeerName, have: ConfigurationStamp) {
        if self.configuration.stamp() <= have {
            return;
        }
        let Some(state) = self.configuration.state() else { return };
        self.send(&to.vm, PeerMessage::Configuration(state));
    }

    /// Takes over a peer's configuration.
    pub(super) fn on_state(&mut self, now: Millis, state: &ConfigurationState) {
        let before = self.configuration.stamp();
        let adopted = self.configuration.adopt(state);
        if adopted {
            tracing::info!(
                from = %before.revision,
                to = %self.configuration.revision(),
                "configuration taken over from a peer"
            );
        }
        self.settle_publications();
        if adopted {
            self.apply_configuration(now);
        }
    }
}
