//! Command-line tool for operators.

mod apply;
mod client;
mod config;
mod delete;
mod describe;
mod diff;
mod error;
mod explain;
mod get;
mod r#move;
mod replay;
mod status;
mod timeline;
mod util;
mod watch;

use std::process::ExitCode;

use argh::FromArgs;

/// Controls pomelolink through the operator interface of its entry VMs.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Global options may also follow the command. The servers come from POMELOLINK_SERVER \
            (separated by commas) and the token from POMELOLINK_TOKEN unless options specify them.",
    error_code(0, "done"),
    error_code(1, "failed; the message says whether anything was applied"),
    error_code(2, "usage"),
    error_code(3, "conflict with another change"),
    error_code(4, "not reachable")
)]
struct Arguments {
    #[argh(option, arg_name = "IP:PORT")]
    /// operator address of an entry VM; repeat it for further addresses to try
    server: Vec<String>,
    #[argh(option, arg_name = "PATH")]
    /// file that holds the bearer token
    token_file: Option<String>,
    #[argh(switch)]
    /// write JSON
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Apply(apply::Arguments),
    Diff(diff::Arguments),
    Get(get::Arguments),
    Describe(describe::Arguments),
    Delete(delete::Arguments),
    Move(r#move::Arguments),
    Watch(watch::Arguments),
    Timeline(timeline::Arguments),
    Replay(replay::Arguments),
    Status(status::Arguments),
    Explain(explain::Arguments),
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = config::hoist_globals(std::env::args().skip(1));
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["pomelolink"], &args) {
        Ok(arguments) => arguments,
        Err(early) => return error::report_early_exit(&early),
    };
    let Arguments { server, token_file, json, command } = arguments;
    let config = config::Config { servers: server, token_file, json };
    let result = match command {
        Command::Apply(arguments) => apply::run(&config, arguments).await,
        Command::Diff(arguments) => diff::run(&config, arguments).await,
        Command::Get(arguments) => get::run(&config, arguments).await,
        Command::Describe(arguments) => describe::run(&config, arguments).await,
        Command::Delete(arguments) => delete::run(&config, arguments).await,
        Command::Move(arguments) => r#move::run(&config, arguments).await,
        Command::Watch(arguments) => watch::run(&config, arguments).await,
        Command::Timeline(arguments) => timeline::run(&config, arguments).await,
        Command::Replay(arguments) => replay::run(&config, arguments),
        Command::Status(arguments) => status::run(&config, arguments).await,
        Command::Explain(arguments) => explain::run(&config, arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => error::report(&error, json),
    }
}
