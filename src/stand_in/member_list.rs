//! The membership list of the fake platform.

use super::*;
use reply::json_reply;

/// The entry VMs and backend servers, each live or leaving. Changes become visible after a lag.
#[derive(Debug, Default)]
pub struct MemberList {
    history: Mutex<Vec<(Instant, MembershipList)>>,
    lag: Mutex<Duration>,
}

impl MemberList {
    /// Sets the time until a change becomes visible; 0 by default.
    pub fn set_lag(&self, lag: Duration) {
        *lock(&self.lag) = lag;
    }

    /// Adds an entry VM, whose `address` is that of its listener for peers.
    pub fn add_entry_vm(&self, member: VmMember) {
        self.change(|list| list.entry_vms.push(member));
    }

    /// Adds a backend server; an id that is already listed is not checked for.
    pub fn add_backend_server(&self, member: ServerMember) {
        self.change(|list| list.backend_servers.push(member));
    }

    /// Sets the state of the entry VM or backend server with an id.
    pub fn set_state(&self, id: &str, state: MemberState) {
        self.change(|list| {
            for member in list.entry_vms.iter_mut().filter(|member| member.id.as_str() == id) {
                member.state = state;
            }
            for member in list.backend_servers.iter_mut().filter(|member| member.id.as_str() == id)
            {
                member.state = state;
            }
        });
    }

    /// Removes the entry VM or backend server with an id.
    pub fn remove(&self, id: &str) {
        self.change(|list| {
            list.entry_vms.retain(|member| member.id.as_str() != id);
            list.backend_servers.retain(|member| member.id.as_str() != id);
        });
    }

    pub(super) fn answer(&self) -> Response<ReplyBody> {
        json_reply(StatusCode::OK, &serde_json::json!(self.seen(Instant::now())))
    }

    fn change(&self, change: impl FnOnce(&mut MembershipList)) {
        let mut history = lock(&self.history);
        let mut list = history.last().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut list);
        history.push((Instant::now(), list));
    }

    fn seen(&self, now: Instant) -> MembershipList {
        let lag = *lock(&self.lag);
        let history = lock(&self.history);
        let seen = history.iter().rev().find(|(set, _)| now.duration_since(*set) >= lag);
        seen.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
