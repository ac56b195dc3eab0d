//! Flags and subcommands of `daisyquay`, the operators' command line.

use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;

use super::address_list_arg;
use super::optional;
use super::parse_name;
use super::parse_seconds;
use super::parse_share;
use super::program;
use super::required;
use super::values;
use crate::collections::Name;
use crate::config::VersionName;
use crate::operator::Action;
use crate::operator::ChangeOptions;
use crate::operator::Config;
use crate::operator::RolloutCommand;
use crate::state::query::Query;

/// The command line of the program.
pub fn command() -> Command {
    program("daisyquay", "Configures and inspects daisyquay")
        .subcommand_required(true)
        .arg(
            address_list_arg(
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
                .help("Key that authenticates the operator"),
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
                .about("Validates an inventory file without applying it")
                .arg(file()),
        )
        .subcommand(with_change_flags(
            Command::new("apply")
                .about("Applies an inventory file")
                .arg(file()),
        ))
        .subcommand(show())
        .subcommand(rollout())
        .subcommand(with_change_flags(
            Command::new("drain")
                .about("Removes an entry VM from address responses")
                .arg(Arg::new("vm").required(true).value_parser(parse_name))
                .arg(
                    Arg::new("undo")
                        .long("undo")
                        .action(ArgAction::SetTrue)
                        .help("Add the entry VM to address responses again"),
                ),
        ))
        .subcommand(evacuate())
        .subcommand(
            Command::new("audit")
                .about("Shows the audit trail: who changed what, when, and the outcome")
                .arg(
                    Arg::new("follow")
                        .long("follow")
                        .action(ArgAction::SetTrue)
                        .help("Keep printing new records until interrupted"),
                ),
        )
        .subcommand(
            Command::new("explain")
                .about("Explains the outcome of a request from logs")
                .arg(
                    Arg::new("request")
                        .value_name("ID")
                        .required(true)
                        .help("Id of the request, as sent by the caller"),
                )
                .arg(
                    Arg::new("logs")
                        .value_name("FILE")
                        .required(true)
                        .num_args(1..)
                        .value_parser(value_parser!(PathBuf))
                        .help("Log files of gateways and state replicas, each named after its VM"),
                ),
        )
        .subcommand(
            Command::new("hash-key").about("Prints the hash of a key read from standard input"),
        )
        .subcommand(
            Command::new("completions")
                .about("Prints a completion script for a shell")
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
        .help("Inventory and rules in TOML")
}

/// Adds the flags that all changes share.
fn with_change_flags(command: Command) -> Command {
    command
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .value_name("ID")
                .value_parser(parse_name)
                .help("Id of this change; a retry with the same id returns the first outcome")
                .long_help(
                    "Id of this change. A retry with the same id returns the first outcome and \
                     changes nothing. If omitted, a new id is generated and printed.",
                ),
        )
        .arg(
            Arg::new("expect-revision")
                .long("expect-revision")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help("Accept the change only if N is the current revision"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .value_name("SECONDS")
                .num_args(0..=1)
                .default_missing_value("10")
                .value_parser(parse_seconds)
                .help("Wait until the change is in force: applied by every entry"),
        )
}

fn show() -> Command {
    let what = [
        ("inventory", "Current inventory"),
        ("status", "Overview of replicas, entries and versions"),
        ("upstreams", "Announced upstreams"),
        ("sessions", "Pinned sessions, most recently used first"),
        ("rollouts", "Rollouts and their evidence"),
        ("bill", "Usage and cost of each organisation"),
    ];
    Command::new("show")
        .about("Shows part of the state")
        .subcommand_required(true)
        .subcommands(what.map(|(name, about)| Command::new(name).about(about)))
}

fn rollout() -> Command {
    let subcommand = |name: &'static str, about: &'static str| {
        with_change_flags(
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
            subcommand("start", "Starts a rollout").arg(
                Arg::new("stages")
                    .long("stages")
                    .value_name("SHARE,...")
                    .value_delimiter(',')
                    .value_parser(parse_share)
                    .default_value("0.01,0.1,0.5,1")
                    .help("Shares of new sessions at each stage, ascending"),
            ),
        )
        .subcommand(subcommand(
            "pause",
            "Pauses a rollout: no new sessions are assigned to the version",
        ))
        .subcommand(subcommand(
            "resume",
            "Resumes a rollout, or lifts a halt or a withdrawal",
        ))
        .subcommand(subcommand(
            "withdraw",
            "Withdraws a version: it gets no new requests",
        ))
}

fn evacuate() -> Command {
    let subcommand = |name: &'static str, about: &'static str| {
        with_change_flags(
            Command::new(name).about(about).arg(
                Arg::new("data-centre")
                    .value_name("DATA_CENTRE")
                    .required(true)
                    .value_parser(parse_name),
            ),
        )
    };
    Command::new("evacuate")
        .about("Takes the upstreams of a data centre out of service, or puts them back")
        .subcommand_required(true)
        .subcommand(subcommand(
            "begin",
            "Starts an evacuation: upstreams in the data centre get no new requests",
        ))
        .subcommand(subcommand(
            "finish",
            "Ends an evacuation: upstreams in the data centre get requests again",
        ))
}

fn parse_version(text: &str) -> Result<VersionName, String> {
    text.parse()
}

fn change_options(matches: &ArgMatches) -> ChangeOptions {
    ChangeOptions {
        change_id: optional::<Name>(matches, "change-id"),
        expected_revision: optional::<u64>(matches, "expect-revision"),
        wait: optional::<Duration>(matches, "wait"),
    }
}

/// The settings resolved from the command line, the environment and defaults.
pub fn config(matches: &ArgMatches) -> Config {
    Config {
        state: values(matches, "state"),
        operator_key: required(matches, "operator-key"),
        json: matches.get_flag("json"),
        action: action(matches),
    }
}

fn action(matches: &ArgMatches) -> Action {
    match matches.subcommand() {
        Some(("check", matches)) => Action::Check(required(matches, "file")),
        Some(("apply", matches)) => {
            Action::Apply(required(matches, "file"), change_options(matches))
        }
        Some(("show", matches)) => Action::Show(query(matches)),
        Some(("rollout", matches)) => rollout_action(matches),
        Some(("drain", matches)) => Action::Drain {
            vm: required(matches, "vm"),
            undo: matches.get_flag("undo"),
            options: change_options(matches),
        },
        Some(("evacuate", matches)) => evacuate_action(matches),
        Some(("audit", matches)) => Action::Audit {
            follow: matches.get_flag("follow"),
        },
        Some(("explain", matches)) => Action::Explain {
            request: required(matches, "request"),
            files: values(matches, "logs"),
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

fn evacuate_action(matches: &ArgMatches) -> Action {
    let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
    Action::Evacuate {
        data_centre: required(matches, "data-centre"),
        active: name == "begin",
        options: change_options(matches),
    }
}

fn rollout_action(matches: &ArgMatches) -> Action {
    let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
    let command = match name {
        "start" => RolloutCommand::Start {
            stages: values(matches, "stages"),
        },
        "pause" => RolloutCommand::Pause,
        "resume" => RolloutCommand::Resume,
        _ => RolloutCommand::Withdraw,
    };
    Action::Rollout {
        version: required(matches, "version"),
        command,
        options: change_options(matches),
    }
}
