use super::*;

/// What an answer of a backend server says about the server's request limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitStatement {
    /// Nothing: the server has no limit, or no longer has one.
    #[default]
    Absent,
    /// The requests per second that the server accepts from all VMs together.
    Named(RequestsPerSecond),
    /// The value cannot be parsed. An earlier statement remains in force.
    Unreadable,
}
