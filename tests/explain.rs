//! Tests of the output of `guavapass explain` for single log lines.

use guavapass::command::explain_line;

#[test]
fn explain_route() {
    let line = r#"{"timestamp":"T","level":"INFO","fields":{"message":"route","request":"vm-1.1.7","attempt":"2","team":"crews","target":"planner@1","server":"engine-3","reason":"hedge: the first attempt is overdue","waited_ms":12,"passed_over":"[{\"candidate\":\"planner@2\",\"reason\":\"dearer\"}]"}}"#;
    let expected = "T  attempt 2 of team crews: planner@1 on engine-3 after 12 ms\n    \
                    because: hedge: the first attempt is overdue\n    \
                    not planner@2: dearer";
    assert_eq!(explain_line(line, "vm-1.1.7").unwrap(), expected);
    assert_eq!(explain_line(line, "vm-1.1.70"), None);
    assert_eq!(explain_line(line, "vm-1.1"), None);
}

#[test]
fn explain_refusal() {
    let line = r#"{"timestamp":"T","fields":{"message":"refused","request":"vm-1.1.7","code":"unavailable"}}"#;
    assert_eq!(explain_line(line, "vm-1.1.7").unwrap(), "T  refused  code=unavailable");
}
