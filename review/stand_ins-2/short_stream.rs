//! A machine stands still while a server crashes and comes back, and streams that the crash has cut
//! end as complete.

use crate::stream_server::{StreamServer, EVENTS};
use crate::store::Store;
use crate::{vm, Stage, Verdict};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ZONE: &str = "bayan-lepas";
const SERVICE: &str = "cube-llm";
const SERVERS: usize = 4;
/// The machine stands still for `FREEZE`; within it, the server is down for `DOWN`.
const FREEZE: Duration = Duration::from_secs(3);
const BEFORE_CRASH: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_secs(2);
/// A server's entry is removed after three heartbeats of silence.
const SILENCE: Duration = Duration::from_millis(3_600);
const DEADLINE: Duration = Duration::from_secs(12);
/// The longest pause after which clients leave: four times the objective.
const PATIENCE: Duration = Duration::from_secs(8);
const CLIENTS: usize = 48;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"mould-wear-diagnosis","host":"kencana.example","path_prefix":"/diagnosis/","kind":"streaming","timeout_ms":12000,"target_latency_ms":2000,"priority":1,"service":"cube-llm","max_attempts":3,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":800}],"services":[{"name":"cube-llm","health_path":"/healthz","max_connections":370}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"kencana","api_keys":["key-1"]}]}"#;

/// What a client has received of one stream.
struct Stream {
    vm: usize,
    id: String,
    sent: Instant,
    ended: Instant,
    status: u16,
    signature: String,
    events: usize,
    /// Whether the events have the right numbers and are its own.
    is_sound: bool,
    /// Whether the answer ended properly, with its last chunk.
    is_complete: bool,
}

pub fn play(stage: &Stage, record: &mut Vec<String>) -> Verdict {
    match try_play(stage, record) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::CouldNotRun(error),
    }
}

fn try_play(stage: &Stage, record: &mut Vec<String>) -> Result<Verdict, String> {
    let store = Store::start();
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let server = StreamServer::start(&format!("server-{number}"), vm::free_address(), &stage.folder)?;
        store.put("keyed.servers", &server.id, &server.entry(SERVICE, ZONE, 1));
        servers.push(server);
    }
    store.put("keyed.op", "config", CONFIGURATION);
    let mut vms = vm::start_zone(&stage.folder, ZONE, store.address, 3)?;
    std::thread::sleep(Duration::from_secs(2));
    let callers: Vec<SocketAddr> = vms.iter().map(|vm| vm.callers).collect();
    let (streams, stop) = (Arc::<Mutex<Vec<Stream>>>::default(), Arc::<AtomicBool>::default());
    let clients = start_clients(&callers, &streams, &stop);
    std::thread::sleep(Duration::from_secs(5));
    if stage.has_trouble {
        let frozen = vms[0].id();
        let begun = Instant::now();
        signal(frozen, "STOP")?;
        note(stage, record, &format!("{} stands still", vms[0].name));
        std::thread::sleep(BEFORE_CRASH);
        let crashed = Instant::now();
        servers[0].crash();
        note(stage, record, "server-1 crashes (SIGKILL)");
        std::thread::sleep(DOWN);
        // Each start of a server is a new incarnation, mostly with a new id.
        let back = StreamServer::start("server-1b", servers[0].address, &stage.folder)?;
        store.put("keyed.servers", &back.id, &back.entry(SERVICE, ZONE, 1));
        servers.push(back);
        note(stage, record, "server-1b starts at its address");
        std::thread::sleep((begun + FREEZE).saturating_duration_since(Instant::now()));
        signal(frozen, "CONT")?;
        note(stage, record, &format!("{} wakes", vms[0].name));
        std::thread::sleep((crashed + SILENCE).saturating_duration_since(Instant::now()));
        store.put("keyed.servers", "server-1", "");
        note(stage, record, "the entry of server-1 is removed");
    } else {
        std::thread::sleep(FREEZE);
    }
    std::thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    if !vms.iter_mut().all(vm::EntryVm::is_running) {
        return Err("a process of the system has ended".into());
    }
    let verdict = judge(stage, record, &streams.lock().unwrap(), &vms);
    record.push("What the servers ran:".into());
    for server in &servers {
        let runs = std::fs::read_to_string(stage.folder.join(format!("{}.runs", server.id)));
        record.extend(runs.unwrap_or_default().lines().map(str::to_owned));
    }
    Ok(verdict)
}

fn note(stage: &Stage, record: &mut Vec<String>, text: &str) {
    record.push(format!("{:7.3} s  {text}", stage.seconds(Instant::now())));
}

fn signal(process: u32, name: &str) -> Result<(), String> {
    let status = Command::new("kill").args([&format!("-{name}"), &process.to_string()]).status();
    match status {
        Ok(status) if status.success() => Ok(()),
        _ => Err(format!("cannot send SIG{name}")),
    }
}

fn start_clients(
    vms: &[SocketAddr],
    streams: &Arc<Mutex<Vec<Stream>>>,
    stop: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<()>> {
    let start = |client: usize| {
        let (vms, streams, stop) = (vms.to_vec(), Arc::clone(streams), Arc::clone(stop));
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(90 * client as u64));
            for number in 0_usize.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let vm = client % vms.len();
                let stream = receive(vm, vms[vm], format!("client-{client}-{number}"));
                streams.lock().unwrap().push(stream);
                std::thread::sleep(Duration::from_millis(50));
            }
        })
    };
    (0..CLIENTS).map(start).collect()
}

/// Sends a request and reads its stream to the end, for as long as a client is patient.
fn receive(vm: usize, address: SocketAddr, id: String) -> Stream {
    let sent = Instant::now();
    let mut text = Vec::new();
    let _ = exchange(address, &id, sent + DEADLINE, &mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let head = head.to_ascii_lowercase();
    let signature = head.lines().find_map(|line| line.strip_prefix("x-response-signature: "));
    let (payload, is_complete) = join_chunks(body);
    let events: Vec<&str> = payload.split_terminator("\n\n").collect();
    let expected = |(index, event): (usize, &&str)| {
        **event == format!("id: {0}\ndata: piece {0} of {id}", index + 1)
    };
    let status = head.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
    Stream {
        vm,
        sent,
        ended: Instant::now(),
        status,
        signature: signature.unwrap_or_default().to_owned(),
        events: events.len(),
        is_sound: events.iter().enumerate().all(expected),
        is_complete,
        id,
    }
}

fn exchange(
    address: SocketAddr,
    id: &str,
    deadline: Instant,
    text: &mut Vec<u8>,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    let request = format!(
        "POST /diagnosis/plan HTTP/1.1\r\nHost: kencana.example\r\nX-Attempt-Id: {id}\r\n\
         Api-Key: key-1\r\nX-Deadline-Ms: {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        DEADLINE.as_millis()
    );
    stream.write_all(request.as_bytes())?;
    let mut buffer = [0; 4_096];
    loop {
        let left = deadline.saturating_duration_since(Instant::now()).min(PATIENCE);
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Ok(());
        }
        text.extend_from_slice(&buffer[..read]);
    }
}

/// Joins the chunks of a body; also returns whether the last chunk, of no bytes, has arrived.
fn join_chunks(mut body: &str) -> (String, bool) {
    let mut joined = String::new();
    while let Some((size, rest)) = body.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { return (joined, false) };
        if size == 0 {
            return (joined, true);
        }
        if rest.len() < size + 2 {
            return (joined, false);
        }
        joined.push_str(&rest[..size]);
        body = &rest[size + 2..];
    }
    (joined, false)
}

fn judge(stage: &Stage, record: &mut Vec<String>, streams: &[Stream], vms: &[vm::EntryVm]) -> Verdict {
    let whole = |stream: &&Stream| stream.is_complete && stream.events == EVENTS;
    let short: Vec<&Stream> = streams
        .iter()
        .filter(|stream| stream.status == 200 && stream.is_complete && stream.events < EVENTS)
        .collect();
    let mixed = streams.iter().filter(|stream| stream.status == 200 && !stream.is_sound).count();
    let broken_off = streams.iter().filter(|stream| stream.status == 200 && !stream.is_complete);
    record.push(format!(
        "{} streams: {} whole, {} broken off visibly, {} without 200, {} with wrong events, {} \
         that end as complete before their last event",
        streams.len(),
        streams.iter().filter(whole).count(),
        broken_off.count(),
        streams.iter().filter(|stream| stream.status != 200).count(),
        mixed,
        short.len()
    ));
    for stream in streams {
        let end = if stream.is_complete { "ends as complete" } else { "ends without its last chunk" };
        let mark = if short.iter().any(|known| known.id == stream.id) { "SHORT" } else { "" };
        record.push(format!(
            "{:7.3} s  {} sent to {}; {:.3} s {end}, status {}, {} of {EVENTS} events, signature \
             {} {mark}",
            stage.seconds(stream.sent),
            stream.id,
            vms[stream.vm].name,
            stage.seconds(stream.ended),
            stream.status,
            stream.events,
            stream.signature
        ));
    }
    if streams.iter().filter(whole).count() < CLIENTS {
        return Verdict::CouldNotRun("hardly a stream was whole".into());
    }
    let text = format!(
        "{} of {} streams ended as complete before their last event",
        short.len(),
        streams.len()
    );
    if short.is_empty() && mixed == 0 { Verdict::Held(text) } else { Verdict::Broken(text) }
}
