//! What the bench drives: the shipping core or the naive router.

use guavapass::{
    configuration::{ConfigurationChange, ConfigurationDocument, ConfigurationRecord},
    control::{Command, Control, Event, VmIdentity},
    ids::{Incarnation, Offset, PoolId, Revision},
    ports::{LogPage, LogRecord, MemberState, MembershipList, ServerMember},
    routing::QualityPolicy,
    units::Millis,
};

pub trait BenchRouter {
    fn handle(&mut self, now: Millis, event: Event) -> Vec<Command>;
}

impl BenchRouter for Control {
    fn handle(&mut self, now: Millis, event: Event) -> Vec<Command> {
        Self::handle(self, now, event)
    }
}

/// Returns the shipping core with a configuration in force.
pub fn shipping(document: &ConfigurationDocument) -> Control {
    let identity = VmIdentity {
        vm: "vm-1".parse().unwrap(),
        incarnation: Incarnation(1),
        data_centre: "norte".parse().unwrap(),
    };
    let mut control = Control::new(identity, Box::new(QualityPolicy::default()));
    control.handle(Millis(0), publication(document, 0));
    control
}

/// Returns the event that brings a document into force as the revision after `base`.
pub fn publication(document: &ConfigurationDocument, base: u64) -> Event {
    let record = ConfigurationRecord {
        schema: 1,
        publication: format!("change-{base}").into(),
        base: Revision(base),
        change: ConfigurationChange::Document(Box::new(document.clone())),
    };
    let record = serde_json::to_vec(&record).unwrap().into();
    let records = vec![LogRecord { offset: Offset(base), record }];
    let page = LogPage { oldest: Offset(0), next: Offset(base + 1), records };
    Event::LogRead { stream: "configuration".parse().unwrap(), result: Ok(page) }
}

/// Returns the membership list of so many servers.
pub fn members(pool: &PoolId, count: usize) -> Vec<ServerMember> {
    (0..count)
        .map(|index| ServerMember {
            id: format!("{pool}-{index}").parse().unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "norte".parse().unwrap(),
            pool: pool.clone(),
            state: MemberState::Live,
        })
        .collect()
}

pub fn listed(members: Vec<ServerMember>) -> Event {
    Event::MembersRead(Ok(MembershipList { entry_vms: Vec::new(), backend_servers: members }))
}
