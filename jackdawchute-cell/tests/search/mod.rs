//! The breadth-first search of the models.

use std::{cell::Cell, fmt::Debug, hash::Hash, time::Instant};

use pathfinding::prelude::bfs;

/// The result of a search.
pub struct Searched<W> {
    /// How many states were visited.
    pub explored: u64,
    /// The states from the initial one to a violation, if there is one; no other path is shorter.
    pub path: Option<Vec<W>>,
}

impl<W> Searched<W> {
    /// Returns how many steps lead to the violation, if there is one.
    pub fn steps(&self) -> Option<usize> {
        self.path.as_ref().map(|path| path.len() - 1)
    }
}

/// Searches the states that can be reached, `states_max` of them at most, for a violation.
pub fn search<W: Clone + Debug + Eq + Hash>(
    states_max: u64,
    name: &str,
    initial: &W,
    next: impl Fn(&W) -> Vec<W>,
    is_violated: impl Fn(&W) -> bool,
) -> Searched<W> {
    let explored = Cell::new(0_u64);
    let begun = Instant::now();
    let next = |world: &W| {
        if explored.get() == states_max {
            return Vec::new();
        }
        explored.set(explored.get() + 1);
        next(world)
    };
    let path = bfs(initial, next, is_violated);
    let searched = Searched {
        explored: explored.get(),
        path,
    };
    let (explored, steps, elapsed) = (searched.explored, searched.steps(), begun.elapsed());
    println!("{name}: {explored} states, violation after {steps:?} steps, {elapsed:?}");
    searched
}
