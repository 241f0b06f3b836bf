use super::*;
use std::sync::Weak;

/// All callers whose answers are under way.
#[derive(Debug)]
pub struct ReaderTable {
    bounds: ReaderBounds,
    budget: ByteBudget,
    begun: Instant,
    readers: Mutex<FxHashMap<RequestNumber, Weak<OpenReader>>>,
    losses: Mutex<Vec<LossCause>>,
}

impl ReaderTable {
    /// Returns an empty table; what is held for callers counts towards `budget`.
    #[must_use]
    pub fn new(bounds: ReaderBounds, budget: ByteBudget) -> Self {
        let (readers, losses) = (Mutex::default(), Mutex::default());
        Self { bounds, budget, begun: Instant::now(), readers, losses }
    }

    pub(super) const fn bounds(&self) -> &ReaderBounds {
        &self.bounds
    }

    pub(super) const fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    pub(super) fn now(&self) -> Millis {
        Millis(self.begun.elapsed().as_millis() as u64)
    }

    /// Adds the caller of a request.
    pub(in super::super) fn open(
        self: &Arc<Self>,
        request: RequestNumber,
        connection: Option<Arc<CallerConnection>>,
    ) -> Arc<OpenReader> {
        let reader = Arc::new(OpenReader::new(request, connection, Arc::clone(self)));
        self.lock().insert(request, Arc::downgrade(&reader));
        reader
    }

    pub(super) fn close(&self, request: RequestNumber) {
        self.lock().remove(&request);
    }

    pub(super) fn record_loss(&self, cause: LossCause) {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner).push(cause);
    }

    /// Ends the answers of callers that hold up too much. Returns the causes of all answers lost
    /// since the last sweep.
    #[must_use]
    pub fn sweep(&self) -> Vec<LossCause> {
        let readers: Vec<_> = self.lock().values().filter_map(Weak::upgrade).collect();
        let now = self.now();
        let views: Vec<_> = readers.iter().map(|reader| reader.view(now)).collect();
        let losers = self.bounds.losers(&views, self.budget.held(), self.budget.limit());
        for (request, cause) in losers {
            let loser = readers.iter().zip(&views).find(|(_, view)| view.request == request);
            if let Some((reader, _)) = loser {
                reader.lose(cause);
            }
        }
        std::mem::take(&mut *self.losses.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FxHashMap<RequestNumber, Weak<OpenReader>>> {
        self.readers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
