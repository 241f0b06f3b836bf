use super::*;

/// A boxed future, so that the traits below can be objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The append-only log.
pub trait LogService: Send + Sync {
    /// Appends records and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Lost`] means that the records may have been appended.
    fn append<'a>(
        &'a self,
        stream: &'a StreamId,
        records: &'a [Bytes],
    ) -> BoxFuture<'a, Result<Offset, PlatformError>>;

    /// Reads records, waiting for the first one at most `wait`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Trimmed`] if `from` is no longer kept.
    fn read<'a>(
        &'a self,
        stream: &'a StreamId,
        from: Offset,
        wait: Millis,
    ) -> BoxFuture<'a, Result<LogPage, PlatformError>>;
}

/// The membership list.
pub trait MembershipService: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns why the list could not be read.
    fn members(&self) -> BoxFuture<'_, Result<MembershipList, PlatformError>>;
}

/// The service that rates answers.
pub trait RatingService: Send + Sync {
    /// Rates an answer between 0 and 1.
    ///
    /// # Errors
    ///
    /// Returns why there is no rating.
    fn rate<'a>(
        &'a self,
        version: &'a VersionId,
        request: &'a str,
        answer: &'a str,
    ) -> BoxFuture<'a, Result<Share, PlatformError>>;
}

/// The engines' side of orders.
pub trait EngineOrders: Send + Sync {
    /// Sends an order to its engine.
    ///
    /// # Errors
    ///
    /// [`OrderError::Lost`] means that the engine may have taken the order.
    fn order<'a>(&'a self, order: &'a EngineOrder) -> BoxFuture<'a, Result<(), OrderError>>;
}

/// The load reports of backend servers.
pub trait LoadReports: Send + Sync {
    /// Reads the report of one server.
    ///
    /// # Errors
    ///
    /// Returns why there is no report.
    fn load(&self, address: SocketAddr) -> BoxFuture<'_, Result<LoadReport, PlatformError>>;
}
