//! Runs the commands of a golden file and writes its transcript.

use guavapass::{
    configuration::{ConfigurationChange, ConfigurationDocument, PublicationOutcome},
    control::*,
    ids::{AttemptId, DataCentreId, RequestNumber, TeamId},
    ports::MemberState,
    session::SessionToken,
    stand_in::{CoreCluster, CoreState},
    units::{Millis, Tokens},
};
use std::{collections::BTreeMap, fmt::Write};

const DOCUMENT: &str = include_str!("document.json");

type ScriptResult<T = ()> = Result<T, String>;

/// A script that is being run.
pub struct GoldenScript {
    cluster: CoreCluster,
    calls: u64,
    tokens: BTreeMap<u64, String>,
    /// Whether each attempt gets a whole answer at once.
    answers_whole: bool,
    /// Whether the transcript names the servers of attempts.
    shows_servers: bool,
    transcript: String,
}

impl GoldenScript {
    /// Runs the commands of a golden file and returns the file with the actual output.
    ///
    /// # Errors
    ///
    /// Returns the first line that cannot be understood, and why.
    pub fn replay(text: &str) -> ScriptResult<String> {
        let mut script = Self {
            cluster: CoreCluster::new(1),
            calls: 0,
            tokens: BTreeMap::new(),
            answers_whole: false,
            shows_servers: false,
            transcript: String::new(),
        };
        for line in text.lines() {
            if line.is_empty() || line.starts_with('#') {
                script.write_line(line);
            } else if let Some(command) = line.strip_prefix("> ") {
                script.write_line(line);
                let words: Vec<&str> = command.split_whitespace().collect();
                script.run_command(&words).map_err(|error| format!("{line}: {error}"))?;
                script.report();
            }
        }
        Ok(script.transcript)
    }

    fn write_line(&mut self, line: &str) {
        writeln!(self.transcript, "{line}").unwrap();
    }

    fn run_command(&mut self, words: &[&str]) -> ScriptResult {
        match words {
            ["cluster", count, centres @ ..] => self.start(number(count)? as usize, centres),
            ["server", name, pool, centre] => self.cluster.list_server(name, pool, centre),
            ["server-leaves", name] => self.set_leaving(name)?,
            ["run", millis] => self.cluster.run(Millis(number(millis)?)),
            ["publish", vm, name] => self.publish(vm, name, None)?,
            ["publish", vm, name, "generation", version, count] => {
                self.publish(vm, name, Some((version, number(count)? as u32)))?;
            }
            ["preset", vm, name] => self.preset(vm, name)?,
            ["ask", vm, request, fields @ ..] => self.ask(vm, number(request)?, fields)?,
            ["whole", vm, request] => {
                let request = RequestNumber(number(request)?);
                self.end(self.vm(vm)?, request, AttemptId(1));
            }
            ["answers", "whole"] => self.answers_whole = true,
            ["show", "servers"] => self.shows_servers = true,
            ["withdraw", vm, version, generation] => self.withdraw(vm, version, generation)?,
            ["pause", vm] => self.set_state(vm, CoreState::Paused)?,
            ["resume", vm] => self.set_state(vm, CoreState::Running)?,
            ["kill", vm] => self.set_state(vm, CoreState::Dead)?,
            ["replace", vm, incarnation] => {
                let index = self.vm(vm)?;
                self.cluster.replace_vm(index, vm, number(incarnation)?);
            }
            ["cut", centres @ ..] => {
                let cut: Result<_, _> = centres.iter().map(|name| centre(name)).collect();
                self.cluster.faults.partitioned = cut?;
            }
            ["platform", state] => self.cluster.faults.platform_down = *state == "down",
            ["lose-appends", count] => {
                self.cluster.faults.lost_appends = number(count)? as u32;
            }
            ["step-clock", vm, unix] => {
                let index = self.vm(vm)?;
                let unix = Millis(number(unix)?);
                self.cluster.handle(index, Event::WallClock { unix });
            }
            ["revisions"] => self.revisions(),
            _ => return Err("there is no such command".into()),
        }
        Ok(())
    }

    fn start(&mut self, count: usize, centres: &[&str]) {
        self.cluster = CoreCluster::new(1).with_vms(count, centres);
    }

    fn vm(&self, name: &str) -> ScriptResult<usize> {
        let found = self.cluster.vms.iter().position(|vm| vm.name.vm.as_str() == name);
        found.ok_or_else(|| format!("there is no VM {name}"))
    }

    fn set_state(&mut self, vm: &str, state: CoreState) -> ScriptResult {
        let index = self.vm(vm)?;
        self.cluster.vms[index].state = state;
        Ok(())
    }

    fn set_leaving(&mut self, name: &str) -> ScriptResult {
        let mut servers = self.cluster.members.backend_servers.iter_mut();
        let server = servers.find(|server| server.id.as_str() == name);
        server.ok_or("there is no such server")?.state = MemberState::Leaving;
        Ok(())
    }

    /// Publishes the test document, with the generation of one version raised if `raise` is given.
    fn publish(&mut self, vm: &str, name: &str, raise: Option<(&str, u32)>) -> ScriptResult {
        let mut document: ConfigurationDocument =
            serde_json::from_str(DOCUMENT).map_err(|error| error.to_string())?;
        if let Some((version, generation)) = raise {
            let (model, version) = version.split_once('@').ok_or("write model@version")?;
            let model = document
                .models
                .values_mut()
                .find(|entry| entry.versions.contains_key(version) && !model.is_empty());
            let entry = model.and_then(|entry| entry.versions.get_mut(version));
            entry.ok_or("there is no such version")?.generation = generation;
        }
        self.publish_change(vm, name, ConfigurationChange::Document(Box::new(document)))
    }

    fn preset(&mut self, vm: &str, name: &str) -> ScriptResult {
        let preset = name.parse().map_err(|_| "the name of the preset is wrong")?;
        let publication = format!("preset-{}", self.calls);
        self.publish_change(vm, &publication, ConfigurationChange::Preset(preset))
    }

    fn publish_change(
        &mut self,
        vm: &str,
        name: &str,
        change: ConfigurationChange,
    ) -> ScriptResult {
        let index = self.vm(vm)?;
        self.calls += 1;
        let request = OperatorRequest::Publish {
            publication: name.into(),
            base: None,
            change,
            wait: Millis(30_000),
        };
        self.cluster.ask(index, self.calls, request);
        Ok(())
    }

    /// Sends a request. The fields are `team`, `model`, and `session` with an id or `@N` for the
    /// token that request N got; `@N!` is that token with a wrong signature.
    fn ask(&mut self, vm: &str, request: u64, fields: &[&str]) -> ScriptResult {
        let index = self.vm(vm)?;
        let mut arrival = Arrival {
            request: RequestNumber(request),
            key: None,
            target: ArrivalTarget::Model("auto".into()),
            mode: AnswerMode::Whole,
            prompt_tokens: Tokens(100),
            max_tokens: Tokens(100),
            prefix: 0,
            fingerprint: request,
            session: None,
            idempotency_key: None,
            deadline: None,
            source: ArrivalSource::Caller,
        };
        for field in fields {
            match field.split_once('=') {
                Some(("team", "crews")) => arrival.key = Some("a".repeat(64).into()),
                Some(("team", "offices")) => arrival.key = Some("b".repeat(64).into()),
                Some(("model", model)) => arrival.target = ArrivalTarget::Model(model.into()),
                Some(("session", text)) => arrival.session = Some(self.session(text)?.into()),
                _ => return Err(format!("the field {field} is unknown")),
            }
        }
        self.cluster.handle(index, Event::Arrived(arrival));
        Ok(())
    }

    fn session(&self, text: &str) -> ScriptResult<String> {
        let Some(request) = text.strip_prefix('@') else { return Ok(text.into()) };
        let (request, forged) = match request.strip_suffix('!') {
            Some(request) => (request, true),
            None => (request, false),
        };
        let token = self.tokens.get(&number(request)?).ok_or("there is no such token")?;
        Ok(if forged { format!("{token}A") } else { token.clone() })
    }

    /// Ends an attempt with a whole answer.
    fn end(&mut self, vm: usize, request: RequestNumber, attempt: AttemptId) {
        let usage = TokenUsage { prompt: Tokens(100), output: Tokens(50) };
        for report in [
            AttemptReport::Writing,
            AttemptReport::Head,
            AttemptReport::Ended(AttemptOutcome::Whole { status: 200, usage }),
        ] {
            self.cluster.handle(vm, Event::Attempt { request, attempt, report });
        }
    }

    fn withdraw(&mut self, vm: &str, version: &str, generation: &str) -> ScriptResult {
        let index = self.vm(vm)?;
        let version = version.parse().map_err(|_| "the version is wrong")?;
        let now = self.cluster.local(index);
        let generation = number(generation)? as u32;
        self.cluster.vms[index].control.withdraw(now, version, generation, "too many errors");
        Ok(())
    }

    fn revisions(&mut self) {
        let lines: Vec<String> = self
            .cluster
            .vms
            .iter()
            .filter(|vm| vm.state != CoreState::Dead)
            .map(|vm| {
                let fold = vm.control.configuration();
                let preset = fold.document().map_or("none", |document| document.preset.as_str());
                format!("{}: revision {}, preset {preset}", vm.name.vm, fold.revision())
            })
            .collect();
        for line in lines {
            self.write_line(&line);
        }
    }

    /// Writes what the VMs have done since the last command to the transcript.
    fn report(&mut self) {
        let mut lines = Vec::new();
        let mut started = Vec::new();
        for index in 0..self.cluster.vms.len() {
            let vm = &mut self.cluster.vms[index];
            let name = vm.name.vm.clone();
            for (call, answer) in std::mem::take(&mut vm.answers) {
                lines.push(format!("{name} answers call {call}: {}", describe_answer(&answer)));
            }
            for command in std::mem::take(&mut vm.traffic) {
                if let Command::Start(start) = &command
                    && let Some(token) = &start.session
                {
                    self.tokens.insert(start.request.0, token.to_string());
                }
                if let Command::Start(start) = &command {
                    started.push((index, start.request, start.attempt));
                }
                if let Some(line) = describe_command(&command, self.shows_servers) {
                    lines.push(format!("{name} {line}"));
                }
            }
        }
        for line in lines {
            self.write_line(&line);
        }
        if self.answers_whole {
            for (vm, request, attempt) in started {
                self.end(vm, request, attempt);
            }
        }
    }
}

fn describe_answer(answer: &OperatorAnswer) -> String {
    match answer {
        OperatorAnswer::Published(PublicationOutcome::Accepted(revision)) => {
            format!("accepted, revision {revision}")
        }
        OperatorAnswer::Published(PublicationOutcome::Rejected(reason)) => {
            format!("rejected: {reason}")
        }
        OperatorAnswer::Published(PublicationOutcome::Unknown(reason)) => {
            format!("unknown: {reason}")
        }
        answer => format!("{answer:?}"),
    }
}

fn describe_command(command: &Command, shows_servers: bool) -> Option<String> {
    match command {
        Command::Start(start) => {
            let AttemptStart { request, attempt, target, server, .. } = start;
            let mut line = format!("starts request {request}.{attempt}: {target}");
            if shows_servers {
                write!(line, " on {server}").unwrap();
            }
            if let Some(session) = &start.session {
                write!(line, ", token for {}", describe_token(session)).unwrap();
            }
            if let Some(end) = start.session_moved {
                write!(line, ", session moved: {}", end.as_str()).unwrap();
            }
            Some(line)
        }
        Command::Refuse { request, refusal } => {
            let (code, run) = (refusal.code.as_str(), refusal.run.as_str());
            Some(format!("refuses request {request}: {code}, {run}: {}", refusal.message))
        }
        Command::Cancel { request, attempt } => Some(format!("cancels {request}.{attempt}")),
        _ => None,
    }
}

fn describe_token(token: &str) -> String {
    for team in ["crews", "offices"] {
        let team: TeamId = team.parse().unwrap();
        let opened = SessionToken::verify(&CoreCluster::keys(), token, &team, Millis(0));
        if let Ok(token) = opened {
            return format!("{} {}", token.team, token.version);
        }
    }
    "nobody".into()
}

fn number(text: &str) -> ScriptResult<u64> {
    text.parse().map_err(|_| format!("{text} is not a number"))
}

fn centre(name: &str) -> ScriptResult<DataCentreId> {
    name.parse().map_err(|_| format!("{name} is not a data centre"))
}
