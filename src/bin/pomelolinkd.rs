//! Daemon of an entry VM.

use std::path::Path;
use std::process::ExitCode;

use argh::FromArgs;
use pomelolink::{config, daemon};

/// Runs the daemon of one entry VM.
#[derive(Debug, FromArgs)]
struct Args {
    /// check the settings file, print every mistake in it and exit
    #[argh(switch)]
    check: bool,
    /// settings file, JSON with comments
    #[argh(positional)]
    settings: String,
}

fn main() -> ExitCode {
    let args = match parse(std::env::args()) {
        Ok(args) => args,
        Err(code) => return code,
    };
    let settings = match config::Settings::load(Path::new(&args.settings)) {
        Ok(settings) => settings,
        Err(mistakes) => {
            for mistake in mistakes {
                eprintln!("{mistake}");
            }
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("{}: no mistakes", args.settings);
        return ExitCode::SUCCESS;
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match start(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("daemon: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Parses the arguments. A usage error ends with exit code 2, as in the operator tool, so that a
/// supervisor can tell it from a failure that a restart may repair.
fn parse(mut args: impl Iterator<Item = String>) -> Result<Args, ExitCode> {
    let _ = args.next();
    let args: Vec<String> = args.collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Args::from_args(&["pomelolinkd"], &args).map_err(|early_exit| match early_exit.status {
        Ok(()) => {
            println!("{}", early_exit.output.trim_end());
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("pomelolinkd: {}", early_exit.output.trim_end());
            ExitCode::from(2)
        }
    })
}

fn start(settings: config::Settings) -> std::io::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(daemon::run(settings))
}
