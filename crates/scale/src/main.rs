//! The command line of `scalebarrow-scale`.

use bpaf::Bpaf;
use scalebarrow_scale::error::Error;
use scalebarrow_scale::verbs::{changes, day, restarts, slope, small};
use scalebarrow_scale::{capacity, hollow, interrupt, soak};
use std::process::ExitCode;

/// Measures what the built sender costs at scale, against stand-ins for list service, receivers and clients that run
/// in this process, on loopback. No run uses more than 12 GiB or 200 processes. Ctrl-C ends a run and keeps what was
/// measured.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Verb {
    /// Measure resources at several counts, fit a line through each, write docs/capacity/slopes.json
    #[bpaf(command)]
    Slope(#[bpaf(external(slope::options))] slope::Options),
    /// Kill senders, or tell them to end, under load and with a backlog, and start them again
    #[bpaf(command)]
    Restarts(#[bpaf(external(restarts::options))] restarts::Options),
    /// Change the list an hour's worth of times and in a burst, and time until every sender has it
    #[bpaf(command)]
    Changes(#[bpaf(external(changes::options))] changes::Options),
    /// Play a day of load with a part of the destinations down
    #[bpaf(command)]
    Day(#[bpaf(external(day::options))] day::Options),
    /// Play each verb in a small form, within a minute; for CI
    #[bpaf(command)]
    Small(#[bpaf(external(small::options))] small::Options),
    /// Play senders under faults drawn from seeds; receivers' and clients' records are judged
    #[bpaf(command)]
    Soak(#[bpaf(external(soak::options))] soak::Options),
    /// Run hollow senders; other verbs start this by themselves
    #[bpaf(command, hide)]
    Hollow(#[bpaf(external(hollow::options))] hollow::Options),
    /// Make the table of docs/CAPACITY.md from docs/capacity/slopes.json
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity::options))] capacity::Options),
}

fn run(verb: &Verb) -> Result<(), Error> {
    // Its senders take the signals themselves.
    if let Verb::Hollow(options) = verb {
        return hollow::run(options);
    }
    let stop = interrupt::on_signals().map_err(|e| Error::Failed(e.to_string()))?;
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
