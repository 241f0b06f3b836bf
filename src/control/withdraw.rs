use super::*;

impl Control {
    /// Takes a generation of a version out of service.
    pub fn withdraw(&mut self, now: Millis, version: VersionId, generation: u32, _reason: SmolStr) {
        let known = self.withdrawn.entry(version).or_insert(generation);
        *known = generation.max(*known);
        self.recheck_queued(now);
    }

    /// Returns whether a generation of a version has been taken out of service.
    #[must_use]
    pub fn is_withdrawn(&self, version: &VersionId, generation: u32) -> bool {
        self.withdrawn.get(version).is_some_and(|known| generation <= *known)
    }
}
