use super::*;

/// The platform's log store, as the gateway uses it.
pub trait RecordStore: Send + Sync {
    /// Reads a page with the newest record of each key, from the first key after `after` on, or
    /// from the start.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] for which there is no page.
    fn newest(
        &self,
        stream: StoreStream,
        after: Option<SmolStr>,
    ) -> BoxFuture<'_, Result<NewestPage, StoreError>>;

    /// Reads records from an offset on, waiting at most `wait` for the first one.
    ///
    /// # Errors
    ///
    /// [`StoreError::Trimmed`] if the record at the offset has been trimmed from the stream.
    fn read(
        &self,
        stream: StoreStream,
        from: Offset,
        wait: Millis,
    ) -> BoxFuture<'_, Result<StorePage, StoreError>>;

    /// Appends a record and returns the new end of the stream. With `at`, appends only if the
    /// stream still ends there.
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
