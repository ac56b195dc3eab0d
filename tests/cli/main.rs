//! The command lines: help texts, error messages and exit codes.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod explain;

use std::io::Write;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

const VALID: &str = include_str!("../../examples/inventory.toml");

fn run(path: &str, args: &[&str], input: &str) -> Output {
    let mut child = Command::new(path)
        .args(args)
        .env_clear()
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

fn format_output(output: &Output) -> String {
    format!(
        "exit {}\n{}{}",
        output.status.code().unwrap(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// Runs `daisyquay`, the operators' command line, with `input` on standard input.
fn operator(args: &[&str], input: &str) -> Output {
    run(env!("CARGO_BIN_EXE_daisyquay"), args, input)
}

/// Runs `daisyquay check` on a file with `text` and returns its exit code and output.
fn check(text: &str) -> String {
    let name = format!("daisyquay-check-{}-{:x}", std::process::id(), text.len());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    let output = operator(&["check", path.to_str().unwrap()], "");
    std::fs::remove_file(&path).unwrap();
    format_output(&output).replace(path.to_str().unwrap(), "FILE")
}

const BAD_ROUTE: &str = r#"
[[routes]]
name = "tiles"
host = ""
prefix = "tiles"
timeout_ms = 0
target_ms = 100
attempts = 0
split = [{ service = "gone", weight = 0 }]
"#;

fn route(name: &str) -> String {
    format!(
        r#"
[[routes]]
name = "{name}"
host = "a.example"
prefix = "/tiles/"
timeout_ms = 1000
target_ms = 100
split = [{{ service = "previews", weight = 1 }}]
"#
    )
}

#[test]
fn rejects_invalid_inventory_with_place_and_remedy() {
    let cases = [
        ("valid", VALID.to_owned()),
        ("unknown field", VALID.replace("weight = 3", "wieght = 3")),
        (
            "dangling model",
            VALID.replace("\"notes\", \"previews\"", "\"poems\""),
        ),
        (
            "duplicate organisation",
            VALID.replace("\"castles\"", "\"maple\""),
        ),
        (
            "negative cost",
            VALID.replace("cost_in = 0.1", "cost_in = -0.1"),
        ),
        ("no price", VALID.replace("cost_out = 0.4\n", "")),
        (
            "infinite price",
            VALID.replace("cost_in = 0.1", "cost_in = inf"),
        ),
        (
            "bad key",
            VALID.replace("key_sha256 = \"", "key_sha256 = \"zz"),
        ),
        (
            "impossible target",
            VALID.replace("quality_target = 0.6", "quality_target = 6"),
        ),
        ("bad route", format!("{VALID}{BAD_ROUTE}")),
        (
            "two routes in one place",
            format!("{VALID}{}{}", route("one"), route("two")),
        ),
        (
            "bad regions",
            VALID.replacen(
                "quality_target = 0.6",
                "quality_target = 0.6\nregions = [\"north\", \"north\", \"no region\"]",
                1,
            ) + &route("one").replace("split", "regions = [\"a\", \"\", \"a\"]\nsplit"),
        ),
        ("not TOML", "[[organisations".to_owned()),
    ];
    let mut text = String::new();
    for (name, inventory) in cases {
        text.push_str(&format!("## {name}\n{}\n", check(&inventory)));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn rejects_invalid_flag_with_its_value_and_remedy() {
    let state = env!("CARGO_BIN_EXE_daisyquay-state");
    let entry = env!("CARGO_BIN_EXE_daisyquay-entry");
    let cases: [(&str, &[&str]); 5] = [
        (state, &["--listen", "localhost:1", "--data", "d"]),
        (
            state,
            &[
                "--data",
                "d",
                "--replicas",
                "127.0.0.1:1",
                "--peer-key",
                "short",
            ],
        ),
        (entry, &["--workers", "0"]),
        (entry, &["--vm", "a b"]),
        (entry, &["--address-valid", "-1"]),
    ];
    let mut text = String::new();
    for (path, args) in cases {
        text.push_str(&format!(
            "## {}\n{}\n",
            args.join(" "),
            format_output(&run(path, args, ""))
        ));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn help_texts_match_snapshot() {
    let mut text = format_output(&operator(&["--help"], ""));
    for command in ["apply", "rollout", "show", "drain", "evacuate", "audit"] {
        text.push_str(&format_output(&operator(&[command, "--help"], "")));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn hash_key_reads_key_from_standard_input() {
    let output = operator(&["hash-key"], "dev-maple-key\n");
    let hash = String::from_utf8(output.stdout).unwrap();
    assert!(VALID.contains(hash.trim()));
    assert_eq!(operator(&["hash-key"], "").status.code(), Some(2));
}

#[test]
fn reports_unreachable_state_replicas() {
    // Port 1 of loopback has no listener.
    let output = operator(&["--state", "127.0.0.1:1", "show", "status"], "");
    assert_eq!(output.status.code(), Some(4));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("check --state"), "{text}");
}

#[test]
fn prints_completion_script() {
    let output = operator(&["completions", "bash"], "");
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("rollout"));
}
