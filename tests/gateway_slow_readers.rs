//! Callers that read slowly or not at all, at a VM in a process of its own.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/memory_bench.rs"]
#[allow(dead_code)]
mod memory_bench;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;
#[path = "support/vm_process.rs"]
#[allow(dead_code)]
mod vm_process;

use gateway_stage::{eventually, send};
use guavapass::{
    ids::RequestNumber,
    traffic::{LossCause, PassVerdict, ReaderBounds, ReaderView},
    units::{ByteSize, Millis},
};
use memory_bench::{CALLERS, MB, MemoryBench};
use route_server::{RouteServer, ServerAction};
use socket2::{Domain, Socket, Type};
use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// A bench takes several cores in a debug build.
static ONE_BENCH: Mutex<()> = Mutex::new(());

/// Sends a request with a deadline and reads nothing of its answer. The caller's system takes
/// little of it, as on the deployments.
fn ask(bench: &MemoryBench, path: &str, id: usize) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16 * 1_024).unwrap();
    socket.connect(&bench.callers.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    let head = MemoryBench::head(path, id, 0).replace("3000", "15000");
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

fn read_rest(mut stream: &TcpStream) -> String {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Sends requests of 200 callers that never read their streams, and requests of others beside them.
fn streams_nobody_reads(name: &str, path: &str, memory_mb: u64) {
    const OTHERS: usize = 30;
    let _alone = ONE_BENCH.lock().unwrap_or_else(PoisonError::into_inner);
    let mut bench = MemoryBench::with_memory(name, memory_mb);
    // Far more than the sockets and the VM hold for a caller.
    bench.script(ServerAction::Long(1_600, 30_000));
    let slow: Vec<_> = (0..CALLERS).map(|id| ask(&bench, path, id)).collect();
    eventually("all runs", || {
        bench.faulty.iter().map(|server| server.seen().len()).sum::<usize>() >= CALLERS
    });
    bench.faulty.iter().for_each(|server| server.script(&[]));
    let streams: Vec<_> = (0..OTHERS)
        .map(|number| {
            std::thread::sleep(Duration::from_millis(100));
            read_rest(&ask(&bench, path, 1_000 + number))
        })
        .collect();
    let sound = bench.sound_statuses();
    let end = format!("data: piece {}\n\n", RouteServer::EVENTS);
    let whole = streams.iter().filter(|text| text.contains(&end)).count();
    let cut_off = || bench.faulty.iter().map(RouteServer::unread).sum::<usize>();
    eventually("the ends of the slow streams", || cut_off() + bench.lost() >= CALLERS);
    let (unread, lost) = (cut_off(), bench.lost());
    let seen: usize = bench.faulty.iter().map(|server| server.seen().len()).sum();
    eprintln!(
        "{path} at {memory_mb} MB: {whole} whole, {unread} cut off, {lost} lost, {seen} runs"
    );
    assert_eq!(whole, OTHERS, "the others' streams: {streams:?}");
    assert!(sound.iter().all(|status| *status == 200), "{sound:?}");
    assert_eq!(unread, 0, "answers that servers cut off");
    assert_eq!(lost, CALLERS, "slow callers that lost their streams");
    assert_eq!(seen, CALLERS + OTHERS, "no stream of a slow caller is sent again");
    bench.assert_memory(path);
    drop(slow);
}

// Guards against streams that stay unread at their servers for seconds, and against sound servers
// that are marked as faulty for it.
#[test]
fn streams_at_110_mb() {
    streams_nobody_reads("readers-110", "/plan/a", 110);
}

#[test]
fn streams_at_160_mb() {
    streams_nobody_reads("readers-160", "/plan/a", 160);
}

#[test]
fn streams_that_cannot_resume() {
    streams_nobody_reads("readers-frail", "/frail/a", 110);
}

#[test]
fn caller_that_reads_after_a_pause() {
    let _alone = ONE_BENCH.lock().unwrap_or_else(PoisonError::into_inner);
    let bench = MemoryBench::start("readers-pause");
    bench.script(ServerAction::Long(40, 10_000));
    let stream = ask(&bench, "/plan/a", 1);
    std::thread::sleep(Duration::from_secs(1));
    let text = read_rest(&stream);
    assert!(text.contains("id: 40\n") && text.ends_with("0\r\n\r\n"), "{} bytes", text.len());
    assert_eq!(bench.lost(), 0);
}

// Guards against callers that hold the memory for bodies as long as they like.
#[test]
fn large_answers_beside_callers_that_do_not_read() {
    let _alone = ONE_BENCH.lock().unwrap_or_else(PoisonError::into_inner);
    let mut bench = MemoryBench::start("readers-whole");
    let text: &'static str = Box::leak(
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {{id}}\r\nX-Response-Signature: sig\r\n\
             Content-Length: {0}\r\n\r\n{1}",
            4 * MB - 1,
            "y".repeat(4 * MB - 1)
        )
        .into_boxed_str(),
    );
    bench.script(ServerAction::Raw(text));
    let stalled: Vec<_> = (0..60)
        .map(|id| {
            std::thread::sleep(Duration::from_millis(20));
            ask(&bench, "/book/a", id)
        })
        .collect();
    eventually("a loss", || bench.lost() > 0);
    eventually("a large answer", || {
        let answer = send(bench.callers, &MemoryBench::head("/book/a", 20_000, 0));
        answer.status == 200 && answer.body.len() == 4 * MB - 1
    });
    bench.assert_memory("large answers");
    drop(stalled);
}

fn bounds() -> ReaderBounds {
    ReaderBounds {
        ahead: ByteSize(100),
        pause: Millis(50),
        memory_wait: Millis(20),
        idle: Millis(900),
    }
}

#[test]
fn verdicts() {
    use PassVerdict::{Hold, Lose, OutOfMemory, Wait};
    let bounds = bounds();
    let judge = |held, part, waited, has_memory| {
        bounds.judge(ByteSize(held), ByteSize(part), Millis(waited), has_memory)
    };
    assert_eq!(judge(0, 300, 0, true), Hold, "a long event is held alone");
    assert_eq!(judge(60, 40, 0, true), Hold);
    assert_eq!(judge(300, 0, 80, true), Hold, "the end of a stream");
    assert_eq!(judge(60, 41, 49, true), Wait);
    assert_eq!(judge(60, 41, 50, true), Lose);
    assert_eq!(judge(60, 40, 50, false), Lose, "its memory is needed");
    assert_eq!(judge(0, 40, 49, false), Wait);
    assert_eq!(judge(0, 40, 50, false), OutOfMemory, "others hold the memory");
}

#[test]
fn losers() {
    use LossCause::{Idle, Memory};
    let bounds = bounds();
    let readers = [(1, 30, 60), (2, 40, 60), (3, 80, 49), (4, 0, 5_000), (5, 10, 900)];
    let views = readers.map(|(request, held, unread)| ReaderView {
        request: RequestNumber(request),
        held: ByteSize(held),
        unread: Millis(unread),
    });
    let losers = |in_use| {
        let losers = bounds.losers(&views, ByteSize(in_use), ByteSize(200));
        losers.into_iter().map(|(request, cause)| (request.0, cause)).collect::<Vec<_>>()
    };
    assert_eq!(losers(100), [(5, Idle)], "nobody else loses while half is free");
    assert_eq!(losers(140), [(2, Memory), (5, Idle)], "as few as it takes, the largest first");
    assert_eq!(
        losers(200),
        [(2, Memory), (1, Memory), (5, Idle)],
        "one that reads keeps its answer"
    );
}
