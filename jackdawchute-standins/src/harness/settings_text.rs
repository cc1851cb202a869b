//! The settings file of an entry instance.

use std::{net::SocketAddr, path::Path};

use jackdawchute_types::FailureDomainId;

use super::Timing;

/// The settings that differ between the entry instances of a cell or between cells.
#[derive(Clone, Copy, Debug)]
pub struct SettingsValues<'a> {
    /// The name of the instance.
    pub instance: &'a str,
    /// The failure domain of the instance.
    pub failure_domain: &'a FailureDomainId,
    /// The address at which peers reach the instance.
    pub advertised_peer_address: SocketAddr,
    /// The address of the table.
    pub table: SocketAddr,
    /// The address of the membership list.
    pub membership: SocketAddr,
    /// The path of the file with the operators' token.
    pub operator_token_file: &'a Path,
    /// The path of the file with the peers' token.
    pub peer_token_file: &'a Path,
    /// The timing settings.
    pub timing: Timing,
}

/// Returns the text of an entry instance's settings file.
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
