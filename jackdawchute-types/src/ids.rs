//! Type aliases for ids, names and versions.

use std::net::SocketAddr;

use smol_str::SmolStr;

/// The address at which its peers reach the instance whose advisor is meant.
pub type AdvisorId = SocketAddr;
/// The name of a class of work in the configuration, such as `counter` or `overnight`.
pub type ClassId = SmolStr;
/// The version of a fleet configuration; a higher one replaces a lower one.
pub type ConfigurationVersion = u64;
/// The epoch of a group; each new owner increments it by one.
pub type Epoch = u64;
/// The platform's name of a failure domain.
pub type FailureDomainId = SmolStr;
/// The name of a group of resources with one owner, such as `rack/r1` or
/// `service/repair-desk/ala-1`.
pub type GroupId = SmolStr;
/// The id of one start of an entry instance's process; never used again.
pub type IncarnationId = SmolStr;
/// The id of a job, unique in the cell.
pub type JobId = SmolStr;
/// The id of a member of the platform's list: an entry instance, worker or minion.
pub type MemberId = SmolStr;
/// The id of a minion, a back end of a service.
pub type MinionId = SmolStr;
/// The id of a rack of workers.
pub type RackId = SmolStr;
/// The idempotency key that a caller sets on a request or job.
pub type RequestKey = SmolStr;
/// The name of a service that minions serve.
pub type ServiceId = SmolStr;
/// The id of a task, in the form `JOB-INDEX`.
pub type TaskId = SmolStr;
/// The name of a team, to which quotas apply.
pub type TeamId = SmolStr;
/// The name of a tenant of a cell, whose callers share its keys, cap and share.
pub type TenantId = SmolStr;
/// The id of a worker.
pub type WorkerId = SmolStr;
/// The progress of a task as its worker last saved it; empty for none.
pub type Checkpoint = SmolStr;
/// The number that orders the controllers of a worker, which ignores orders below the highest it
/// has seen.
pub type FencingToken = u64;
/// A label that workers have and tasks may require.
pub type Label = SmolStr;
/// The number of a repetition of all steps of a job; 0 for a job that runs once.
pub type Occurrence = u32;
/// The name of a queue that jobs are submitted to.
pub type QueueId = SmolStr;
/// The number of a run of a task, ascending from 1.
pub type RunNumber = u64;
/// The index of a step in its job, counted from 0.
pub type StepIndex = u32;
/// The index of a task in its step, counted from 0.
pub type TaskIndex = u32;
/// The advisor's proof that a worker may run a step.
pub type Ticket = SmolStr;
