//! The command line of `scalebarrow`.

use bpaf::Bpaf;
use scalebarrow_sender::config::Config;
use scalebarrow_sender::driver;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;

/// Delivers webhooks to outside destinations.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Take webhooks and deliver them, until SIGTERM; SIGHUP reads the configuration again
    #[bpaf(command)]
    Serve {
        /// The configuration
        #[bpaf(long, env("LB_CONFIG"), argument("FILE"))]
        config: PathBuf,
        /// The folder that outlives the process
        #[bpaf(long, env("LB_STATE"), argument("DIR"))]
        state: PathBuf,
        /// The least that is logged: error, warn, info, or debug, which follows each attempt
        #[bpaf(long, argument("LEVEL"), fallback(LevelFilter::INFO), display_fallback)]
        log: LevelFilter,
    },
    /// Read the configuration and say whether it can be served
    #[bpaf(command)]
    Check {
        /// The configuration
        #[bpaf(long, env("LB_CONFIG"), argument("FILE"))]
        config: PathBuf,
    },
    /// Print the version
    #[bpaf(command)]
    Version,
}

/// Logs to standard error from here on, and reads the configuration.
fn start_log(least: LevelFilter, path: &Path) -> Result<Config, String> {
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    // A log that cannot be written must not end the process.
    log.with_max_level(least).log_internal_errors(false).init();
    Config::read(path)
}

fn main() -> ExitCode {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let done = match command {
        Command::Version => {
            println!("scalebarrow {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Check { config } => Config::read(&config).map(|c| println!("{}: can be served", c.name)),
        Command::Serve { config: path, state, log } => match start_log(log, &path) {
            Ok(config) => match driver::serve(config, &path, &state) {
                Ok(()) => Ok(()),
                Err(e) => {
                    eprintln!("scalebarrow: {e}");
                    return ExitCode::FAILURE;
                }
            },
            Err(why) => Err(why),
        },
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("scalebarrow: configuration: {why}");
            ExitCode::from(2)
        }
    }
}
