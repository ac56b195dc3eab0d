//! `daisyquay explain` on the logs of a gateway and a state replica.

use std::path::PathBuf;

use crate::format_output;
use crate::operator;

const GATEWAY: &str = r#"time_ms=1000 level=info event=gateway_start vm=front-1 listen=10.1.0.1:80 run=7
time_ms=1400 level=info event=config_taken revision=3
time_ms=9000 level=info event=config_taken revision=5
time_ms=9100 level=info event=attempt request=lost route=r-1 upstream=i-1 release=v1 run=1 outcome=lost reason="no answer before the connection ended" left_ms=1198
time_ms=9101 level=info event=refused request=lost route=r-1 status=502 code=answer_lost
time_ms=9150 level=info event=refused request=key route=- status=401 code=unknown_key
time_ms=9200 level=info event=stream_broke request=broke upstream=i-2 reason="the answer broke off" events=8
time_ms=9260 level=info event=attempt request=broke route=r-2 upstream=i-3 release=v1 run=2 outcome=not_run reason="the upstream refused it" left_ms=900
time_ms=9270 level=info event=stream_given_up request=broke reason="the answer broke off" events=8
time_ms=9300 level=info event=attempt request=new route=r-1 upstream=i-9 release=v2 run=1 outcome=failed reason=- left_ms=700
time_ms=9400 level=info event=late request=late route=r-2 first_ms=5200 target_ms=4000 tokens_in=52000 model=large tried=i-4 refusals=0 last="no upstream is there"
time_ms=9410 level=info event=refused request=ahead route=- status=503 code=outdated_configuration
time_ms=9450 level=info event=admission_rejected request=busy route=r-1 organisation=o service=s outcome=rejected_share run=0 queued=300 ahead=80 per_s=16.5 first_ms=20 left_ms=900 retry_ms=5000
time_ms=9451 level=info event=refused request=busy route=r-1 status=429 code=beyond_share
time_ms=9460 level=info event=refused request=away route=r-1 status=503 code=evacuated
time_ms=9470 level=info event=refused request=abroad route=r-1 status=503 code=no_upstream_in_region
time_ms=9480 level=info event=refused request=cold route=r-1 status=503 code=upstreams_cold
half a line without a
time_ms=9500 level=info event=state_lost revision=5
time_ms=99500 level=info event=state_found term=4
"#;

const REPLICA: &str = r#"   9.7000 control-1 time_ms=9700 level=info event=release_rolled_back service=s release=v2 route=r-1
  88.7000 control-1 time_ms=88700 level=info event=leader_elected term=4
"#;

/// Writes the two logs into a new folder.
fn write_logs(name: &str) -> (PathBuf, [PathBuf; 2]) {
    let dir = std::env::temp_dir().join(format!("daisyquay-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let files = [dir.join("front-1.log"), dir.join("control.log")];
    std::fs::write(&files[0], GATEWAY).unwrap();
    std::fs::write(&files[1], REPLICA).unwrap();
    (dir, files)
}

#[test]
fn explains_cause_of_each_request() {
    let (dir, files) = write_logs("explain");
    let mut text = String::new();
    for request in [
        "lost", "key", "broke", "new", "late", "ahead", "busy", "away", "abroad", "cold", "unknown",
    ] {
        let paths = files.each_ref().map(|path| path.to_str().unwrap());
        let output = operator(&["explain", request, paths[0], paths[1]], "");
        text.push_str(&format!("## {request}\n{}\n", format_output(&output)));
    }
    std::fs::remove_dir_all(&dir).unwrap();
    insta::assert_snapshot!(text);
}

#[test]
fn prints_json_and_reports_missing_log() {
    let (dir, files) = write_logs("explain-json");
    let path = files[0].to_str().unwrap();
    let output = operator(&["explain", "key", path, "--json"], "");
    let explanation: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(explanation["config"]["fields"]["revision"], "5");
    assert_eq!(explanation["lines"][0]["event"], "refused");
    assert_eq!(explanation["lines"][0]["node"], "front-1");
    std::fs::remove_dir_all(&dir).unwrap();
    let output = operator(&["explain", "key", path], "");
    assert_eq!(output.status.code(), Some(2));
    assert!(format_output(&output).contains("check the path"));
}
