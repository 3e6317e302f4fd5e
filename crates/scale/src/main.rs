//! The command line of `scalebarrow-scale`.

use bpaf::Bpaf;
use scalebarrow_scale::capacity;
use std::process::ExitCode;

/// Measures what the built sender costs at scale, against stand-ins on loopback.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Verb {
    /// Make the table of docs/CAPACITY.md from docs/capacity/slopes.json
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity::options))] capacity::Options),
}

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_env_filter(
            tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into()),
        )
        .init();
    let verb = match verb().run_inner(bpaf::Args::current_args()) {
        Ok(verb) => verb,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let done = match verb {
        Verb::Capacity(options) => capacity::run(&options),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scalebarrow-scale: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
