//! Speeds that are learned from run times, and the distribution of these.

use std::time::{Duration, Instant};

use jackdawchute_speeds::{FleetSpeeds, Pace, RunTimes, WorkerSpeed};

/// A sequence of numbers that look random, the same in each run.
struct Noise(u64);

impl Noise {
    /// Returns the next number between 0 and 1.
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1_u64 << 31) as f64
    }

    /// Returns a factor around 1 with about this standard deviation of its logarithm.
    fn factor(&mut self, deviation: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.next()).sum();
        ((sum - 6.0) * deviation).exp()
    }
}

/// A fleet whose workers take these times as long, and the noise of its tasks.
struct Fleet {
    slowness: Vec<f64>,
    workers: Vec<WorkerSpeed>,
    fleet: FleetSpeeds,
    queue: Pace,
    noise: Noise,
    now: Instant,
}

fn fleet(slowness: Vec<f64>) -> Fleet {
    Fleet {
        workers: vec![WorkerSpeed::default(); slowness.len()],
        slowness,
        fleet: FleetSpeeds::default(),
        queue: Pace::default(),
        noise: Noise(7),
        now: Instant::now(),
    }
}

/// Every third of these workers is slow, as many as are wanted.
fn unlike(workers: usize) -> Vec<f64> {
    (0..workers)
        .map(|worker| if worker % 3 == 2 { 1.7 } else { 0.7 })
        .collect()
}

impl Fleet {
    /// Runs jobs of `tasks` tasks on successive workers, each off by up to `job_deviation`.
    fn run_jobs(&mut self, jobs: usize, tasks: usize, job_deviation: f64) {
        let mut next = 0;
        for _ in 0..jobs {
            let mut job = Pace::default();
            let of_job = self.noise.factor(job_deviation);
            for _ in 0..tasks {
                let tail = if self.noise.next() < 0.03 { 7.0 } else { 1.0 };
                let at = next % self.workers.len();
                let ratio = of_job * self.slowness[at] * self.noise.factor(0.3) * tail;
                let worker = &mut self.workers[at];
                let refresh =
                    self.fleet
                        .observe(&mut self.queue, &mut job, worker, ratio, self.now);
                if refresh {
                    self.fleet.refresh(&self.workers, self.now);
                }
                next += 1;
            }
        }
    }

    fn learned(&self, worker: usize) -> f64 {
        self.fleet.slowness(&self.workers[worker], self.now)
    }

    fn learned_all(&self) -> Vec<f64> {
        (0..self.workers.len())
            .map(|worker| self.learned(worker))
            .collect()
    }
}

#[test]
fn slow_workers_are_told_from_fast_ones_although_whole_jobs_are_declared_wrong() {
    let mut fleet = fleet(unlike(60));

    fleet.run_jobs(40, 20, 0.9);

    let learned = fleet.learned_all();
    let slow = learned.iter().skip(2).step_by(3);
    let fast = learned
        .iter()
        .enumerate()
        .filter(|(worker, _)| worker % 3 != 2);
    let least_slow = slow.fold(f64::MAX, |least, it| least.min(*it));
    let least_fast = fast.fold(0.0, |most: f64, (_, it)| most.max(*it));
    assert!(least_slow > 1.2 * least_fast, "{least_slow} {least_fast}");
}

#[test]
fn a_slow_worker_is_found_from_six_tasks_of_each_worker() {
    let mut slowness = vec![1.0; 30];
    slowness[4] = 3.0;
    let mut fleet = fleet(slowness);

    fleet.run_jobs(9, 20, 0.5);
    fleet.fleet.refresh(&fleet.workers, fleet.now);

    let mut others = fleet.learned_all();
    let slow = others.remove(4);
    let slowest_other = others.into_iter().fold(0.0, f64::max);
    assert!(
        slow > 1.4 && slow > 1.15 * slowest_other,
        "{slow} {slowest_other}"
    );
}

#[test]
fn equal_workers_count_as_equal_although_their_tasks_vary() {
    let mut fleet = fleet(vec![1.0; 60]);

    fleet.run_jobs(60, 20, 0.9);

    let learned = fleet.learned_all();
    assert!(
        learned.iter().all(|it| (0.9..1.1).contains(it)),
        "{learned:?}"
    );
}

#[test]
fn a_few_equal_workers_always_count_as_equal() {
    for (workers, seed) in [3, 6, 10]
        .into_iter()
        .flat_map(|it| (1..=20).map(move |seed| (it, seed)))
    {
        let mut fleet = fleet(vec![1.0; workers]);
        fleet.noise = Noise(seed);

        for _ in 0..20 {
            fleet.run_jobs(4, 10, 0.9);
            fleet.now += Duration::from_secs(5);

            assert_eq!(fleet.fleet.spread(), 0.0, "{workers} workers, seed {seed}");
        }
    }
}

#[test]
fn a_worker_without_work_is_taken_for_a_mean_one_after_some_minutes() {
    let mut fleet = fleet(unlike(60));
    fleet.run_jobs(40, 20, 0.5);
    let before = fleet.learned(2);

    fleet.now += Duration::from_secs(240);

    assert!(before > 1.4, "{before}");
    assert!((fleet.learned(2) - 1.0).abs() < 0.1, "{}", fleet.learned(2));
}

#[test]
fn the_tail_of_a_queue_is_measured_beside_its_mean() {
    let second = Duration::from_secs(1);
    let mut run_times = RunTimes::default();
    for task in 0..400 {
        let measured = if task % 5 == 0 { second * 7 } else { second };
        run_times.record(&"checks".into(), second, measured);
    }

    let estimate = run_times.estimate(&"checks".into(), second);

    let expected_ms = estimate.expected.as_millis();
    let tail_ms = estimate.tail.as_millis();
    assert!((1_800..2_400).contains(&expected_ms), "{expected_ms}");
    assert!((6_800..7_200).contains(&tail_ms), "{tail_ms}");
}

#[test]
fn the_tail_of_a_wide_step_is_what_its_last_task_takes() {
    let second = Duration::from_secs(1);
    let mut run_times = RunTimes::default();
    for task in 0..200 {
        let measured = if task % 30 == 0 { second * 7 } else { second };
        run_times.record(&"checks".into(), second, measured);
    }

    let tail_of = |tasks| {
        let estimate = run_times.estimate_of_step(&"checks".into(), second, tasks);
        estimate.tail.as_secs()
    };

    assert_eq!((tail_of(1), tail_of(20)), (1, 7));
}

#[test]
fn a_queue_without_measurements_takes_as_long_as_declared_and_has_an_assumed_tail() {
    let second = Duration::from_secs(1);

    let estimate = RunTimes::default().estimate(&"checks".into(), second);

    assert_eq!((estimate.expected, estimate.tail), (second, second * 2));
    assert_eq!(
        RunTimes::default().quantile(&"checks".into(), second, 0.5),
        None
    );
}
