//! The membership list of the stand-in platform.

use super::*;
use reply::json_reply;

/// Whether a member takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It takes new work.
    Live,
    /// It takes no new work.
    Leaving,
}

/// The live and leaving VMs, seen after a delay.
#[derive(Debug, Default)]
pub struct MemberList {
    history: Mutex<Vec<(Instant, ListState)>>,
    lag: Mutex<Duration>,
}

#[derive(Clone, Debug, Default, Serialize)]
struct ListState {
    entry_vms: BTreeMap<SmolStr, MemberEntry>,
    backend_servers: BTreeMap<SmolStr, MemberEntry>,
}

#[derive(Clone, Debug, Serialize)]
struct MemberEntry {
    id: SmolStr,
    address: SocketAddr,
    data_centre: SmolStr,
    #[serde(skip_serializing_if = "Option::is_none")]
    pool: Option<SmolStr>,
    state: MemberState,
}

impl MemberList {
    /// Sets how long a change takes to be seen.
    pub fn set_lag(&self, lag: Duration) {
        *lock(&self.lag) = lag;
    }

    /// Adds an entry VM.
    pub fn add_entry_vm(&self, id: &str, data_centre: &str, address: SocketAddr) {
        let entry = MemberEntry {
            id: id.into(),
            address,
            data_centre: data_centre.into(),
            pool: None,
            state: MemberState::Live,
        };
        self.change(|list| drop(list.entry_vms.insert(id.into(), entry)));
    }

    /// Adds a backend server.
    pub fn add_backend_server(&self, id: &str, data_centre: &str, pool: &str, address: SocketAddr) {
        let entry = MemberEntry {
            id: id.into(),
            address,
            data_centre: data_centre.into(),
            pool: Some(pool.into()),
            state: MemberState::Live,
        };
        self.change(|list| drop(list.backend_servers.insert(id.into(), entry)));
    }

    /// Sets the state of a member.
    pub fn set_state(&self, id: &str, state: MemberState) {
        self.change(|list| {
            let members = list.entry_vms.values_mut().chain(list.backend_servers.values_mut());
            members.filter(|member| member.id == id).for_each(|member| member.state = state);
        });
    }

    /// Removes a member.
    pub fn remove(&self, id: &str) {
        self.change(|list| {
            list.entry_vms.remove(id);
            list.backend_servers.remove(id);
        });
    }

    pub(super) fn answer(&self) -> Response<ReplyBody> {
        let list = self.seen(Instant::now());
        let body = serde_json::json!({
            "entry_vms": list.entry_vms.values().collect::<Vec<_>>(),
            "backend_servers": list.backend_servers.values().collect::<Vec<_>>(),
        });
        json_reply(StatusCode::OK, &body)
    }

    fn change(&self, change: impl FnOnce(&mut ListState)) {
        let mut history = lock(&self.history);
        let mut list = history.last().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut list);
        history.push((Instant::now(), list));
    }

    fn seen(&self, now: Instant) -> ListState {
        let lag = *lock(&self.lag);
        let history = lock(&self.history);
        let seen = history.iter().rev().find(|(set, _)| now.duration_since(*set) >= lag);
        seen.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
