//! Derives the settings of each slice from the configuration.

use std::{collections::BTreeSet, sync::Arc};

use jackdawchute_configuration::Configuration;
use jackdawchute_jobs as jobs;
use jackdawchute_ports::{MemberRole, MembershipList};
use jackdawchute_requests as requests;
use jackdawchute_types::{FailureDomainId, GroupId};
use smol_str::format_smolstr;

/// Returns the settings of the requests slice.
pub(crate) fn requests_settings(configuration: &Configuration) -> requests::Settings {
    let defaults = &configuration.defaults;
    let count = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
    let mut settings = requests::Settings {
        limits: configuration.limits(),
        ..Default::default()
    };
    settings.grants.life = defaults.grant_life;
    settings.grants.send_within = defaults.grant_send_within;
    settings.retention.key_time = defaults.key_retention;
    settings.retention.answer_time = defaults.answer_retention;
    settings.retention.answers_max = count(defaults.answer_count_max);
    settings.retention.body_max_bytes = count(defaults.answer_bytes_max);
    settings
}

/// Returns the settings of the jobs slice for the workers of `failure_domain`.
pub(crate) fn jobs_settings(
    configuration: &Configuration,
    failure_domain: &FailureDomainId,
) -> jobs::Settings {
    let worker = configuration.worker_configuration(failure_domain);
    jobs::Settings {
        limits: configuration.limits(),
        partitions: configuration.job_partitions,
        lease: worker.task_lease,
        retry_budget_percent: configuration.defaults.retry_budget_percent,
        quarantine_max_percent: worker.quarantine_share_percent,
        ..Default::default()
    }
}

/// Returns the groups that should have an owner: one for each job partition, rack, service in a
/// failure domain, and the key groups of each service.
pub(crate) fn desired_groups(
    configuration: &Configuration,
    members: &MembershipList,
) -> Arc<BTreeSet<GroupId>> {
    let job_groups =
        (0..configuration.job_partitions).map(|number| format_smolstr!("jobs/{number}"));
    let members = members
        .members
        .iter()
        .filter_map(|member| match &member.role {
            MemberRole::Entry => None,
            MemberRole::Worker { rack, .. } => Some(jobs::rack_group(rack)),
            MemberRole::Minion { service, .. } => {
                Some(requests::service_group(service, &member.failure_domain))
            }
        });
    let key_groups = configuration.services.iter().flat_map(requests::key_groups);
    Arc::new(job_groups.chain(members).chain(key_groups).collect())
}
