//! The JSON bodies of the platform's interfaces.

use super::*;

#[derive(Debug, Serialize)]
pub(super) struct AppendBody {
    pub(super) records: Vec<String>,
}

#[derive(Debug, Deserialize)]
pub(super) struct AppendAnswer {
    pub(super) offset: Offset,
}

#[derive(Debug, Deserialize)]
pub(super) struct ReadAnswer {
    pub(super) oldest: Offset,
    pub(super) next: Offset,
    pub(super) records: Vec<ReadRecord>,
}

#[derive(Debug, Deserialize)]
pub(super) struct ReadRecord {
    pub(super) offset: Offset,
    pub(super) record: String,
}

#[derive(Debug, Deserialize)]
pub(super) struct TrimmedAnswer {
    pub(super) oldest: Offset,
}

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
