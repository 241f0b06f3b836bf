//! The JSON bodies of the platform's rating service.

use super::*;

#[derive(Debug, Serialize)]
pub(super) struct RatingBody<'a> {
    pub(super) request: &'a str,
    pub(super) version: &'a VersionId,
    pub(super) answer: &'a str,
}

#[derive(Debug, Deserialize)]
pub(super) struct RatingAnswer {
    pub(super) score: Share,
}
