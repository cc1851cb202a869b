//! Steps of a leader: names, starts, stops, renewals and conclusions from silence.

use super::{
    spec::{Spec, Step, AUTHORITY, LEASE},
    world::{Link, Order, Run, View, World, COUNT_MAX, FAILING},
};

impl Spec {
    /// Adds what a leader with authority may do at a worker.
    pub(crate) fn lead(&self, world: &World, link: Link, next: &mut Vec<(Step, World)>) {
        let Some(view) = world.view(link) else {
            return;
        };
        for task in 0..self.tasks {
            self.name(world, link, task, next);
            self.start(world, link, task, next);
            self.stop(world, link, task, next);
        }
        self.renew(world, link, next);
        // The first leader concludes as of a confirmation of its epoch.
        let concludes = link.leader == 1 || world.claimed_for.is_none();
        if concludes && view.silent_for.is_some() {
            next.push((Step::GivenUp(link), self.given_up(world, link, view)));
        }
    }

    /// An order of a leader, with a lease by the clock of the incarnation that it knows.
    fn order(&self, world: &World, link: Link, view: &View) -> Order {
        let worker = &world.workers[link.worker];
        let incarnation = view.incarnation.unwrap_or_default();
        let ahead = match incarnation == worker.incarnation {
            true => 0,
            false => worker.first_clock,
        };
        Order {
            worker: link.worker,
            incarnation,
            token: self.token(link.leader, view),
            begins_from: 0,
            starts: None,
            lease_left: (LEASE + ahead).min(self.clock_max()) as i8,
            age: 0,
        }
    }

    /// Saves that a worker may begin a task.
    fn name(&self, world: &World, link: Link, task: usize, next: &mut Vec<(Step, World)>) {
        let Some(view) = world.view(link) else {
            return;
        };
        let is_unanswered = view.runs[task].is_some_and(|run| run.unanswered);
        let is_due = match self.guards.names_before_start {
            true => self.may_place(world, link, task),
            false => is_unanswered,
        };
        if is_due {
            let saved = world.step(|w| w.save_name(link.leader, task, Some(link.worker)));
            next.push((Step::NameSaved(link, task), saved));
        }
    }

    /// Starts a task, or repeats a start that got no answer.
    fn start(&self, world: &World, link: Link, task: usize, next: &mut Vec<(Step, World)>) {
        let Some(view) = world.view(link) else {
            return;
        };
        let is_repeated = view.runs[task].is_some_and(|run| run.unanswered);
        let answers = view.silent_for.is_none();
        let may_send = match is_repeated {
            true => {
                let is_stopped = view.runs[task].is_some_and(|run| run.stopped);
                !is_stopped && view.reported && (answers || !self.guards.repeats_while_answered)
            }
            false => self.may_place(world, link, task),
        };
        if !may_send {
            return;
        }
        let needs_name = link.leader == 0 && self.guards.names_before_start;
        if needs_name && world.named[task] != Some(link.worker) {
            return;
        }
        let order = Order {
            starts: Some(task),
            ..self.order(world, link, view)
        };
        let sent = world.step(|w| {
            w.change_view(link, |view| {
                view.lease_left = view.lease_left.max(LEASE);
                view.runs[task].get_or_insert_default();
            });
        });
        let mark_unanswered = |w: &mut World| {
            w.change_view(link, |view| {
                view.runs[task] = Some(Run {
                    unanswered: true,
                    ..Run::default()
                })
            });
        };
        if link.worker == FAILING {
            let unanswered = sent.step(|w| {
                mark_unanswered(w);
                self.leave_under_way(w, order);
            });
            next.push((Step::StartUnanswered(link, task), unanswered));
        }
        if self.is_unreachable(world, link.worker) {
            return;
        }
        let is_known = view.incarnation == Some(world.workers[link.worker].incarnation);
        let answered = sent.step(|w| {
            if !self.carry_out(w, &order) {
                w.leaders[link.leader] = None;
                return;
            }
            if !is_known && self.guards.counts_start_as_unanswered {
                mark_unanswered(w);
            } else if !is_repeated && !self.keeps_names(w, link) {
                w.save_name(link.leader, task, None);
            }
            if !is_known {
                self.note_restart(w, link, Some(task));
            }
        });
        next.push((Step::StartAnswered(link, task), answered));
    }

    /// Whether a leader may start a task that runs nowhere as far as it knows, on a worker that answers
    /// and runs nothing.
    fn may_place(&self, world: &World, link: Link, task: usize) -> bool {
        let views = || world.leaders[link.leader].iter().flat_map(|it| &it.views);
        let is_placed = views().any(|view| view.runs[task].is_some());
        let accepts = |view: &View| {
            let is_free = view.runs.iter().all(Option::is_none);
            view.is_responsive() && view.accepts_tasks && is_free
        };
        if is_placed || !world.view(link).is_some_and(accepts) {
            return false;
        }
        let Some(claimed_for) = world.claimed_for.filter(|_| link.leader == 1) else {
            return true;
        };
        let authority = match self.guards.waits_from_end_of_authority {
            true => AUTHORITY,
            false => 0,
        };
        let awaits_named =
            self.guards.waits_for_named && claimed_for < authority + self.unanswered_max();
        views()
            .take(self.workers)
            .enumerate()
            .all(|(worker, view)| {
                let may_begin = awaits_named && world.named[task] == Some(worker);
                view.incarnation.is_some() || (view.lease_left == 0 && !may_begin)
            })
    }

    /// How long a run may last on a silent worker if a copy of its start got no answer.
    fn unanswered_max(&self) -> u8 {
        let delay = self.late_order_max * u8::from(self.guards.waits_for_delay);
        let hold = self.hold_max * u8::from(self.guards.waits_for_hold);
        delay + hold
    }

    /// Stops a run whose start got no answer; its worker refuses all copies of the start then.
    fn stop(&self, world: &World, link: Link, task: usize, next: &mut Vec<(Step, World)>) {
        let Some(view) = world.view(link) else {
            return;
        };
        let is_unanswered = view.runs[task].is_some_and(|run| run.unanswered);
        let token = self.token(link.leader, view);
        let is_refused = token < world.workers[link.worker].token;
        let is_answered = !is_refused && !self.is_unreachable(world, link.worker);
        if !is_unanswered || !view.is_responsive() || !is_answered {
            return;
        }
        let answered = world.step(|w| {
            let worker = &mut w.workers[link.worker];
            worker.token = token;
            worker.runs[task] = None;
            let incarnation = worker.incarnation;
            let is_copy = |it: &Order| it.worker == link.worker && it.starts == Some(task);
            if self.begins_after_stop {
                let copies = w.orders.iter_mut().flatten().filter(|it| is_copy(it));
                copies.for_each(|copy| copy.begins_from = incarnation + 1);
            } else {
                w.retain_orders(|order| !is_copy(order));
            }
            if self.guards.waits_though_answered {
                w.change_view(link, |view| {
                    view.runs[task]
                        .iter_mut()
                        .for_each(|run| run.stopped = true);
                });
            } else {
                remove_run(w, link, task);
            }
        });
        next.push((Step::StopAnswered(link, task), answered));
    }

    /// Sends a renewal, with a lease if the worker answers.
    fn renew(&self, world: &World, link: Link, next: &mut Vec<(Step, World)>) {
        let Some(view) = world.view(link) else {
            return;
        };
        let mut order = self.order(world, link, view);
        let mut sent = *world;
        if view.is_responsive() {
            sent.change_view(link, |view| view.lease_left = view.lease_left.max(LEASE));
        } else {
            order.lease_left = 0;
        }
        if link.worker == FAILING {
            let unanswered = sent.step(|w| {
                w.change_view(link, |view| {
                    view.silent_for.get_or_insert(0);
                });
                // A renewal without a lease has no effect that a later one does not have.
                if view.is_responsive() {
                    self.leave_under_way(w, order);
                }
            });
            next.push((Step::RenewalUnanswered(link), unanswered));
        }
        if self.is_unreachable(world, link.worker) {
            return;
        }
        let answered = sent.step(|w| {
            if order.token < w.workers[link.worker].token {
                w.leaders[link.leader] = None;
                return;
            }
            self.carry_out(w, &order);
            w.change_view(link, |view| view.silent_for = None);
            let incarnation = w.workers[link.worker].incarnation;
            if view.incarnation.is_some_and(|known| known != incarnation) {
                self.note_restart(w, link, None);
            } else {
                self.list(w, link);
            }
        });
        next.push((Step::RenewalAnswered(link), answered));
    }

    fn is_unreachable(&self, world: &World, worker: usize) -> bool {
        self.is_cut_off && world.workers[worker].incarnation > 0
    }

    /// An order gets no answer, and may be carried out late unless its worker is cut off.
    fn leave_under_way(&self, world: &mut World, order: Order) {
        if !self.is_unreachable(world, order.worker) {
            world.add_order(order, self.orders_max);
        }
    }

    /// A leader has noticed a new incarnation, which has taken the start of a task or answered a
    /// renewal.
    fn note_restart(&self, world: &mut World, link: Link, taken: Option<usize>) {
        let incarnation = world.workers[link.worker].incarnation;
        let lists_first = self.guards.lists_before_placement;
        world.change_view(link, |view| {
            view.incarnation = Some(incarnation);
            view.raised = true;
            view.reported = !lists_first;
            if taken.is_none() {
                view.lease_left = 0;
            }
        });
        for task in (0..COUNT_MAX).filter(|task| !lists_first && taken != Some(*task)) {
            remove_run(world, link, task);
        }
    }

    /// A leader has received the list of a worker's runs under its present token.
    fn list(&self, world: &mut World, link: Link) {
        let worker = world.workers[link.worker];
        let is_current = link.leader == 1 || world.claimed_for.is_none();
        let Some(known) = world.view(link).copied() else {
            return;
        };
        let is_first = !known.reported;
        let holds = match known.raised {
            true => self.guards.holds_from_list,
            false => self.guards.successor_holds_from_list,
        };
        world.change_view(link, |view| {
            view.incarnation = Some(worker.incarnation);
            view.reported = true;
            if is_first {
                view.accepts_tasks = is_current;
                view.lease_left = match holds {
                    true => self.hold_max,
                    false => view.lease_left.min(LEASE),
                };
            }
        });
        for (task, run) in known.runs.into_iter().enumerate() {
            let is_saved = link.leader == 1 && world.named[task] == Some(link.worker);
            let saved_run = self.saved_run(world).filter(|_| is_first && is_saved);
            let run = run.or(saved_run);
            let unanswered =
                run.is_some_and(|run| run.unanswered && self.may_begin(&run, is_first));
            if worker.runs[task].is_some() || unanswered {
                let listed = Run {
                    unanswered,
                    ..run.unwrap_or_default()
                };
                world.change_view(link, |view| view.runs[task] = Some(listed));
            } else if run.is_some() {
                remove_run(world, link, task);
            }
            let may_last = worker.runs[task].is_some() && self.keeps_names(world, link);
            let is_over = !unanswered && (is_first || run.is_some());
            if is_over && !may_last && world.named[task] == Some(link.worker) {
                world.save_name(link.leader, task, None);
            }
        }
    }

    /// Whether a run with an unanswered start may begin although the worker has answered.
    fn may_begin(&self, run: &Run, is_first: bool) -> bool {
        match self.guards.waits_though_answered {
            true => run.since_copy <= self.late_order_max as i8,
            false => !is_first,
        }
    }

    /// The run that the earlier leader may have ordered from a worker whose name is saved.
    fn saved_run(&self, world: &World) -> Option<Run> {
        let claimed_for = world.claimed_for?;
        self.guards.waits_though_answered.then_some(Run {
            unanswered: true,
            stopped: true,
            since_copy: claimed_for as i8 - AUTHORITY as i8,
        })
    }

    /// Whether the worker's lease may last longer than a successor allows for.
    fn keeps_names(&self, world: &World, link: Link) -> bool {
        let lease_left = world.view(link).map_or(0, |view| view.lease_left);
        self.guards.keeps_names_for_hold && lease_left > LEASE
    }

    /// Gives up the runs of a silent worker that can last no longer.
    fn given_up(&self, world: &World, link: Link, view: &View) -> World {
        let silent_for = view.silent_for.unwrap_or_default();
        let may_last = |run: &Run| {
            let since_copy = match self.guards.waits_though_answered {
                true => run.since_copy.min(silent_for as i8),
                false => silent_for as i8,
            };
            run.unanswered && since_copy < self.unanswered_max() as i8
        };
        world.step(|w| {
            for (task, run) in view.runs.iter().enumerate() {
                if view.lease_left == 0 && run.as_ref().is_some_and(|run| !may_last(run)) {
                    remove_run(w, link, task);
                }
            }
        })
    }
}

/// A leader takes a run as ended.
fn remove_run(world: &mut World, link: Link, task: usize) {
    world.change_view(link, |view| view.runs[task] = None);
    if world.named[task] == Some(link.worker) {
        world.save_name(link.leader, task, None);
    }
}
