//! Prints the result table, its JSON lines and the comparison with the targets.

use serde_json::json;

use crate::{scenario::Scenario, simulation::ClassResult};

/// Share of its goodput that every class keeps while another one floods.
const GOODPUT_KEPT_MIN: f64 = 0.95;
/// The most urgent class's response p99 stays below this multiple of its value without the flood.
const P99_FACTOR_MAX: f64 = 2.0;

fn ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}

/// Returns the share of the goodput that is kept under the flood.
fn goodput_kept(with: &ClassResult, without: &ClassResult) -> f64 {
    with.answered as f64 / without.answered.max(1) as f64
}

/// Prints a table line for each class, then the same figures as JSON lines.
pub fn print(scenario: &Scenario, policy: &str, with: &[ClassResult], without: &[ClassResult]) {
    println!(
        "\n{} / {policy} / minions: {} / flood: {}\n{:<18} {:>9} {:>9} {:>6} {:>9} {:>9} {:>9} {:>10} refusals",
        scenario.user.name,
        scenario.minions,
        scenario.flood.name(),
        "class",
        "offered",
        "answered",
        "kept",
        "wait p50",
        "p99 ms",
        "max",
        "resp. p99",
    );
    for (with, without) in with.iter().zip(without) {
        let refusals: Vec<String> = with
            .refused
            .iter()
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        println!(
            "{:<18} {:>9} {:>9} {:>5.1}% {:>9.1} {:>9.1} {:>9.1} {:>10.1} {}",
            with.name,
            with.offered,
            with.answered,
            goodput_kept(with, without) * 100.0,
            ms(with.wait_us.value_at_quantile(0.5)),
            ms(with.wait_us.value_at_quantile(0.99)),
            ms(with.wait_us.max()),
            ms(with.response_us.value_at_quantile(0.99)),
            refusals.join(", "),
        );
    }
    for (with, without) in with.iter().zip(without) {
        print_json(scenario, policy, with, without);
    }
}

fn print_json(scenario: &Scenario, policy: &str, with: &ClassResult, without: &ClassResult) {
    let refused: serde_json::Map<_, _> = with
        .refused
        .iter()
        .map(|(reason, count)| (reason.to_string(), json!(count)))
        .collect();
    let line = json!({
        "user": scenario.user.name,
        "policy": policy,
        "minions": scenario.minions,
        "flood": scenario.flood.name(),
        "class": with.name,
        "offered": with.offered,
        "answered": with.answered,
        "goodput_kept": goodput_kept(with, without),
        "wait_p50_ms": ms(with.wait_us.value_at_quantile(0.5)),
        "wait_p99_ms": ms(with.wait_us.value_at_quantile(0.99)),
        "wait_max_ms": ms(with.wait_us.max()),
        "response_p99_ms": ms(with.response_us.value_at_quantile(0.99)),
        "refused": refused,
    });
    println!("{line}");
}

/// Compares the classes that do not flood with the targets.
///
/// Returns the number of missed targets for the fair policy, 0 for the others.
pub fn print_targets(
    scenario: &Scenario,
    policy: &str,
    with: &[ClassResult],
    without: &[ClassResult],
) -> u32 {
    let flooding = scenario.flood.class_index(&scenario.user);
    let mut missed = 0;
    for (index, (with, without)) in with.iter().zip(without).enumerate() {
        if Some(index) == flooding {
            continue;
        }
        let kept = goodput_kept(with, without);
        missed += print_target(
            kept >= GOODPUT_KEPT_MIN,
            &format!("{} keeps {:.1} % of its goodput", with.name, kept * 100.0),
        );
        if index == 0 {
            let p99 = |result: &ClassResult| ms(result.response_us.value_at_quantile(0.99));
            let (after, before) = (p99(with), p99(without));
            missed += print_target(
                with.answered > 0 && after < P99_FACTOR_MAX * before,
                &format!("{} response p99 {before:.1} -> {after:.1} ms", with.name),
            );
        }
    }
    if policy == "fair-share" {
        missed
    } else {
        0
    }
}

/// Prints whether a target is met; returns 1 if it is missed.
fn print_target(met: bool, what: &str) -> u32 {
    println!("  {} {what}", if met { "met:   " } else { "MISSED:" });
    u32::from(!met)
}
