//! Flags of `daisyquay`, the operators' command line.

use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;

use super::addresses;
use super::many;
use super::optional;
use super::parse_name;
use super::parse_seconds;
use super::parse_share;
use super::program;
use super::required;
use crate::collections::Name;
use crate::config::VersionName;
use crate::operator::Action;
use crate::operator::Config;
use crate::operator::Guard;
use crate::operator::Step;
use crate::state::query::Query;

/// The command line.
pub fn command() -> Command {
    program("daisyquay", "Operates daisyquay")
        .subcommand_required(true)
        .arg(
            addresses(
                "state",
                "DAISYQUAY_STATE",
                "Peer addresses of the state replicas",
            )
            .required(false)
            .global(true)
            .default_value("127.0.0.1:7500"),
        )
        .arg(
            Arg::new("operator-key")
                .long("operator-key")
                .env("DAISYQUAY_OPERATOR_KEY")
                .hide_env_values(true)
                .value_name("KEY")
                .global(true)
                .default_value("")
                .help("Your key"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print JSON instead of a table"),
        )
        .subcommand(
            Command::new("check")
                .about("Checks an inventory file without applying it")
                .arg(file()),
        )
        .subcommand(guarded(
            Command::new("apply")
                .about("Loads an inventory file")
                .arg(file()),
        ))
        .subcommand(show())
        .subcommand(rollout())
        .subcommand(guarded(
            Command::new("drain")
                .about("Takes an entry VM out of the address answer")
                .arg(Arg::new("vm").required(true).value_parser(parse_name))
                .arg(
                    Arg::new("undo")
                        .long("undo")
                        .action(ArgAction::SetTrue)
                        .help("Puts it back"),
                ),
        ))
        .subcommand(
            Command::new("audit")
                .about("Shows who changed what, when, and the outcome")
                .arg(
                    Arg::new("follow")
                        .long("follow")
                        .action(ArgAction::SetTrue)
                        .help("Goes on with new lines until interrupted"),
                ),
        )
        .subcommand(
            Command::new("explain")
                .about("Tells from logs what became of a request")
                .arg(
                    Arg::new("request")
                        .value_name("ID")
                        .required(true)
                        .help("Id of the request, as the caller sent it"),
                )
                .arg(
                    Arg::new("logs")
                        .value_name("FILE")
                        .required(true)
                        .num_args(1..)
                        .value_parser(value_parser!(PathBuf))
                        .help("Logs of gateways and replicas, each named after its VM"),
                ),
        )
        .subcommand(
            Command::new("hash-key")
                .about("Prints the hash of a key that is read from standard input"),
        )
        .subcommand(
            Command::new("completions")
                .about("Prints completions for a shell")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
}

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Inventory and rules, as TOML")
}

/// Adds the flags of a change.
fn guarded(command: Command) -> Command {
    command
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .value_name("ID")
                .value_parser(parse_name)
                .help("Id of this change; a resend with the same id gets the first answer")
                .long_help(
                    "Id of this change. A resend with the same id gets the first answer and \
                     changes nothing. Without it a fresh id is chosen and printed.",
                ),
        )
        .arg(
            Arg::new("expect-revision")
                .long("expect-revision")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help("Accept only if N is the current revision"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .value_name("SECONDS")
                .num_args(0..=1)
                .default_missing_value("10")
                .value_parser(parse_seconds)
                .help("Wait until the change is in force at every entry"),
        )
}

fn show() -> Command {
    let what = [
        ("inventory", "The inventory in force"),
        ("status", "The whole at a glance"),
        ("upstreams", "Upstreams that announced themselves"),
        ("sessions", "Pinned sessions, the latest used first"),
        ("rollouts", "Roll-outs and their evidence"),
        ("bill", "What each organisation owes"),
    ];
    Command::new("show")
        .about("Shows one thing")
        .subcommand_required(true)
        .subcommands(what.map(|(name, about)| Command::new(name).about(about)))
}

fn rollout() -> Command {
    let step = |name: &'static str, about: &'static str| {
        guarded(
            Command::new(name).about(about).arg(
                Arg::new("version")
                    .value_name("MODEL@VERSION")
                    .required(true)
                    .value_parser(parse_version),
            ),
        )
    };
    Command::new("rollout")
        .about("Rolls a version out or withdraws it")
        .subcommand_required(true)
        .subcommand(
            step("start", "Starts a roll-out").arg(
                Arg::new("stages")
                    .long("stages")
                    .value_name("SHARE,...")
                    .value_delimiter(',')
                    .value_parser(parse_share)
                    .default_value("0.01,0.1,0.5,1")
                    .help("Shares of new sessions, rising"),
            ),
        )
        .subcommand(step("pause", "Lets no new session onto the version"))
        .subcommand(step("resume", "Goes on, or lifts a halt or a withdrawal"))
        .subcommand(step("withdraw", "Gives the version no new work"))
}

fn parse_version(text: &str) -> Result<VersionName, String> {
    text.parse()
}

fn guard(matches: &ArgMatches) -> Guard {
    Guard {
        change_id: optional::<Name>(matches, "change-id"),
        expect: optional::<u64>(matches, "expect-revision"),
        wait: optional::<Duration>(matches, "wait"),
    }
}

/// The resolved settings.
pub fn config(matches: &ArgMatches) -> Config {
    Config {
        state: many(matches, "state"),
        operator_key: required(matches, "operator-key"),
        json: matches.get_flag("json"),
        action: action(matches),
    }
}

fn action(matches: &ArgMatches) -> Action {
    match matches.subcommand() {
        Some(("check", matches)) => Action::Check(required(matches, "file")),
        Some(("apply", matches)) => Action::Apply(required(matches, "file"), guard(matches)),
        Some(("show", matches)) => Action::Show(query(matches)),
        Some(("rollout", matches)) => rollout_action(matches),
        Some(("drain", matches)) => Action::Drain {
            vm: required(matches, "vm"),
            undo: matches.get_flag("undo"),
            guard: guard(matches),
        },
        Some(("audit", matches)) => Action::Audit {
            follow: matches.get_flag("follow"),
        },
        Some(("explain", matches)) => Action::Explain {
            request: required(matches, "request"),
            files: many(matches, "logs"),
        },
        Some(("completions", matches)) => Action::Completions(required(matches, "shell")),
        _ => Action::HashKey,
    }
}

fn query(matches: &ArgMatches) -> Query {
    match matches.subcommand_name() {
        Some("inventory") => Query::Inventory,
        Some("upstreams") => Query::Upstreams,
        Some("sessions") => Query::Sessions,
        Some("rollouts") => Query::Rollouts,
        Some("bill") => Query::Bill,
        _ => Query::Status,
    }
}

fn rollout_action(matches: &ArgMatches) -> Action {
    let (name, matches) = matches.subcommand().expect("a step is required");
    let step = match name {
        "start" => Step::Start {
            stages: many(matches, "stages"),
        },
        "pause" => Step::Pause,
        "resume" => Step::Resume,
        _ => Step::Withdraw,
    };
    Action::Rollout {
        version: required(matches, "version"),
        step,
        guard: guard(matches),
    }
}
