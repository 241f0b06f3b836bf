use super::*;

/// A boxed future, which keeps the traits of this module dyn compatible.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The platform's append-only log.
pub trait LogService: Send + Sync {
    /// Appends records to a stream and returns the offset of the first one.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Lost`] means that the records may have been appended.
    fn append<'a>(
        &'a self,
        stream: &'a StreamId,
        records: &'a [Bytes],
    ) -> BoxFuture<'a, Result<Offset, PlatformError>>;

    /// Reads records from an offset on. If there are none yet, waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Trimmed`] if the stream no longer keeps `from`.
    fn read<'a>(
        &'a self,
        stream: &'a StreamId,
        from: Offset,
        wait: Millis,
    ) -> BoxFuture<'a, Result<LogPage, PlatformError>>;
}

/// The platform's membership list of entry VMs and backend servers.
pub trait MembershipService: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Returns an error if the list could not be read.
    fn members(&self) -> BoxFuture<'_, Result<MembershipList, PlatformError>>;
}

/// The platform's service that rates the quality of answers.
pub trait RatingService: Send + Sync {
    /// Rates a version's answer to a request, from 0 (poor) to 1 (good).
    ///
    /// # Errors
    ///
    /// Returns an error if the service gave no rating.
    fn rate<'a>(
        &'a self,
        version: &'a VersionId,
        request: &'a str,
        answer: &'a str,
    ) -> BoxFuture<'a, Result<Share, PlatformError>>;
}

/// Delivers orders to engines, such as to load or unload a version.
pub trait EngineOrders: Send + Sync {
    /// Sends an order to its engine and waits until the engine accepts it.
    ///
    /// # Errors
    ///
    /// [`OrderError::Lost`] means that the order may have taken effect.
    fn order<'a>(&'a self, order: &'a EngineOrder) -> BoxFuture<'a, Result<(), OrderError>>;
}

/// The load reports of backend servers.
pub trait LoadReports: Send + Sync {
    /// Reads the load report of the server at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the server sent no valid report.
    fn load(&self, address: SocketAddr) -> BoxFuture<'_, Result<LoadReport, PlatformError>>;
}
