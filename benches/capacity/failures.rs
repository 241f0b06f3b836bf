//! What failures cost the VMs that go on.

use super::*;

/// Prints what a failure costs each VM that runs, over the time that it takes to settle.
fn failure(
    name: &str,
    vms: usize,
    strike: fn(&mut CoreCluster),
    settled: fn(&CoreCluster) -> bool,
) {
    const LIMIT_MS: u64 = 180_000;
    let mut stage = Stage::new(vms);
    stage.reset();
    strike(&mut stage.cluster);
    let took = stage.cluster.run_until(Millis(LIMIT_MS), settled);
    let Some(took) = took else {
        println!("| {name} | {vms} | not settled in {} s | | |", LIMIT_MS / 1_000);
        return;
    };
    let running = stage.cluster.vms.iter().filter(|vm| vm.state == CoreState::Running);
    let (mut messages, mut spent, mut count) = (0, Duration::ZERO, 0);
    for vm in running {
        messages += vm.bytes.messages;
        spent += vm.handler_time;
        count += 1;
    }
    let seconds = took.0.max(1) as f64 / 1_000.0;
    println!(
        "| {name} | {vms} | {took} | {:.1} | {:.2} |",
        messages as f64 / f64::from(count) / seconds,
        spent.as_secs_f64() / f64::from(count) / seconds * 100.0
    );
}

fn kill(cluster: &mut CoreCluster, vms: impl Iterator<Item = usize>) {
    for vm in vms {
        cluster.vms[vm].state = CoreState::Dead;
    }
}

fn cut_first_centre(cluster: &mut CoreCluster) {
    const CUT_MS: u64 = 60_000;
    cluster.faults.partitioned.insert(CENTRES[0].parse().unwrap());
    cluster.run(Millis(CUT_MS));
    let change = ConfigurationChange::Preset("peak".parse().unwrap());
    let wait = Millis(60_000);
    let publish = OperatorRequest::Publish { publication: "cut".into(), base: None, change, wait };
    cluster.ask(1, 2, publish);
    cluster.run(Millis(CUT_MS));
    cluster.faults.partitioned.clear();
}

/// Returns whether every VM that runs counts just the dead ones as out of reach.
fn reach_is_true(cluster: &CoreCluster) -> bool {
    let dead: Vec<VmId> = cluster
        .vms
        .iter()
        .filter(|vm| vm.state == CoreState::Dead)
        .map(|vm| vm.name.vm.clone())
        .collect();
    cluster.vms.iter().filter(|vm| vm.state == CoreState::Running).all(|vm| {
        vm.control.peers().iter().all(|peer| peer.is_in_reach() != dead.contains(&peer.vm))
    })
}

pub fn failures(vms: usize) {
    println!("\n| Failure | VMs | Settled after | Messages/s a VM | Core, % |");
    println!("|---|---|---|---|---|");
    failure(
        "a twentieth of the VMs fail at once",
        vms,
        |cluster| {
            kill(cluster, (0..cluster.vms.len()).filter(|vm| vm % 20 == 7));
        },
        reach_is_true,
    );
    failure(
        "a data centre fails",
        vms,
        |cluster| {
            kill(cluster, (0..cluster.vms.len()).filter(|vm| vm % CENTRES.len() == 0));
        },
        reach_is_true,
    );
    failure(
        "a tenth of the VMs start anew",
        vms,
        |cluster| {
            for vm in (0..cluster.vms.len()).filter(|vm| vm % 10 == 3) {
                let name = cluster.vms[vm].name.vm.to_string();
                cluster.replace_vm(vm, &name, 2);
            }
        },
        |cluster| cluster.vms.iter().all(|vm| vm.control.is_ready()) && cluster.agrees(),
    );
    failure("a data centre comes back after two minutes", vms, cut_first_centre, |cluster| {
        reach_is_true(cluster) && cluster.agrees()
    });
}
