//! The command line of `scalebarrow`.

use bpaf::Bpaf;
use scalebarrow_sender::config::Config;
use scalebarrow_sender::driver::{self, ServeError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;

/// Delivers webhooks to outside destinations.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Accept webhooks and deliver them until SIGTERM; SIGHUP reloads the configuration
    #[bpaf(command)]
    Serve {
        /// The configuration file
        #[bpaf(long, env("LB_CONFIG"), argument("FILE"))]
        config: PathBuf,
        /// The directory for the state that is kept across restarts
        #[bpaf(long, env("LB_STATE"), argument("DIR"))]
        state: PathBuf,
        /// The log level: error, warn, info, or debug, which logs each attempt
        #[bpaf(long, argument("LEVEL"), fallback(LevelFilter::INFO), display_fallback)]
        log: LevelFilter,
    },
    /// Check the configuration and print the first error, if any
    #[bpaf(command)]
    Check {
        /// The configuration file
        #[bpaf(long, env("LB_CONFIG"), argument("FILE"))]
        config: PathBuf,
    },
    /// Print the version
    #[bpaf(command)]
    Version,
}

/// Starts logging to standard error and reads the configuration.
fn start_log(max_level: LevelFilter, config_path: &Path) -> Result<Config, String> {
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    // A log that cannot be written must not end the process.
    log.with_max_level(max_level).log_internal_errors(false).init();
    Config::read(config_path)
}

fn main() -> ExitCode {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let result = match command {
        Command::Version => {
            println!("scalebarrow {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Check { config } => {
            Config::read(&config).map(|config| println!("{}: the configuration is valid", config.name))
        }
        Command::Serve { config: config_path, state, log } => match start_log(log, &config_path) {
            Ok(config) => match driver::serve(config, &config_path, &state) {
                Ok(()) => Ok(()),
                Err(error) => {
                    eprintln!("scalebarrow: {error}");
                    let is_in_use = matches!(error, ServeError::FolderInUse(..));
                    return if is_in_use { ExitCode::from(2) } else { ExitCode::FAILURE };
                }
            },
            Err(error) => Err(error),
        },
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scalebarrow: configuration: {error}");
            ExitCode::from(2)
        }
    }
}
