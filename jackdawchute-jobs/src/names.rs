//! The names of home groups and rack groups, and the ids of jobs.

use jackdawchute_types::{GroupId, JobId, JobSpec, RackId};
use smol_str::format_smolstr;
use twox_hash::XxHash64;

/// The seed of the hash that maps a job to its home group; fixed, since group names are journaled.
const HASH_SEED: u64 = 0;

/// The prefix of home groups, in which jobs are journaled.
pub const HOME_PREFIX: &str = "jobs/";
/// The prefix of the groups of racks.
pub const RACK_PREFIX: &str = "rack/";

/// Returns the home group of a job, whose owner journals and queues it.
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

/// Returns the group of a rack, whose owner decides which tasks the rack's workers run.
///
/// ```
/// assert_eq!(jackdawchute_jobs::rack_group(&"r1".into()), "rack/r1");
/// ```
pub fn rack_group(rack: &RackId) -> GroupId {
    format_smolstr!("{RACK_PREFIX}{rack}")
}

/// Returns the id of a submitted job: the same for each submission under one idempotency key of a
/// team, random without a key.
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
            let hashed = [
                &team_bytes.to_le_bytes()[..],
                spec.team.as_bytes(),
                key.as_bytes(),
            ]
            .concat();
            let (low, high) = (XxHash64::oneshot(0, &hashed), XxHash64::oneshot(1, &hashed));
            format_smolstr!("k{high:016x}{low:016x}")
        }
    }
}
