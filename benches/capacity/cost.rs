//! What a VM spends.

use super::*;

/// What one VM spends in a second.
#[derive(Clone, Copy, Default)]
pub struct Cost {
    pub bytes: f64,
    pub messages: f64,
    pub calls: f64,
    pub core: f64,
}

pub fn envelope() -> (u64, Duration) {
    const ROUNDS: u32 = 2_000;
    let name = |vm: &str| PeerName { vm: vm.parse().unwrap(), incarnation: Incarnation(1) };
    let mut sender = PeerSeal::new(name("entry-vm-100"), CoreCluster::keys());
    let mut receiver = PeerSeal::new(name("entry-vm-200"), CoreCluster::keys());
    let to = name("entry-vm-200").vm;
    let hello = sender.seal(&to, &PeerMessage::FetchMembers).unwrap();
    let introduction = receiver.open(&hello).map_err(|error| receiver.introduce(&error));
    sender.open(&introduction.unwrap_err().unwrap()).unwrap();
    let message = PeerMessage::Announce(guavapass::configuration::ConfigurationStamp::default());
    let plain = rmp_serde::to_vec_named(&message).unwrap().len() as u64;
    let sealed = sender.seal(&to, &message).unwrap().len() as u64;
    let start = Instant::now();
    for _ in 0..ROUNDS {
        let sealed = sender.seal(&to, &message).unwrap();
        receiver.open(&sealed).unwrap();
    }
    (sealed - plain, start.elapsed() / ROUNDS)
}

pub fn cost(stage: &Stage, vm: usize, envelope: (u64, Duration)) -> Cost {
    let vm = &stage.cluster.vms[vm];
    let heads =
        vm.bytes.messages * (envelope.0 + HTTP_HEAD_BYTES) + vm.bytes.calls * CALL_HEAD_BYTES;
    let seconds = SECONDS as f64;
    let seal = envelope.1.as_secs_f64() * vm.bytes.messages as f64 / 2.0;
    Cost {
        bytes: (vm.bytes.message_bytes + vm.bytes.call_bytes + heads) as f64 / seconds,
        messages: vm.bytes.messages as f64 / seconds,
        calls: vm.bytes.calls as f64 / seconds,
        core: (vm.handler_time.as_secs_f64() + seal) / seconds,
    }
}

pub fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<f64> = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
