//! Compares the model with queueing theory: mean waits in closed form, Little's law, and arrival rates.

mod helpers;
use helpers::{play, single_queue, spread};
use scalebarrow_emulator::random::{Shape, Spread};

/// Mean wait in M/M/c: the probability to wait (Erlang C) divided by the spare capacity.
fn erlang_wait(rate: f64, mean: f64, workers: u32) -> f64 {
    let offered_load = rate * mean;
    let mut term = 1.0;
    let mut sum = 1.0;
    for server in 1..workers {
        term *= offered_load / f64::from(server);
        sum += term;
    }
    let servers = f64::from(workers);
    let last = term * offered_load / servers * servers / (servers - offered_load);
    last / (sum + last) / (servers / mean - rate)
}

/// Mean wait in M/G/1 (Pollaczek-Khinchine formula).
fn general_wait(rate: f64, mean: f64, cv: f64) -> f64 {
    let utilisation = rate * mean;
    utilisation * mean * (1.0 + cv * cv) / 2.0 / (1.0 - utilisation)
}

#[test]
fn mean_waits_match_queueing_theory_within_two_percent() {
    let exponential = |mean| spread(mean, Shape::Exp, 1.0);
    let lognormal = |mean, cv| spread(mean, Shape::Lognormal, cv);
    let cases = [
        ("M/M/1 at 0.5", 500.0, 1, exponential(0.001), erlang_wait(500.0, 0.001, 1)),
        ("M/M/1 at 0.7", 700.0, 1, exponential(0.001), erlang_wait(700.0, 0.001, 1)),
        ("M/M/4 at 0.75", 750.0, 4, exponential(0.004), erlang_wait(750.0, 0.004, 4)),
        ("M/M/16 at 0.8", 800.0, 16, exponential(0.016), erlang_wait(800.0, 0.016, 16)),
        ("M/G/1 lognormal", 600.0, 1, lognormal(0.001, 0.8), general_wait(600.0, 0.001, 0.8)),
        ("M/D/1", 700.0, 1, spread(0.001, Shape::Fixed, 0.0), general_wait(700.0, 0.001, 0.0)),
    ];
    let check = |(name, rate, workers, service_time, expected): (&str, f64, usize, Spread, f64)| {
        // Two million webhooks, since waits are correlated: their mean is then precise to one percent.
        let day = play(&single_queue(rate, workers, service_time, 2e6 / rate), 5, "straight");
        let wait = day.queueing.mean_s();
        assert!((wait / expected - 1.0).abs() < 0.02, "{name}: mean wait {wait}, in theory {expected}");
        assert!(day.little_holds(), "{name}: Little's law");
        assert_eq!(day.counts.delivered, day.counts.messages, "{name}");
    };
    std::thread::scope(|scope| {
        let check = &check;
        for case in cases {
            scope.spawn(move || check(case));
        }
    });
}

#[test]
fn arrivals_match_the_configured_rate_with_clumps_and_curves() {
    use scalebarrow_emulator::spec::{Clients, Curve};
    let base = Clients { rate: 400.0, ..Clients::default() };
    let cases = [
        ("steady", base.clone(), 400.0),
        ("clumps", Clients { clump_share: 0.3, clump_size: 7, ..base.clone() }, 400.0),
        (
            "points",
            Clients { curve: Curve::Points, points: vec![(0.0, 0.5), (300.0, 1.5)], ..base.clone() },
            400.0,
        ),
        ("wave", Clients { curve: Curve::Wave, wave_amplitude: 0.5, wave_period_s: 30.0, ..base }, 400.0),
    ];
    for (name, clients, rate) in cases {
        let mut world = single_queue(1.0, 100, spread(0.001, Shape::Exp, 1.0), 300.0);
        world.clients = clients;
        let day = play(&world, 3, "straight");
        let measured = day.counts.messages as f64 / 300.0;
        assert!((measured / rate - 1.0).abs() < 0.03, "{name}: {measured} webhooks per second");
    }
}
