//! The allocator of the shipped program.

use std::process::{Command, Output};

/// Runs the program with an option that only its allocator reads.
fn run_with_allocator_statistics() -> Output {
    Command::new(env!("CARGO_BIN_EXE_jackdawchute"))
        .arg("--help")
        .env("MIMALLOC_SHOW_STATS", "1")
        .output()
        .expect("the program was built with this test")
}

/// With the allocator of the C library the leader of a large cell fell behind its calls.
#[test]
fn the_program_does_not_use_the_allocator_that_slowed_down_leaders() {
    let output = run_with_allocator_statistics();

    let statistics = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{output:?}");
    assert!(statistics.contains("peak commit"), "{statistics}");
}
