//! `guavapass demo`: runs stand-in servers, three entry VMs in two data centres and a few seconds of
//! traffic in one process.
//!
//! The demo checks the guarantees that its traffic exercises and fails if one was violated.

use super::*;
use {
    http::Method,
    stand_in::{
        BookingStandIn, CallOutcome, CallRequest, CallerStandIn, EngineSetup, EngineStandIn,
        PlatformStandIn,
    },
};

mod answer_cost;
mod demo_call;
mod demo_environment;
mod demo_plan;
mod demo_report;
mod demo_traffic;
mod guarantee_check;
mod team_summary;

use {
    answer_cost::{answer_cost, model_cost},
    demo_call::{CallKind, DemoCall, DemoResult},
    demo_environment::DemoEnvironment,
    demo_plan::DemoPlan,
    demo_report::DemoReport,
    demo_traffic::{DemoTraffic, TrafficRecord},
    guarantee_check::GuaranteeCheck,
    team_summary::TeamSummary,
};

const DEMO_SEED: u64 = 1;

/// Returns the definition of the subcommand.
pub(super) fn command() -> clap::Command {
    let flag = |name: &'static str, help: &'static str| {
        clap::Arg::new(name).long(name).help(help).action(clap::ArgAction::SetTrue)
    };
    clap::Command::new("demo")
        .about("Runs entry VMs before stand-ins, sends traffic and checks promises")
        .arg(flag("json", "Print one JSON document"))
        .arg(flag("keep", "Leave everything running until interrupted"))
}

/// Runs the demo and prints its report. The exit code is 1 if a guarantee was violated.
///
/// # Errors
///
/// Returns an error if the entry VMs cannot be started or do not become ready in time.
pub(super) fn run(matches: &clap::ArgMatches) -> Result<ExitCode, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let environment = DemoEnvironment::start()?;
    runtime.block_on(environment.publish_first())?;
    let record = runtime.block_on(DemoTraffic::new(&environment, DEMO_SEED).run())?;
    let report = DemoReport::new(&environment, &record);
    if matches.get_flag("json") {
        println!("{:#}", report.json());
    } else {
        print!("{report}");
    }
    if matches.get_flag("keep") {
        println!("{}", environment.invitation());
        let _ = runtime.block_on(tokio::signal::ctrl_c());
    }
    environment.shut_down();
    Ok(if report.all_held() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
