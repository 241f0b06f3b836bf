use super::*;

/// A caller whose answer is under way. It leaves its [`ReaderTable`] on drop.
#[derive(Debug)]
pub(in super::super) struct OpenReader {
    request: RequestNumber,
    connection: Option<Arc<CallerConnection>>,
    table: Arc<ReaderTable>,
    held: AtomicU64,
    /// The time at which the caller last took something, or the first byte was held for it.
    since: AtomicU64,
    is_lost: AtomicBool,
}

impl OpenReader {
    pub(super) fn new(
        request: RequestNumber,
        connection: Option<Arc<CallerConnection>>,
        table: Arc<ReaderTable>,
    ) -> Self {
        Self {
            request,
            connection,
            table,
            held: AtomicU64::new(0),
            since: AtomicU64::new(0),
            is_lost: AtomicBool::new(false),
        }
    }

    pub(super) fn table(&self) -> &ReaderTable {
        &self.table
    }

    /// Returns the memory towards which the bytes held for the caller count.
    pub(in super::super) fn budget(&self) -> &ByteBudget {
        self.table.budget()
    }

    /// Records bytes that are held for the caller.
    pub(in super::super) fn hold(&self, bytes: u64) {
        if self.held.fetch_add(bytes, Ordering::Relaxed) == 0 {
            self.record_progress();
        }
    }

    /// Records that the caller has taken bytes.
    pub(in super::super) fn take(&self, bytes: u64) {
        if self.held.fetch_sub(bytes, Ordering::Relaxed) > bytes {
            self.record_progress();
        }
    }

    /// Records that the caller is ready for more.
    fn record_progress(&self) {
        self.since.store(self.table.now().0, Ordering::Relaxed);
    }

    pub(super) fn view(&self, now: Millis) -> ReaderView {
        ReaderView {
            request: self.request,
            held: ByteSize(self.held.load(Ordering::Relaxed)),
            unread: now.since(Millis(self.since.load(Ordering::Relaxed))),
        }
    }

    /// Ends the answer by closing the caller's connection.
    pub(super) fn lose(&self, cause: LossCause) {
        if self.is_lost.swap(true, Ordering::Relaxed) {
            return;
        }
        let ReaderView { held, unread, .. } = self.view(self.table.now());
        tracing::warn!(
            request = self.request.0,
            held_bytes = held.0,
            unread_ms = unread.0,
            %cause,
            "gave up an answer that its caller does not read"
        );
        self.table.record_loss(cause);
        if let Some(connection) = &self.connection {
            connection.abort();
        }
    }
}

impl Drop for OpenReader {
    fn drop(&mut self) {
        self.table.close(self.request);
    }
}
