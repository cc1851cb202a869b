//! The names of groups and jobs.

use jackdawchute_types::{GroupId, JobId, JobSpec, RackId};
use smol_str::format_smolstr;
use twox_hash::XxHash64;

/// Fixed, since the names are journaled.
const HASH_SEED: u64 = 0;

/// The prefix of the groups that jobs are journaled in.
pub const HOME_PREFIX: &str = "jobs/";
/// The prefix of the groups of workers.
pub const RACK_PREFIX: &str = "rack/";

/// The group whose owner journals and queues a job.
///
/// ```
/// let group = jackdawchute_jobs::home_group(&"j7".into(), 16);
/// assert!(group.starts_with("jobs/"));
/// assert_eq!(group, jackdawchute_jobs::home_group(&"j7".into(), 16));
/// ```
pub fn home_group(job: &JobId, partitions: u32) -> GroupId {
    let hash = XxHash64::oneshot(HASH_SEED, job.as_bytes());
    format_smolstr!("{HOME_PREFIX}{}", hash % u64::from(partitions.max(1)))
}

/// The group whose owner decides for the workers of a rack.
///
/// ```
/// assert_eq!(jackdawchute_jobs::rack_group(&"r1".into()), "rack/r1");
/// ```
pub fn rack_group(rack: &RackId) -> GroupId {
    format_smolstr!("{RACK_PREFIX}{rack}")
}

/// The id of a submitted job: stable for a team's idempotency key, random without one.
///
/// ```
/// use jackdawchute_types::{JobKind, JobSpec, Resources};
///
/// let spec = JobSpec {
///     kind: JobKind::Batch,
///     class: "overnight".into(),
///     team: "ovens".into(),
///     tasks: 1,
///     resources: Resources::new(1_000, 512, 0),
///     run_time: Default::default(),
///     deadline: Default::default(),
///     idempotency_key: Some("dawn-1".into()),
///     command: "".into(),
/// };
/// assert_eq!(jackdawchute_jobs::job_id(&spec), jackdawchute_jobs::job_id(&spec));
/// ```
pub fn job_id(spec: &JobSpec) -> JobId {
    match &spec.idempotency_key {
        None => format_smolstr!("r{:032x}", rand::random::<u128>()),
        Some(key) => {
            let team_bytes = u64::try_from(spec.team.len()).unwrap_or(u64::MAX);
            let text = [
                &team_bytes.to_le_bytes()[..],
                spec.team.as_bytes(),
                key.as_bytes(),
            ]
            .concat();
            let (low, high) = (XxHash64::oneshot(0, &text), XxHash64::oneshot(1, &text));
            format_smolstr!("k{high:016x}{low:016x}")
        }
    }
}
