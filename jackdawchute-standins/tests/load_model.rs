//! What callers get of a load that the scheduler's own decisions are played with.

use std::time::Duration;

use jackdawchute_standins::load_model::{run, ModelPlan, Report};

/// The worst kind is to get at least this share of the mean; the target is "within 10 %".
const WORST_TO_MEAN_MIN: f64 = 0.9;
/// The least share that any kind keeps of its worth under more load than the cell can take.
const FLOOR: f64 = 0.5;
/// The users' target of the mean worth on the repair desk's heavy days.
const GANGS_MIN: f64 = 0.62;
/// How long jobs arrive.
const DURATION: Duration = Duration::from_secs(12);

fn quietly(plan: ModelPlan) -> Report {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let report = run(&ModelPlan {
        duration: DURATION,
        ..plan
    });
    println!("{report}");
    report
}

fn worst(report: &Report) -> f64 {
    let worths = report.kinds.values().map(|kind| kind.worth());
    worths.fold(f64::INFINITY, f64::min)
}

#[test]
fn gangs_get_as_much_as_other_kinds_in_a_large_cell() {
    for seed in [1, 2] {
        let report = quietly(ModelPlan::grown(seed));

        let share = worst(&report) / report.worth();
        assert!(share >= WORST_TO_MEAN_MIN, "seed {seed}: {share}");
    }
}

#[test]
fn no_kind_is_starved_by_bursts_of_the_others() {
    for seed in [1, 2] {
        let report = quietly(ModelPlan::grown(seed).overloaded());

        assert!(worst(&report) >= FLOOR, "seed {seed}: {}", worst(&report));
    }
}

#[test]
fn a_cell_that_is_nearly_full_refuses_few_and_keeps_the_gangs_worth() {
    for seed in [1, 2] {
        let report = quietly(ModelPlan::repair_desk(seed));

        let refused: usize = report.kinds.values().map(|kind| kind.refused).sum();
        let submitted: usize = report.kinds.values().map(|kind| kind.submitted).sum();
        assert!(
            worst(&report) >= GANGS_MIN,
            "seed {seed}: {}",
            worst(&report)
        );
        assert!(
            refused * 100 <= submitted,
            "seed {seed}: {refused} of {submitted}"
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_load() {
    let plan = || ModelPlan {
        duration: Duration::from_secs(3),
        ..ModelPlan::today(3)
    };

    let first = quietly(plan());
    let second = quietly(plan());

    let submitted = |report: &Report| -> Vec<usize> {
        report.kinds.values().map(|kind| kind.submitted).collect()
    };
    assert_eq!(submitted(&first), submitted(&second));
}
