//! The settings file of an entry instance.

use std::{net::SocketAddr, path::Path};

use jackdawchute_types::FailureDomainId;

use super::Timing;

/// What differs between the settings of the entry instances.
#[derive(Clone, Copy, Debug)]
pub struct SettingsValues<'a> {
    /// The instance's name.
    pub instance: &'a str,
    /// Its failure domain.
    pub failure_domain: &'a FailureDomainId,
    /// Where its peers reach it.
    pub advertised_peer_address: SocketAddr,
    /// Where it reaches the table.
    pub table: SocketAddr,
    /// Where it reaches the membership list.
    pub membership: SocketAddr,
    /// The file with the operators' token.
    pub operator_token_file: &'a Path,
    /// The file with the peers' token.
    pub peer_token_file: &'a Path,
    /// The periods.
    pub timing: Timing,
}

/// Writes the settings file of an entry instance.
pub fn settings_text(values: &SettingsValues<'_>) -> String {
    let SettingsValues {
        instance,
        failure_domain,
        advertised_peer_address,
        table,
        membership,
        timing,
        ..
    } = values;
    let operator_token_file = values.operator_token_file.display();
    let peer_token_file = values.peer_token_file.display();
    let renewal_interval_ms = timing.renewal_interval.as_millis();
    let lease_ms = timing.lease.as_millis();
    let takeover_ms = timing.takeover.as_millis();
    let membership_poll_ms = timing.membership_poll.as_millis();
    let configuration_poll_ms = timing.configuration_poll.as_millis();
    let configuration_confirm_ms = timing.configuration_confirm.as_millis();
    format!(
        "instance: {instance}
failure_domain: {failure_domain}
listen:
  callers: 127.0.0.1:0
  operators: 127.0.0.1:0
  peers: 127.0.0.1:0
advertised_peer_address: {advertised_peer_address}
platform:
  table: {table}
  membership: {membership}
operator_token_file: {operator_token_file}
peer_token_file: {peer_token_file}
timing:
  renewal_interval_ms: {renewal_interval_ms}
  lease_ms: {lease_ms}
  takeover_ms: {takeover_ms}
  membership_poll_ms: {membership_poll_ms}
  configuration_poll_ms: {configuration_poll_ms}
  configuration_confirm_ms: {configuration_confirm_ms}
"
    )
}
