//! `guavapass bills`: reports the cost of each team, computed from the `bills` stream.

use super::*;

/// Returns the definition of the subcommand.
pub fn command() -> CommandLine {
    CommandLine::new("bills")
        .about("Report what each team pays")
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(clap::value_parser!(SocketAddr))
                .help("The address of the platform, IP:PORT"),
        )
        .arg(
            Arg::new("team")
                .long("team")
                .value_name("TEAM")
                .value_parser(TeamId::from_str)
                .help("Report this team only"),
        )
        .arg(
            Arg::new("since")
                .long("since")
                .value_name("AGE")
                .value_parser(parse_age)
                .help("Report bills opened within this time: a number with s, m, h or d"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(clap::ArgAction::SetTrue)
                .help("Write JSON, with each unsettled bill"),
        )
}

/// Reads the whole stream and prints the totals of each team.
///
/// # Errors
///
/// Returns an error if the platform's log cannot be read.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let Some(address) = matches.get_one::<SocketAddr>("platform") else {
        return Ok(ExitCode::FAILURE);
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let since = matches.get_one::<Millis>("since");
    let since = since.map_or(Millis(0), |age| Clock::start().unix().since(*age));
    let (fold, rule) = runtime.block_on(async {
        let log = HttpStore::new(*address);
        let fold = read_bills(&log).await?;
        Ok::<_, PlatformError>((fold, read_rule(&log).await?))
    })?;
    let report = BillReport::of(&fold, rule, matches.get_one("team"), since);
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        print(&report);
    }
    Ok(ExitCode::SUCCESS)
}

fn parse_age(text: &str) -> Result<Millis, UnitError> {
    let invalid = || UnitError { text: text.into(), unit: "s, m, h or d" };
    let unit = text.chars().last().ok_or_else(invalid)?;
    let unit_ms = match unit {
        's' => 1_000,
        'm' => 60_000,
        'h' => 3_600_000,
        'd' => 86_400_000,
        _ => return Err(invalid()),
    };
    let number: u64 = text[..text.len() - 1].parse().map_err(|_| invalid())?;
    Ok(Millis(number.saturating_mul(unit_ms)))
}

/// Reads a stream from its oldest record to its end and calls `on_page` for every page, with the
/// offset that the page was read from.
async fn read_stream(
    log: &dyn LogService,
    stream: &StreamId,
    mut on_page: impl FnMut(Offset, &LogPage),
) -> Result<(), PlatformError> {
    let mut from = Offset(0);
    loop {
        match log.read(stream, from, Millis(0)).await {
            Ok(page) => {
                on_page(from, &page);
                let Some(last) = page.records.last() else { return Ok(()) };
                from = Offset(last.offset.0 + 1);
            }
            Err(PlatformError::Trimmed { oldest }) if oldest > from => from = oldest,
            Err(error) => return Err(error),
        }
    }
}

async fn read_bills(log: &dyn LogService) -> Result<BillFold, PlatformError> {
    let mut fold = BillFold::default();
    let on_page = |_, page: &LogPage| page.records.iter().for_each(|record| fold.fold(record));
    read_stream(log, &BillLedger::stream(), on_page).await?;
    Ok(fold)
}

/// Returns how the configuration in force bills requests whose outcome is unknown.
async fn read_rule(log: &dyn LogService) -> Result<UnsettledRule, PlatformError> {
    let mut fold = ConfigurationFold::default();
    let on_page = |from, page: &LogPage| {
        fold.fold_page(from, page);
    };
    read_stream(log, &ConfigurationFold::stream(), on_page).await?;
    Ok(fold.document().map_or(UnsettledRule::default(), |document| document.unsettled_bills))
}

fn print(report: &BillReport) {
    println!(
        "{:<24} {:>10} {:>10} {:>14} {:>14} {:>14}",
        "team", "requests", "unsettled", "prompt tokens", "output tokens", "cost"
    );
    for (team, total) in &report.teams {
        println!(
            "{:<24} {:>10} {:>10} {:>14} {:>14} {:>14.4}",
            team.as_str(),
            total.requests,
            total.unsettled,
            total.prompt_tokens.0,
            total.output_tokens.0,
            total.cost.0
        );
    }
}
