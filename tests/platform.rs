//! The platform adapter: store records, framing, request and response headers, settings template.

use guavapass::{
    control::{Refusal, RefusalCode, RepeatRule},
    gateway::*,
    ids::{AttemptId, RequestNumber},
    platform::*,
    settings::GatewaySettings,
    units::{Millis, RequestsPerSecond, Tokens},
};
use http::{HeaderMap, HeaderValue, Request, StatusCode};

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| (http::HeaderName::from_static(name), HeaderValue::from_static(value)))
        .collect()
}

fn head(pairs: &[(&'static str, &'static str)]) -> http::request::Parts {
    let mut request = Request::post("/lohu930/2f?x=1").body(()).unwrap();
    *request.headers_mut() = headers(pairs);
    request.into_parts().0
}

fn order() -> RunOrder {
    RunOrder {
        born: None,
        request: RequestNumber(1),
        attempt: AttemptId(1),
        server: "i-1".parse().unwrap(),
        address: ([127, 0, 0, 1], 80).into(),
        repeat: RepeatRule::Repeatable,
        stall: None,
        is_stream: true,
        time_left: Millis(900),
        model: Some("large".parse().unwrap()),
        rank: Some(12),
        team: Some("plaza".parse().unwrap()),
        after_event: Some(4),
        sent: Millis(0),
        is_limited: false,
    }
}

#[test]
fn frames_round_trip() {
    let mut bytes = Vec::new();
    for record in [&b"ab"[..], b"", b"c"] {
        write_frame(&mut bytes, record);
    }
    assert_eq!(read_frames(&bytes).unwrap(), [&b"ab"[..], b"", b"c"]);
    assert_eq!(read_frames(&bytes[..bytes.len() - 1]), Err(FrameError::Short));
}

#[test]
fn configuration_read() {
    let text = br#"{"version":7,"routes":[{"name":"r","host":"A.example","path_prefix":"/p/",
        "kind":"streaming","timeout_ms":6000,"target_latency_ms":3000,"priority":0,
        "sizes":["s","l"],"traffic_split":[{"service":"x","weight":90},{"service":"y","weight":10}],
        "max_attempts":3,"public":false,"resumable":true,"new_field":1}],
        "services":[{"name":"x","max_connections":360,"cold_start_s":3.0,"cold_per_s":5.6,
            "engine":{"slots":64}},{"name":"y","cold_start_s":0.0,"cold_per_s":0.0}],
        "limits":{"max_body_bytes":10},"tenants":[{"name":"t","api_keys":["k"],"priority":1}]}"#;
    let Some(StoreRecord::Configuration(document)) = read_operator_record("config", text) else {
        panic!("the record must parse as a configuration");
    };
    let route = document.routes.find("a.example", "/p/1").unwrap();
    assert_eq!(route.kind, RouteKind::Stream { resumable: true });
    assert_eq!((route.pools.len(), route.models.len(), route.attempt_limit), (2, 2, 3));
    assert_eq!((document.revision.0, document.body_limit.0), (7, 10));
    let TeamKeys::Named(keys) = &document.keys else { panic!("teams are named") };
    assert_eq!(keys["k"].rank, Some(1));
    let start = ColdStart { duration: Millis(3_000), rate: RequestsPerSecond(5.6) };
    assert_eq!(document.cold_starts, [("x".parse().unwrap(), start)].into());
    // A VM of an earlier build sends a configuration without the last member.
    for document in [GatewayDocument::default(), document.as_ref().clone()] {
        let bytes = rmp_serde::to_vec(&document).unwrap();
        assert_eq!(rmp_serde::from_slice::<GatewayDocument>(&bytes).unwrap(), document);
    }
}

#[test]
fn garbage_is_unreadable() {
    let is_unreadable = |record| matches!(record, Some(StoreRecord::Unreadable { .. }));
    assert!(is_unreadable(read_operator_record("config", b"{")));
    assert!(is_unreadable(read_operator_record("rollout/x", b"{\"service\":3}")));
    assert!(read_operator_record("something-else", b"{").is_none());
    assert!(read_operator_record("config", b"").is_none());
    assert!(is_unreadable(read_operator_record("evacuate/", b"{}")));
    assert!(is_unreadable(read_operator_record("evacuate/a zone", b"{}")));
    let entry = |value: &[u8]| match read_server_record("i-1", value) {
        StoreRecord::Server(change) => change,
        other => panic!("{other:?}"),
    };
    for value in [&b"\xff"[..], b"[]", b"{\"service\":\"x\",\"state\":\"dancing\"}"] {
        assert!(matches!(entry(value), ServerChange::Unreadable { .. }));
    }
    assert!(matches!(entry(b""), ServerChange::Removed(_)));
}

#[test]
fn orders_to_evacuate_are_parsed() {
    let read = |value: &[u8]| match read_operator_record("evacuate/eu-west-a", value) {
        Some(StoreRecord::Evacuation(order)) => order,
        other => panic!("{other:?}"),
    };
    let zone = || "eu-west-a".parse().unwrap();
    assert_eq!(read(b"{}"), EvacuationOrder::Evacuate(zone()));
    assert_eq!(read(b"{\"by\":[1]}"), EvacuationOrder::Evacuate(zone()));
    assert_eq!(read(b""), EvacuationOrder::TakeBack(zone()));
    for malformed in [&b"{"[..], b"3", b"null", b"\xff", b"\"{}\"", b"{} {}"] {
        let order = read(malformed);
        assert!(matches!(order, EvacuationOrder::Unreadable { .. }), "{malformed:?} {order:?}");
    }
}

#[test]
fn arrival_read() {
    let head = head(&[
        ("host", "f.example"),
        ("x-attempt-id", "a"),
        ("x-model", "*"),
        ("api-key", "k"),
        ("x-token-usage", "1460,80"),
        ("x-prompt-prefix", "5c:800,91:410"),
        ("last-event-id", "3"),
    ]);
    let arrival = read_arrival(RequestNumber(1), &head, b"").unwrap();
    assert!(arrival.any_model);
    assert_eq!((arrival.prompt_tokens, arrival.output_limit), (Tokens(1_460), Tokens(80)));
    assert_eq!((arrival.parts.len(), arrival.last_event), (2, Some(3)));
    assert_eq!(arrival.path, "/lohu930/2f");
}

#[test]
fn arrival_fingerprint() {
    let fingerprint = |attempt: &'static str, key: &'static str, body: &[u8]| {
        let head = head(&[("host", "f"), ("x-attempt-id", attempt), ("api-key", key)]);
        read_arrival(RequestNumber(1), &head, body).unwrap().fingerprint
    };
    assert_eq!(
        fingerprint("a", "k", b"x"),
        fingerprint("b", "k", b"x"),
        "a retry has the same fingerprint"
    );
    assert_ne!(fingerprint("a", "k", b"x"), fingerprint("a", "l", b"x"), "another caller");
    assert_ne!(fingerprint("a", "k", b"x"), fingerprint("a", "k", b"y"), "another body");
}

#[test]
fn arrival_wrong_header() {
    let missing = read_arrival(RequestNumber(1), &head(&[("host", "f")]), b"").unwrap_err();
    assert_eq!(missing.to_string(), "The header x-attempt-id is missing; send it.");
    let wrong = head(&[("host", "f"), ("x-attempt-id", "a"), ("x-deadline-ms", "soon")]);
    assert!(read_arrival(RequestNumber(1), &wrong, b"").is_err());
}

#[test]
fn run_headers_replace_reserved() {
    let caller = headers(&[
        ("x-hold", "1"),
        ("x-tenant", "forged"),
        ("api-key", "k"),
        ("x-deadline-ms", "5000"),
        ("x-model", "*"),
        ("connection", "close, x-private"),
        ("x-private", "1"),
        ("x-token-usage", "1,2"),
        ("session", "s"),
    ]);
    let sent = run_headers(&caller, &order());
    let value = |name: &str| sent.get(name).map(|value| value.to_str().unwrap());
    for removed in ["x-hold", "api-key", "connection", "x-private"] {
        assert_eq!(value(removed), None, "{removed}");
    }
    assert_eq!(value("x-tenant"), Some("plaza"));
    assert_eq!(value("x-deadline-ms"), Some("900"));
    assert_eq!((value("x-model"), value("x-request-priority")), (Some("large"), Some("9")));
    assert_eq!((value("last-event-id"), value("session")), (Some("4"), Some("s")));
    assert_eq!(value("x-token-usage"), Some("1,2"));
}

#[test]
fn answer_facts_read() {
    let facts = read_answer(
        StatusCode::OK,
        &headers(&[
            ("x-attempt-id", "a"),
            ("x-response-signature", "s"),
            ("x-server-load", "3,1,8,250"),
            ("x-confidence", "61"),
            ("keep-alive", "timeout=5, max=9"),
        ]),
    );
    let load = LoadSample { running: 3, waiting: 1, slots: 8, slowdown: 250 };
    assert_eq!((facts.head.load, facts.head.confidence), (Some(load), Some(61)));
    assert_eq!((facts.is_signed, facts.keeps, facts.idle_limit), (true, true, Some(Millis(5_000))));
    let shed = read_answer(StatusCode::SERVICE_UNAVAILABLE, &headers(&[("x-not-executed", "1")]));
    assert_eq!(shed.not_run, Some(NotRunCause::Full));
    let plain = read_answer(StatusCode::SERVICE_UNAVAILABLE, &headers(&[("connection", "close")]));
    assert_eq!(
        (plain.not_run, plain.keeps),
        (None, false),
        "only a server's header marks a request as not run"
    );
}

#[test]
fn refusal_with_fractional_retry_after() {
    let refusal = Refusal::not_run(RefusalCode::Unavailable, "Later.").with_retry_after(Millis(50));
    let response = refusal_response(&refusal, RequestNumber(3));
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["retry-after"], "0.050");
}

#[test]
fn settings_template_filled_in() {
    let template = include_str!("../deploy/settings.jsonc");
    let mut text = String::new();
    for line in template.lines() {
        let filled = line
            .replace("{{node_name}}", "front-norte-1")
            .replace("{{zone}}", "norte")
            .replace("{{listen.front}}", "10.1.0.40:8227")
            .replace("{{listen.ready}}", "10.1.0.40:8220")
            .replace("{{platform.address}}", "10.200.1.7:8223")
            .replace("{{seed_nodes|json}}", "[\"10.1.0.40:8229\"]");
        let value = if filled.contains("listen.control") {
            "10.1.0.40:8229"
        } else if filled.contains("_s}}") {
            "8"
        } else if filled.contains("ratio") || filled.contains("share") {
            "0.15"
        } else {
            "5000"
        };
        let filled = filled.replace("{{.}}", value);
        let mut plain = String::new();
        let mut rest = filled.as_str();
        while let Some((before, after)) = rest.split_once("{{") {
            plain.push_str(before);
            rest = after.split_once("}}").unwrap().1;
        }
        text.push_str(&plain);
        text.push_str(rest);
        text.push('\n');
    }
    let path =
        std::env::temp_dir().join(format!("guavapass-settings-{}.jsonc", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let settings = GatewaySettings::read(&path);
    std::fs::remove_file(&path).unwrap();
    let settings = settings.unwrap();
    assert_eq!(settings.bounds.shutdown_ms, Millis(8_000));
    assert_eq!(settings.peers.unwrap().seeds.len(), 1);
}

#[test]
fn server_hints_read() {
    let hint = |status: u16, values: &[(&'static str, &'static str)]| {
        read_answer(StatusCode::from_u16(status).unwrap(), &headers(values)).hint
    };
    assert!(hint(200, &[("server-leaving", "1")]).leaves);
    assert!(
        hint(500, &[("server-leaving", " 1 ")]).leaves,
        "the header also counts in error responses"
    );
    let backoff = |value: &'static str| hint(503, &[("retry-after", value)]).backoff;
    assert_eq!(backoff("2"), Some(Millis(2_000)));
    assert_eq!(backoff("0.25"), Some(Millis(250)));
    assert_eq!(backoff("0"), Some(Millis(0)));
    assert!(hint(200, &[("retry-after", "2")]).is_empty(), "retry-after counts only in a 503");
    assert!(hint(200, &[("x-attempt-id", "a")]).is_empty());
    assert_eq!(hint(200, &[("x-cold-ms", "1500.5")]).cold, Some(Millis(1_500)));
    assert!(hint(200, &[("x-cold-ms", "0")]).is_empty());
    assert_eq!(hint(200, &[("x-cold-ms", "-1")]).unreadable, ["x-cold-ms"]);
}

#[test]
fn server_limit_read() {
    let hint = |status: u16, value: &'static str| {
        let headers = headers(&[("server-limit", value)]);
        read_answer(StatusCode::from_u16(status).unwrap(), &headers).hint
    };
    for (value, limit) in [("1", 1.0), ("0", 0.0), (" 2.5 ", 2.5), (".25", 0.25), ("4000", 4e3)] {
        for status in [200, 404, 500, 503] {
            let named = LimitStatement::Named(RequestsPerSecond(limit));
            assert_eq!(hint(status, value).limit, named, "{value:?}");
        }
    }
    for value in ["", "-1", "+1", "NaN", "inf", "1e3", "1,5", "many", "1 2", "0x1"] {
        let hint = hint(200, value);
        let unreadable = (LimitStatement::Unreadable, vec!["server-limit"]);
        assert_eq!((hint.limit, hint.unreadable), unreadable, "{value:?}");
    }
    let repeated = headers(&[("server-limit", "1"), ("server-limit", "2")]);
    assert_eq!(read_answer(StatusCode::OK, &repeated).hint.limit, LimitStatement::Unreadable);
}

#[test]
fn malformed_server_hints_ignored() {
    let hint = |values: &[(&'static str, &'static str)]| {
        read_answer(StatusCode::SERVICE_UNAVAILABLE, &headers(values)).hint
    };
    for value in ["", "0", "yes", "1,1"] {
        let hint = hint(&[("server-leaving", value)]);
        assert_eq!((hint.leaves, hint.unreadable), (false, vec!["server-leaving"]), "{value:?}");
    }
    for value in
        ["", "-1", "soon", "1e9", "NaN", "inf", ".", "1,2", "Fri, 04 Dec 2026 12:00:00 GMT"]
    {
        let hint = hint(&[("retry-after", value)]);
        assert_eq!((hint.backoff, hint.unreadable), (None, vec!["retry-after"]), "{value:?}");
    }
    let repeated = hint(&[("server-leaving", "1"), ("server-leaving", "1"), ("retry-after", "1")]);
    assert_eq!((repeated.leaves, repeated.backoff), (false, Some(Millis(1_000))));
}
