//! The command line of `scalebarrow-scale`.

use bpaf::Bpaf;
use scalebarrow_scale::error::Error;
use scalebarrow_scale::verbs::{changes, day, restarts, slope, small};
use scalebarrow_scale::{capacity, hollow, interrupt, soak};
use std::process::ExitCode;

/// Measures and tests the built sender at scale, against stand-ins for the list service, the receivers and
/// the clients that run in this process, on loopback. A run uses at most 12 GiB and 200 processes. Ctrl-C
/// ends a run and keeps what was measured.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Verb {
    /// Measure resources at several counts, fit a line to each, write docs/capacity/slopes.json
    #[bpaf(command)]
    Slope(#[bpaf(external(slope::options))] slope::Options),
    /// Kill or terminate senders under load and with a backlog, and start them again
    #[bpaf(command)]
    Restarts(#[bpaf(external(restarts::options))] restarts::Options),
    /// Make changes to the endpoint list and measure how long senders take to apply them
    #[bpaf(command)]
    Changes(#[bpaf(external(changes::options))] changes::Options),
    /// Run a load profile in which a part of the destinations has an outage
    #[bpaf(command)]
    Day(#[bpaf(external(day::options))] day::Options),
    /// Run each verb at a small size, within a minute; for CI
    #[bpaf(command)]
    Small(#[bpaf(external(small::options))] small::Options),
    /// Run senders under faults that seeds determine, and check what receivers and clients saw
    #[bpaf(command)]
    Soak(#[bpaf(external(soak::options))] soak::Options),
    /// Run hollow senders; other verbs start this
    #[bpaf(command, hide)]
    Hollow(#[bpaf(external(hollow::options))] hollow::Options),
    /// Generate the tables of docs/CAPACITY.md from docs/capacity/slopes.json
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity::options))] capacity::Options),
}

fn run(verb: &Verb) -> Result<(), Error> {
    // Hollow senders handle the signals themselves.
    if let Verb::Hollow(options) = verb {
        return hollow::run(options);
    }
    let stop = interrupt::stop_on_signals().map_err(|error| Error::Failed(error.to_string()))?;
    match verb {
        Verb::Slope(options) => slope::run(options, &stop),
        Verb::Restarts(options) => restarts::run(options, &stop),
        Verb::Changes(options) => changes::run(options, &stop),
        Verb::Day(options) => day::run(options, &stop),
        Verb::Small(options) => small::run(options, &stop),
        Verb::Soak(options) => soak::run(options, &stop),
        Verb::Hollow(options) => hollow::run(options),
        Verb::Capacity(options) => capacity::run(options),
    }
}

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into());
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    log.with_env_filter(filter).init();
    let verb = match verb().run_inner(bpaf::Args::current_args()) {
        Ok(verb) => verb,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    match run(&verb) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scalebarrow-scale: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
