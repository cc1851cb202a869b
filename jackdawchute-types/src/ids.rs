//! Type aliases for identifiers.

use smol_str::SmolStr;

/// A class of work, such as `counter` or `overnight`, as the configuration names it.
pub type ClassId = SmolStr;
/// A version of the fleet configuration; a higher one replaces a lower one.
pub type ConfigurationVersion = u64;
/// The ownership epoch of a group; each new owner adds one.
pub type Epoch = u64;
/// A failure domain, as the platform names it.
pub type FailureDomainId = SmolStr;
/// A group of resources with one owner, such as `rack/r1` or `service/repair-desk/ala-1`.
pub type GroupId = SmolStr;
/// One start of an entry instance; never used twice.
pub type IncarnationId = SmolStr;
/// A job, unique in the cell.
pub type JobId = SmolStr;
/// A member in the platform's list: an entry instance, worker or minion.
pub type MemberId = SmolStr;
/// A minion (back end of a service).
pub type MinionId = SmolStr;
/// A rack of workers.
pub type RackId = SmolStr;
/// The idempotency key that a caller gave to a request.
pub type RequestKey = SmolStr;
/// A service that minions answer for.
pub type ServiceId = SmolStr;
/// One task of a job: `JOB-INDEX`.
pub type TaskId = SmolStr;
/// A team with a quota.
pub type TeamId = SmolStr;
/// A worker.
pub type WorkerId = SmolStr;
/// What a worker saved of a task's progress; empty for none.
pub type Checkpoint = SmolStr;
/// Orders a worker's controllers; a worker ignores orders below the highest it has seen.
pub type FencingToken = u64;
/// A label that workers carry and tasks may require.
pub type Label = SmolStr;
/// One run of a job's steps; 0 for a job that runs once.
pub type Occurrence = u32;
/// A queue that jobs are submitted to.
pub type QueueId = SmolStr;
/// Numbers the starts of a task, ascending from 1.
pub type RunNumber = u64;
/// A step of a job, counted from 0.
pub type StepIndex = u32;
/// A task within its step, counted from 0.
pub type TaskIndex = u32;
/// The proof that a worker may run a step.
pub type Ticket = SmolStr;
