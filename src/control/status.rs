use super::*;

impl VmStatus {
    /// Returns the live entry VMs that are not known to have a revision in force: by name where the
    /// name is known, the others as a count. Empty if all have it.
    #[must_use]
    pub fn lagging(&self, revision: Revision) -> Vec<String> {
        let behind = self.revisions.iter().filter(|(found, _)| **found < revision);
        let mut names: BTreeSet<String> = BTreeSet::new();
        let mut behind_count = 0;
        for (_, share) in behind {
            behind_count += share.count;
            names.extend(share.some.iter().map(ToString::to_string));
        }
        let away = self.peers.iter().filter(|peer| peer.state == MemberState::Live);
        let away = away.filter(|peer| !peer.in_reach && peer.revision < revision);
        names.extend(away.map(|peer| format!("{} (out of reach)", peer.vm)));
        if self.revision < revision {
            names.insert(self.vm.to_string());
        }
        let ahead = self.revisions.iter().filter(|(found, _)| **found >= revision);
        let current: u32 = ahead.map(|(_, share)| share.count).sum();
        let live = self.peers.iter().filter(|peer| peer.state == MemberState::Live);
        let live = live.filter(|peer| peer.in_reach).count() as u32 + 1;
        let unnamed = live
            .saturating_sub(current + names.len() as u32)
            .max(behind_count.saturating_sub(names.len() as u32));
        let mut lagging: Vec<String> = names.into_iter().collect();
        if current < live && unnamed > 0 {
            lagging.push(format!("{unnamed} more that have not reported yet"));
        }
        lagging
    }
}

impl Display for VmStatus {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let ready = if self.ready { "ready" } else { "not ready" };
        writeln!(formatter, "{} in {}: {ready}", self.vm, self.data_centre)?;
        let preset = self.preset.as_ref().map_or("none", |preset| preset.as_str());
        writeln!(formatter, "  revision {}, preset {preset}", self.revision)?;
        writeln!(formatter, "  log read {}", Age(self.log_age))?;
        if self.log_gap {
            writeln!(
                formatter,
                "  records of the log were missed; waiting for a snapshot or a peer"
            )?;
        }
        writeln!(formatter, "  membership list read {}", Age(self.members_age))?;
        writeln!(formatter, "  {} requests, {} of them queued", self.requests, self.queued)?;
        for (revision, share) in &self.revisions {
            writeln!(formatter, "  {} entry VMs at revision {revision}", share.count)?;
        }
        for withdrawal in &self.withdrawals {
            let Withdrawal { version, generation, reason, by } = withdrawal;
            writeln!(formatter, "  {version} generation {generation} withdrawn by {by}: {reason}")?;
        }
        for peer in &self.peers {
            let reach = if peer.in_reach { "in reach" } else { "OUT OF REACH" };
            let (vm, centre, revision) = (&peer.vm, &peer.data_centre, peer.revision);
            let age = Age(peer.heard_age);
            writeln!(
                formatter,
                "  peer {vm} in {centre}: {reach}, heard {age}, revision {revision}"
            )?;
        }
        for server in &self.servers {
            let ServerStatus { server, pool, in_flight, .. } = server;
            write!(formatter, "  server {server} of {pool}: {in_flight} in flight")?;
            writeln!(formatter)?;
        }
        Ok(())
    }
}

/// An age as printed for operators, `never` if there is none.
struct Age(Option<Millis>);

impl Display for Age {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            None => formatter.write_str("never"),
            Some(age) => write!(formatter, "{age} ago"),
        }
    }
}
