//! Checks of the settings of an instance of a cell.

use jackdawchute_settings::{CellSettings, Error, Problem};

fn yaml(peers: &str, more_listen_lines: &str) -> String {
    format!(
        "instance: entry-1
failure_domain: ala-1
listen:
  callers: 10.0.0.1:8161
  readiness: 10.0.0.1:8167
  peers: {peers}
  metrics: 10.0.0.1:9464
{more_listen_lines}platform:
  store: 10.0.0.9:8169
bounds:
  lease_max_ms: 10000
  task_stop_ms: 900
  shutdown_ms: 6000
  ended_retention_ms: 120000
"
    )
}

fn problems(text: &str) -> Vec<Problem> {
    match CellSettings::parse(text) {
        Err(Error::Refused(problems)) => problems.0,
        other => panic!("{other:?}"),
    }
}

#[test]
fn peers_connect_to_the_listen_address_by_default() {
    let settings = CellSettings::parse(&yaml("10.0.0.1:7720", "")).unwrap();

    assert_eq!(settings.listen.reached_by_peers(), settings.listen.peers);
}

#[test]
fn an_address_that_peers_cannot_connect_to_is_refused() {
    let refused = problems(&yaml("0.0.0.0:7720", ""));

    let fields: Vec<&str> = refused
        .iter()
        .map(|problem| problem.field.as_str())
        .collect();
    assert_eq!(fields, ["listen.peers"]);
}

#[test]
fn an_instance_that_listens_on_all_addresses_advertises_one_to_peers() {
    let advertised = "  advertised_peers: 10.0.0.1:7721\n";

    let settings = CellSettings::parse(&yaml("0.0.0.0:7720", advertised)).unwrap();

    let reached = settings.listen.reached_by_peers();
    assert_eq!(reached, "10.0.0.1:7721".parse().unwrap());
}

#[test]
fn tasks_far_from_their_data_take_half_as_long_again_by_default() {
    let settings = CellSettings::parse(&yaml("10.0.0.1:7720", "")).unwrap();

    assert_eq!(settings.bounds.remote_slowdown, 1.5);
}

#[test]
fn tasks_wait_for_near_places_only_if_the_settings_say_so() {
    let by_default = CellSettings::parse(&yaml("10.0.0.1:7720", "")).unwrap();
    let bounds = yaml("10.0.0.1:7720", "") + "  place_wait_max_ms: 1500\n";
    let allowed = CellSettings::parse(&bounds).unwrap();

    let waits = [by_default, allowed].map(|it| it.bounds.place_wait_max.as_millis());

    assert_eq!(waits, [0, 1_500]);
}

#[test]
fn tasks_that_would_be_faster_far_from_their_data_are_refused() {
    let bounds = yaml("10.0.0.1:7720", "") + "  remote_slowdown: 0.5\n";

    let refused = problems(&bounds);

    let fields: Vec<&str> = refused
        .iter()
        .map(|problem| problem.field.as_str())
        .collect();
    assert_eq!(fields, ["bounds.remote_slowdown"]);
}

#[test]
fn tasks_that_would_hardly_end_far_from_their_data_are_refused() {
    for factor in ["101", ".inf", ".nan"] {
        let bounds = yaml("10.0.0.1:7720", "") + &format!("  remote_slowdown: {factor}\n");

        let refused = problems(&bounds);

        assert_eq!(refused.len(), 1, "{factor}");
        assert_eq!(refused[0].field, "bounds.remote_slowdown");
    }
}

#[test]
fn the_system_chooses_the_source_of_connections_to_peers_by_default() {
    let settings = CellSettings::parse(&yaml("10.0.0.1:7720", "")).unwrap();

    assert_eq!(settings.listen.peers_from, None);
}

#[test]
fn connections_to_peers_come_from_the_configured_address() {
    let source = "  peers_from: 10.0.0.2\n";

    let settings = CellSettings::parse(&yaml("10.0.0.1:7720", source)).unwrap();

    let expected = "10.0.0.2".parse().unwrap();
    assert_eq!(settings.listen.peers_from, Some(expected));
}

#[test]
fn a_source_that_no_connection_can_have_is_refused() {
    for source in ["0.0.0.0", "224.0.0.1"] {
        let refused = problems(&yaml("10.0.0.1:7720", &format!("  peers_from: {source}\n")));

        let fields: Vec<&str> = refused
            .iter()
            .map(|problem| problem.field.as_str())
            .collect();
        assert_eq!(fields, ["listen.peers_from"], "{source}");
    }
}
