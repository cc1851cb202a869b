//! The membership list, read with the platform client [`HttpMembership`].

use std::time::{Duration, Instant};

use jackdawchute_ports::{
    HttpMembership, Member, MemberRole, MemberState, MembershipList, MembershipSource,
};
use jackdawchute_standins::membership::{spawn_membership, LaggingList};

fn member(id: &str, state: MemberState) -> Member {
    Member {
        id: id.into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "ala-1".into(),
        state,
        role: MemberRole::Minion {
            service: "repair-desk".into(),
            slots: 8,
            connections: 64,
        },
    }
}

fn ids(list: &MembershipList) -> Vec<&str> {
    list.members
        .iter()
        .map(|member| member.id.as_str())
        .collect()
}

#[test]
fn changes_become_visible_in_order_and_only_after_the_lag() {
    let start = Instant::now();
    let lag = Duration::from_secs(3);
    let mut list = LaggingList::new(lag);
    list.set(start, vec![member("m1", MemberState::Live)]);
    list.set(
        start + Duration::from_secs(1),
        vec![member("m1", MemberState::Leaving)],
    );

    let early = list.changed_since(start + Duration::from_secs(2), 0);
    let first = list.changed_since(start + lag, 0).unwrap();
    let second = list
        .changed_since(start + Duration::from_secs(4), 1)
        .unwrap();

    assert_eq!(early, None);
    assert_eq!(first.members[0].state, MemberState::Live);
    assert_eq!(second.members[0].state, MemberState::Leaving);
    assert_eq!((first.version, second.version), (1, 2));
}

#[tokio::test]
async fn the_list_is_sent_only_if_newer_than_the_known_version() {
    let membership = spawn_membership(([127, 0, 0, 1], 0).into(), Duration::ZERO)
        .await
        .unwrap();
    let client = HttpMembership::new(membership.address);
    let members = vec![
        member("m2", MemberState::Live),
        member("m1", MemberState::Live),
    ];

    membership.set(members).await.unwrap();

    let list = client.changed_since(0).await.unwrap().unwrap();
    assert_eq!(ids(&list), ["m1", "m2"]);
    assert_eq!(client.changed_since(list.version).await, Ok(None));
}
