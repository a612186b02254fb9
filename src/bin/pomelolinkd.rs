//! Daemon of an entry VM.

use std::path::Path;
use std::process::ExitCode;

use argh::FromArgs;
use pomelolink::{config, daemon};

/// Runs the daemon of one entry VM.
#[derive(Debug, FromArgs)]
struct Args {
    /// only check the settings file and name every mistake
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

/// Reads the arguments. A usage error has an exit code of its own, as in the tool: a supervisor that
/// restarts the daemon after a failure can't repair it.
fn parse(mut words: impl Iterator<Item = String>) -> Result<Args, ExitCode> {
    let _ = words.next();
    let words: Vec<String> = words.collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Args::from_args(&["pomelolinkd"], &words).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output.trim_end());
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("pomelolinkd: {}", early.output.trim_end());
            ExitCode::from(2)
        }
    })
}

fn start(settings: config::Settings) -> std::io::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(daemon::run(settings))
}
