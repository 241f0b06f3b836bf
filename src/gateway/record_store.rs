use super::*;

/// The platform's store, as the gateway uses it.
pub trait RecordStore: Send + Sync {
    /// Reads the newest record of each key, going on after a key.
    ///
    /// # Errors
    ///
    /// Returns why there is no page.
    fn newest(
        &self,
        stream: StoreStream,
        after: Option<SmolStr>,
    ) -> BoxFuture<'_, Result<NewestPage, StoreError>>;

    /// Reads records from an offset on, waiting for the first one at most `wait`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Trimmed`] if the offset is no longer kept.
    fn read(
        &self,
        stream: StoreStream,
        from: Offset,
        wait: Millis,
    ) -> BoxFuture<'_, Result<StorePage, StoreError>>;

    /// Appends a record, if the stream still ends at the offset given; returns the new end.
    ///
    /// # Errors
    ///
    /// [`StoreError::Lost`] means that the record may have been appended, or may yet be.
    fn append<'a>(
        &'a self,
        record: &'a StoreRecord,
        at: Option<Offset>,
    ) -> BoxFuture<'a, Result<Offset, StoreError>>;
}
