//! Arrival times, latencies without coordinated omission, summaries and plots.

use {
    cumincart_load::{
        arrivals::{poisson, skewed_index},
        open_loop,
        plot::{Curve, Plot, Point},
        summary::{Outcome, Summary},
    },
    cumincart_protocol::{
        refusal::{Refusal, RefusalCode},
        verdict::Verdict,
    },
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{sync::Arc, time::Duration},
    tokio::{sync::Mutex, time::sleep},
};

const SEED: u64 = 7;

#[test]
fn poisson_arrivals_keep_their_rate_and_seed() {
    let span = Duration::from_secs(100);
    let due = poisson(SEED, 200.0, span);
    assert_eq!(due, poisson(SEED, 200.0, span));
    assert_ne!(due, poisson(SEED + 1, 200.0, span));
    assert!(due.is_sorted() && due.last().is_some_and(|last| *last < span));
    // Five standard deviations of a Poisson distribution with mean 20,000 are 707.
    assert!(due.len().abs_diff(20_000) < 710, "{}", due.len());
}

#[test]
fn skewed_draws_fall_on_the_first_fifth() {
    let mut random = ChaCha20Rng::seed_from_u64(SEED);
    let first = (0..10_000).filter(|_| skewed_index(&mut random, 10) < 2).count();
    assert!(first.abs_diff(8_000) < 200, "{first}");
    assert!((0..1_000).all(|_| skewed_index(&mut random, 1) == 0));
}

/// Guards against coordinated omission. The server handles one request at a time and stalls for 1 s on the first, so
/// the latencies of the ten requests behind it must include their wait.
#[tokio::test(start_paused = true)]
async fn latency_includes_the_wait_behind_a_stalled_request() {
    let due: Vec<_> = (0..11).map(|index| Duration::from_millis(index * 10)).collect();
    let server = Arc::new(Mutex::new(()));
    let samples = open_loop::run(&due, |index| {
        let server = Arc::clone(&server);
        async move {
            let _turn = server.lock().await;
            if index == 0 {
                sleep(Duration::from_secs(1)).await;
            }
            Outcome::Answered { from_replica: false }
        }
    })
    .await;
    assert_eq!(samples.len(), 11);
    assert!(samples.iter().all(|sample| sample.latency >= Duration::from_millis(900)), "{samples:?}");
}

#[tokio::test(start_paused = true)]
async fn summary_counts_every_outcome_once() {
    let due = vec![Duration::ZERO; 6];
    let samples = open_loop::run(&due, |index| async move {
        sleep(Duration::from_millis(10 * index as u64)).await;
        match index {
            0 => Outcome::Refused(Refusal::not_run(RefusalCode::OverRate, "")),
            1 => Outcome::Refused(Refusal::unknown(RefusalCode::ConnectionLost, "")),
            2 => Outcome::Refused(Refusal::ran(RefusalCode::AlreadyRun, "")),
            3 => Outcome::Failed("reset".into()),
            _ => Outcome::Answered { from_replica: index == 5 },
        }
    })
    .await;
    let summary = Summary::of(&samples);
    assert_eq!((summary.requests, summary.answered, summary.from_replica), (6, 2, 1));
    assert_eq!((summary.not_run, summary.unknown, summary.ran, summary.failed), (1, 1, 1, 1));
    assert_eq!((summary.refusals.len(), summary.failures.len()), (3, 1));
    assert!((summary.latency_ms.max - 50.0).abs() < 2.0, "{:?}", summary.latency_ms);
    assert_eq!(Refusal::not_run(RefusalCode::OverRate, "").verdict, Verdict::NotRun);
}

#[test]
fn plot_names_its_curves_in_a_legend() {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let path = folder.path().join("plot.svg");
    let points = vec![Point { x: 0.0, y: 1.0 }, Point { x: 2.0, y: 3.0 }];
    let plot = Plot {
        title: "Latency".into(),
        x_label: "time in s".into(),
        y_label: "latency in ms".into(),
        curves: vec![
            Curve { name: "the system".into(), points },
            Curve { name: "baseline".into(), points: vec![] },
        ],
    };
    plot.write(&path).expect("the folder can be written to");
    let svg = std::fs::read_to_string(&path).expect("it was written");
    for text in ["Latency", "time in s", "latency in ms", "the system", "baseline"] {
        assert!(svg.contains(text), "{text} is missing");
    }
}
