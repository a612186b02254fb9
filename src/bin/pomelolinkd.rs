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
    let args: Args = argh::from_env();
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

fn start(settings: config::Settings) -> std::io::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(daemon::run(settings))
}
