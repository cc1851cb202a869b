//! Caps and shares of tenants under floods, with the worlds of claims and ends that a test makes.

use jackdawchute_tenants::{
    backlog_ms, dominant_share, fair_level, share_band, CapUse, Claim, TenantBacklog,
    TenantPolicies, TenantPolicy,
};
use jackdawchute_types::Resources;
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 48;
const SIZE: usize = 60;
const CELL: Resources = Resources::new(100_000, 400_000, 0);

fn check() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(100)
}

fn cores(cores: u64) -> Resources {
    Resources::new(cores * 1_000, cores * 1_000, 0)
}

fn claim(weight: f64, demand_cores: u64) -> Claim {
    Claim {
        weight,
        demand: cores(demand_cores),
    }
}

fn policy(tenant: &str, weight: f64, cap_cores: u64) -> TenantPolicy {
    TenantPolicy {
        tenant: tenant.into(),
        weight,
        cap: Resources::new(cap_cores * 1_000, 0, 0),
    }
}

fn backlog(weight: f64, waiting_core_ms: f64, running_cores: f64) -> TenantBacklog {
    TenantBacklog {
        weight,
        waiting_core_ms,
        running_cores,
    }
}

/// A tenant of a random world.
#[derive(Debug)]
struct WorldTenant {
    weight: f64,
    cap: Resources,
    running: Vec<Resources>,
    size: Resources,
    waiting: u32,
}

impl WorldTenant {
    fn running(&self) -> Resources {
        let sizes = self.running.iter();
        sizes.fold(Resources::ZERO, |sum, size| sum.saturating_add(size))
    }
}

/// Returns a world of tenants with a weight, a cap, a size of tasks and waiting tasks each.
fn world(tenants: &[(u8, u8, u8, u8)]) -> Vec<WorldTenant> {
    let tenant = |&(weight, cap, size, waiting): &(u8, u8, u8, u8)| WorldTenant {
        weight: f64::from(weight % 20) + 1.0,
        cap: cores(u64::from(cap % 60)),
        running: Vec::new(),
        size: Resources::new(
            u64::from(size % 4 + 1) * 1_000,
            u64::from(size % 7) * 1_000,
            0,
        ),
        waiting: u32::from(waiting),
    };
    tenants.iter().map(tenant).collect()
}

/// Starts tasks one by one, in the order of bands, until nothing fits.
fn fill(world: &mut [WorldTenant]) {
    loop {
        let claims = claims(world);
        let level = fair_level(&CELL, &claims);
        let in_use = world.iter().fold(Resources::ZERO, |sum, tenant| {
            sum.saturating_add(&tenant.running())
        });
        let free = CELL.saturating_sub(&in_use);
        let may_start = |tenant: &&mut WorldTenant| {
            let cap_use = CapUse::new(tenant.cap, tenant.running());
            tenant.waiting > 0
                && tenant.size.fits_in(&free)
                && cap_use.tasks_allowed(&tenant.size) > 0
        };
        let band = |tenant: &&mut WorldTenant| {
            let before = dominant_share(&tenant.running(), &CELL);
            let after = dominant_share(&tenant.running().saturating_add(&tenant.size), &CELL);
            share_band(before, after, level * tenant.weight)
        };
        let Some(next) = world.iter_mut().filter(may_start).min_by_key(band) else {
            return;
        };
        next.running.push(next.size);
        next.waiting -= 1;
    }
}

/// Returns what each tenant can have running, its waiting tasks included.
fn claims(world: &[WorldTenant]) -> Vec<Claim> {
    let claim = |tenant: &WorldTenant| {
        let running = tenant.running();
        let allowed = CapUse::new(tenant.cap, running).tasks_allowed(&tenant.size);
        let waiting = tenant.size.saturating_mul(allowed.min(tenant.waiting));
        Claim {
            weight: tenant.weight,
            demand: running.saturating_add(&waiting),
        }
    };
    world.iter().map(claim).collect()
}

fn is_below_cap(tenant: &WorldTenant) -> bool {
    let fits = |running: u64, cap: u64| cap == 0 || running <= cap;
    let (running, cap) = (tenant.running(), tenant.cap);
    fits(running.processor_millicores, cap.processor_millicores)
        && fits(running.memory_mib, cap.memory_mib)
}

#[test]
fn whatever_starts_and_ends_no_tenant_passes_its_cap() {
    fn holds(tenants: Vec<(u8, u8, u8, u8)>, ends: Vec<(u8, u8)>) -> bool {
        let mut world = world(&tenants);

        fill(&mut world);
        let mut held = world.iter().all(is_below_cap);
        for (tenant, run) in ends {
            let at = usize::from(tenant) % world.len().max(1);
            if let Some(tenant) = world.get_mut(at).filter(|it| !it.running.is_empty()) {
                let run = usize::from(run) % tenant.running.len();
                tenant.running.remove(run);
            }
            fill(&mut world);
            held &= world.iter().all(is_below_cap);
        }

        held
    }

    check().quickcheck(holds as fn(Vec<(u8, u8, u8, u8)>, Vec<(u8, u8)>) -> bool);
}

/// The distance is one task of the tenant's own, and the first tasks of others whose share is below
/// a task.
#[test]
fn tenants_get_their_weighted_max_min_share_up_to_a_task() {
    fn holds(tenants: Vec<(u8, u8, u8, u8)>) -> bool {
        let mut world = world(&tenants);
        let claims = claims(&world);
        let level = fair_level(&CELL, &claims);
        let size_of = |tenant: &WorldTenant| dominant_share(&tenant.size, &CELL);
        let above_share: f64 = world
            .iter()
            .filter(|tenant| size_of(tenant) > level * tenant.weight)
            .map(size_of)
            .sum();

        fill(&mut world);

        world.iter().zip(&claims).all(|(tenant, claim)| {
            let owed = dominant_share(&claim.demand, &CELL).min(level * tenant.weight);
            let got = dominant_share(&tenant.running(), &CELL);
            got + size_of(tenant) + above_share + 1e-6 >= owed
        })
    }

    check().quickcheck(holds as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}

#[test]
fn a_flood_of_one_leaves_the_others_what_they_ask_for() {
    let quiet = [claim(1.0, 10), claim(2.0, 20)];
    let flooded = [claim(1.0, 10), claim(2.0, 20), claim(1.0, 5_000)];

    let (before, after) = (fair_level(&CELL, &quiet), fair_level(&CELL, &flooded));

    assert!(before.is_infinite());
    assert!((after - 0.7).abs() < 1e-6, "{after}");
}

#[test]
fn three_floods_divide_by_weight_what_the_others_leave() {
    let claims = [
        claim(1.0, 900),
        claim(2.0, 900),
        claim(3.0, 900),
        claim(4.0, 40),
    ];

    let level = fair_level(&CELL, &claims);

    assert!((level - 0.1).abs() < 1e-6, "{level}");
}

#[test]
fn the_share_of_unlike_resources_is_that_of_the_scarcest() {
    let of_memory = Claim {
        weight: 1.0,
        demand: Resources::new(10_000, 400_000, 0),
    };
    let of_cores = Claim {
        weight: 1.0,
        demand: Resources::new(100_000, 40_000, 0),
    };

    let level = fair_level(&CELL, &[of_memory, of_cores]);

    assert!((level - 1.0 / 1.1).abs() < 1e-6, "{level}");
}

#[test]
fn a_gang_that_waits_for_the_cap_is_not_passed_by_small_tasks() {
    let mut cap_use = CapUse::new(cores(40), cores(30));

    cap_use.hold_for_gang(&cores(20));

    assert_eq!(cap_use.tasks_allowed(&cores(1)), 0);
    assert_eq!(
        CapUse::new(cores(40), cores(20)).tasks_allowed(&cores(20)),
        1
    );
}

#[test]
fn a_lowered_cap_lets_nothing_start_until_the_tenant_is_below_it() {
    let before = TenantPolicies::new(vec![policy("a", 1.0, 20)], None, |_| true);
    let after = TenantPolicies::new(vec![policy("a", 1.0, 8)], Some(&before), |_| true);

    let above = CapUse::new(after.cap_of(&"a".into()), cores(16));
    let below = CapUse::new(after.cap_of(&"a".into()), cores(6));

    assert_eq!(above.tasks_allowed(&cores(1)), 0);
    assert_eq!(below.tasks_allowed(&cores(1)), 2);
}

#[test]
fn a_tenant_that_is_named_no_more_keeps_its_cap_while_it_has_work() {
    let before = TenantPolicies::new(
        vec![policy("a", 3.0, 20), policy("b", 1.0, 8)],
        None,
        |_| true,
    );

    let with_work = TenantPolicies::new(vec![policy("b", 1.0, 8)], Some(&before), |_| true);
    let without = TenantPolicies::new(vec![policy("b", 1.0, 8)], Some(&before), |_| false);

    assert_eq!(with_work.cap_of(&"a".into()).processor_millicores, 20_000);
    assert_eq!(without.cap_of(&"a".into()).processor_millicores, 8_000);
}

#[test]
fn a_job_does_not_wait_for_the_backlog_of_a_tenant_that_floods() {
    let own = backlog(1.0, 0.0, 0.0);
    let flood = backlog(1.0, 1e7, 60.0);

    let of_other = backlog_ms(88.0, &own, f64::INFINITY, 2_000.0, &[flood]);
    let of_flooder = backlog_ms(88.0, &flood, f64::INFINITY, 2_000.0, &[own]);

    assert!(of_other < 50.0, "{of_other}");
    assert!(of_flooder > 100_000.0, "{of_flooder}");
}

#[test]
fn a_flood_takes_longer_where_others_use_their_shares_or_the_cap_is_low() {
    let flood = backlog(1.0, 1e6, 0.0);
    let busy: Vec<TenantBacklog> = (0..9).map(|_| backlog(1.0, 0.0, 8.0)).collect();

    let alone = backlog_ms(80.0, &flood, f64::INFINITY, 0.0, &[]);
    let beside = backlog_ms(80.0, &flood, f64::INFINITY, 0.0, &busy);
    let capped = backlog_ms(80.0, &flood, 10.0, 0.0, &[]);

    assert_eq!(alone, 12_500.0);
    assert_eq!(beside, 125_000.0);
    assert_eq!(capped, 100_000.0);
}
