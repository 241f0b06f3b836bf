//! Reading the streams of the platform's store and applying their records.

use super::*;

impl Gateway {
    /// Sends the reads of all streams that are due.
    pub(super) fn read_feeds(&mut self, now: Millis) {
        let reads: Vec<FeedRead> =
            self.feeds.values_mut().filter_map(|feed| feed.read(now)).collect();
        for read in reads {
            self.emit(GatewayCommand::Read(read));
        }
    }

    pub(super) fn on_read(&mut self, now: Millis, stream: StoreStream, answer: &FeedAnswer) {
        let jitter = self.draw();
        let Some(feed) = self.feeds.get_mut(&stream) else { return };
        let (before, starts_list) = (feed.failures(), feed.starts_list());
        let step = feed.answered(now, jitter, answer);
        Self::log_read(stream, before, answer);
        let is_newest = matches!(answer, FeedAnswer::Newest(Ok(_)));
        if is_newest && stream == StoreStream::Servers && self.listed.is_none() {
            self.listed = Some(BTreeSet::new());
        }
        if is_newest && stream == StoreStream::Operators && starts_list {
            self.start_evacuation_list();
        }
        match answer {
            FeedAnswer::Newest(Ok(page)) => {
                self.collect_evacuations(&page.records);
                self.apply_records(now, &page.records);
            }
            FeedAnswer::From(Ok(page)) => self.apply_records(now, &page.records),
            FeedAnswer::Newest(Err(_)) | FeedAnswer::From(Err(_)) => {}
        }
        let FeedProgress::CaughtUp { sent } = step else { return };
        match stream {
            StoreStream::Operators => {
                if is_newest {
                    let end = self.feeds.get(&stream).and_then(StoreFeed::end);
                    self.end_evacuation_list(now, end.unwrap_or_default());
                }
                self.lease.renew(sent);
                self.end_probe(now);
            }
            StoreStream::Servers => {
                self.record_servers_read(sent);
                self.end_listing(now, is_newest);
            }
            StoreStream::Rollouts => {
                self.rollout_end = self.feeds.get(&stream).and_then(StoreFeed::end);
            }
            StoreStream::Evidence => {}
        }
    }

    fn log_read(stream: StoreStream, before: u32, answer: &FeedAnswer) {
        let error = match answer {
            FeedAnswer::Newest(Err(error)) | FeedAnswer::From(Err(error)) => error,
            FeedAnswer::Newest(Ok(_)) | FeedAnswer::From(Ok(_)) => {
                if before > 0 {
                    tracing::info!(%stream, failures = before, "store answers again");
                }
                return;
            }
        };
        if matches!(error, StoreError::Trimmed { .. }) {
            tracing::info!(%stream, %error, "stream was trimmed; reading the newest records again");
        } else if before == 0 {
            tracing::warn!(%stream, %error, "failed to read from the store");
        }
    }

    /// Removes the servers that a complete new read of the server list does not contain.
    fn end_listing(&mut self, now: Millis, is_newest: bool) {
        if !is_newest {
            return;
        }
        let Some(listed) = self.listed.take() else { return };
        let end = self.feeds.get(&StoreStream::Servers).and_then(StoreFeed::end);
        self.remove_unlisted(now, end.unwrap_or_default(), &listed);
    }

    /// Removes the servers that a complete read up to the offset `end` does not list, unless this
    /// VM has a later record of them.
    pub(super) fn remove_unlisted(
        &mut self,
        now: Millis,
        end: Offset,
        listed: &BTreeSet<ServerId>,
    ) {
        for server in self.servers.unlisted(listed) {
            tracing::info!(%server, end = end.0, "server is no longer listed");
            let record = StoreRecord::Server(ServerChange::Removed(server));
            self.apply_records(now, &[StreamRecord { offset: end, record }]);
        }
    }

    pub(super) fn apply_records(&mut self, now: Millis, records: &[StreamRecord]) {
        for kept in records {
            self.collect_listed(&kept.record);
            if kept.record.key().is_some() && !self.records.insert(kept) {
                continue;
            }
            match &kept.record {
                StoreRecord::Configuration(document) => self.apply_document(now, document),
                StoreRecord::Order(order) => self.apply_order(now, order),
                StoreRecord::Server(change) => self.apply_server(now, change),
                StoreRecord::Rollout(record) => self.apply_rollout(now, record),
                StoreRecord::Evidence(evidence) => self.apply_evidence(evidence),
                StoreRecord::Evacuation(order) => self.apply_evacuation(now, order),
                StoreRecord::Unreadable { key, cause } => {
                    tracing::warn!(%key, %cause, "ignoring unreadable record");
                }
            }
        }
        if !records.is_empty() {
            for server in self.servers.forget_removed(now) {
                self.records.forget_server(&server);
            }
        }
    }

    /// Collects the servers that the current complete read of the server list contains.
    fn collect_listed(&mut self, record: &StoreRecord) {
        let Some(listed) = &mut self.listed else { return };
        match record {
            StoreRecord::Server(ServerChange::Said(entry)) => {
                listed.insert(entry.id.clone());
            }
            StoreRecord::Server(ServerChange::Removed(id)) => {
                listed.remove(id);
            }
            // What an earlier entry of the server said stays in force.
            StoreRecord::Server(ServerChange::Unreadable { key, .. }) => {
                listed.extend(key.parse::<ServerId>());
            }
            _ => {}
        }
    }

    fn apply_document(&mut self, now: Millis, document: &Arc<GatewayDocument>) {
        let known = self.document.as_ref().map(|known| known.revision);
        if known >= Some(document.revision) {
            return;
        }
        tracing::info!(
            revision = document.revision.0,
            before = known.map(|known| known.0),
            routes = document.routes.len(),
            keys = document.keys.count(),
            "configuration in force"
        );
        let has_cold_starts = known.is_some() || !document.cold_starts.is_empty();
        self.pool_ranks = document.routes.pool_ranks();
        self.shortest_objectives = document.routes.shortest_objectives();
        self.document = Some(Arc::clone(document));
        if has_cold_starts {
            self.update_cold_starts(now);
        }
    }

    fn apply_server(&mut self, now: Millis, change: &ServerChange) {
        match change {
            ServerChange::Said(entry) => {
                let (server, pool) = (entry.id.clone(), entry.pool.clone());
                let news = self.servers.apply_entry(entry.as_ref().clone());
                if let Some(known) = self.servers.get_mut(&entry.id) {
                    known.cold_until = now + entry.cold;
                }
                self.apply_cold_entry(now, entry);
                let software = &entry.software;
                match news {
                    ServerUpdate::Joined => {
                        tracing::info!(%server, %pool, %software, "server joined");
                    }
                    ServerUpdate::Leaving => tracing::info!(%server, %pool, "server is leaving"),
                    ServerUpdate::Same => {}
                }
            }
            ServerChange::Removed(server) => {
                if self.servers.apply_removal(now, server) == ServerUpdate::Leaving {
                    tracing::info!(%server, "server removed");
                }
            }
            ServerChange::Unreadable { key, cause } => {
                tracing::warn!(%key, %cause, "ignoring unreadable server entry");
            }
        }
    }
}
