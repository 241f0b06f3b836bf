//! The memory of a VM in a process of its own, while many servers and callers send without end.

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
    traffic::{ByteBudget, HeldBuffer},
    units::ByteSize,
};
use memory_bench::{CALLERS, MB, MemoryBench};
use route_server::{FloodedPart, ServerAction};
use std::{
    io::{Read, Write},
    net::TcpStream,
};

/// Sends floods to many callers at once, and small sound requests beside them.
fn flood(name: &str, path: &str, parts: &[FloodedPart]) {
    let mut bench = MemoryBench::start(name);
    for part in parts {
        bench.script(ServerAction::Flood(*part));
        let (statuses, sound) = std::thread::scope(|scope| {
            let bench = &bench;
            let calls: Vec<_> = (0..CALLERS)
                .map(|id| scope.spawn(move || send(bench.callers, &MemoryBench::head(path, id, 0))))
                .collect();
            let sound = bench.sound_statuses();
            let statuses: Vec<u16> =
                calls.into_iter().map(|call| call.join().unwrap().status).collect();
            (statuses, sound)
        });
        let context = format!("{path} {part:?}");
        // A stream may have begun.
        let is_end = |status: &u16| [200, 502, 503, 504].contains(status);
        assert!(statuses.iter().all(is_end), "{context}: {statuses:?}");
        assert!(sound.iter().all(|status| *status == 200), "{context}: {sound:?}");
        bench.assert_memory(&context);
    }
}

// Guards against a VM that runs out of memory because many answers have no end at the same time.
#[test]
fn endless_bodies_at_many_callers() {
    flood("memory-once", "/book/a", &[FloodedPart::Body]);
}

#[test]
fn endless_heads_at_many_callers() {
    use FloodedPart::{ChunkExtension, ChunkSize, Header, Headers, Interim, StatusLine, Trailers};
    let parts = [StatusLine, Header, Headers, Interim, ChunkSize, ChunkExtension, Trailers];
    flood("memory-heads", "/book/a", &parts);
}

#[test]
fn endless_streams_at_many_callers() {
    flood("memory-streams", "/frail/a", &[FloodedPart::Event, FloodedPart::Body]);
    flood("memory-resumable", "/plan/a", &[FloodedPart::Event, FloodedPart::Header]);
}

#[test]
fn large_uploads_at_the_same_time() {
    const UPLOADS: usize = 60;
    let mut bench = MemoryBench::start("memory-uploads");
    bench.script(ServerAction::RawAfter(
        1_000,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n\
        X-Response-Signature: sig\r\nContent-Length: 2\r\n\r\nok",
    ));
    let body = vec![b'x'; 4 * MB - 1];
    let (heads, sound) = std::thread::scope(|scope| {
        let (bench, body) = (&bench, &body);
        let upload = move |id: usize| {
            let mut stream = TcpStream::connect(bench.callers).unwrap();
            stream.write_all(MemoryBench::head("/book/a", id, body.len()).as_bytes()).unwrap();
            let _ = stream.write_all(body);
            let mut text = Vec::new();
            let _ = stream.read_to_end(&mut text);
            String::from_utf8_lossy(&text).into_owned()
        };
        let uploads: Vec<_> = (0..UPLOADS).map(|id| scope.spawn(move || upload(id))).collect();
        let sound = bench.sound_statuses();
        let heads: Vec<String> = uploads.into_iter().map(|one| one.join().unwrap()).collect();
        (heads, sound)
    });
    assert!(sound.iter().all(|status| *status == 200), "{sound:?}");
    let count = |start: &str| heads.iter().filter(|head| head.starts_with(start)).count();
    assert!(count("HTTP/1.1 200") > 0, "some are served: {heads:?}");
    let seen: usize = bench.faulty.iter().map(|server| server.seen().len()).sum();
    assert!(seen <= UPLOADS - count("HTTP/1.1 503"), "an upload that is refused has not run");
    for head in heads.iter().filter(|head| head.starts_with("HTTP/1.1 503")) {
        assert!(head.to_lowercase().contains("retry-after: "), "{head}");
        assert!(head.to_lowercase().contains("guavapass-run: not-run"), "{head}");
    }
    bench.assert_memory("uploads");
}

#[test]
fn answers_to_callers_that_do_not_read() {
    const CALLERS_THAT_STALL: usize = 60;
    let mut bench = MemoryBench::start("memory-stalled");
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
    let stalled: Vec<TcpStream> = (0..CALLERS_THAT_STALL)
        .map(|id| {
            let mut stream = TcpStream::connect(bench.callers).unwrap();
            stream.write_all(MemoryBench::head("/book/a", id, 0).as_bytes()).unwrap();
            stream
        })
        .collect();
    let sound = bench.sound_statuses();
    assert!(sound.iter().all(|status| *status == 200), "{sound:?}");
    bench.assert_memory("callers that do not read");
    drop(stalled);
    // Their memory comes back: a large answer is whole again.
    eventually("a large answer", || {
        let answer = send(bench.callers, &MemoryBench::head("/book/a", 20_000, 0));
        answer.status == 200 && answer.body.len() == 4 * MB - 1
    });
    assert!(bench.sound.seen().len() >= 20);
}

#[test]
fn budget_shared_by_many() {
    const LIMIT: u64 = 32 * 1_024 * 1_024;
    for holders in [1, 2, 10, 100, 1_000] {
        let budget = ByteBudget::new(ByteSize(LIMIT));
        let mut buffers: Vec<HeldBuffer> = (0..holders).map(|_| HeldBuffer::new(&budget)).collect();
        let mut is_growing = true;
        while is_growing {
            is_growing = false;
            for buffer in &mut buffers {
                is_growing |= buffer.push(&[0; 4_096]).is_ok();
            }
        }
        assert!(budget.held().0 <= LIMIT - LIMIT / 8, "{holders} holders");
        let mut small: Vec<HeldBuffer> = (0..100).map(|_| HeldBuffer::new(&budget)).collect();
        for buffer in &mut small {
            assert_eq!(buffer.push(&[0; 16 * 1_024]), Ok(()), "{holders} holders");
        }
        drop((buffers, small));
        assert_eq!(budget.held().0, 0);
    }
}
