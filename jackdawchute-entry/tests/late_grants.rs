//! Grants that arrive too late to be used: nothing was sent with them.

mod fixtures;

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use async_trait::async_trait;
use fixtures::{configured_table, get, instance, member, wait_until_ready};
use jackdawchute_ownership::rows::{incarnation_key, GroupRow, IncarnationRow, GROUP_PREFIX};
use jackdawchute_peer::{Options, PeerService, RunningServer, Services};
use jackdawchute_ports::{Commit, MemoryTable, Write};
use jackdawchute_requests::{Call, Grant, Reply};
use jackdawchute_trial::{spawn_minion, MemoryMembership, MinionOptions};
use jackdawchute_types::Refusal;
use reqwest::StatusCode;
use serde_json::Value;

const OWNER: &str = "owner";
const GROUP: &str = "service/repair-desk/ala-1";
const EPOCH: u64 = 1;
/// More than the attempts that a request may make after failures.
const LATE_GRANTS: u64 = 5;

/// The owner of the group in another instance, whose first grants arrive late.
struct LateOwner {
    minion: SocketAddr,
    grants: AtomicU64,
}

impl LateOwner {
    fn grant(&self) -> Grant {
        let id = self.grants.fetch_add(1, Ordering::Relaxed);
        let transit_max = match id < LATE_GRANTS {
            true => Duration::ZERO,
            false => Duration::from_secs(60),
        };
        Grant {
            id,
            group: GROUP.into(),
            epoch: EPOCH,
            minion: "m1".into(),
            address: self.minion,
            send_within: Duration::from_secs(1),
            life: Duration::from_secs(5),
            waited: Duration::ZERO,
            transit_max,
            ended_after: Duration::from_secs(10),
        }
    }
}

#[async_trait]
impl PeerService for LateOwner {
    async fn serve(&self, call: Value) -> Option<Value> {
        let reply = match serde_json::from_value(call).ok()? {
            Call::Acquire(_) => Reply::Granted(self.grant()),
            Call::Complete(_) => Reply::Completed,
            Call::Holdings { .. } => Reply::Holdings { grants: Vec::new() },
        };
        serde_json::to_value(Ok::<Reply, Refusal>(reply)).ok()
    }
}

/// Starts the listener of the owner.
async fn late_owner(minion: SocketAddr) -> (SocketAddr, RunningServer) {
    let options = Options {
        address: ([127, 0, 0, 1], 0).into(),
        token: Default::default(),
        connections_max: 8,
    };
    let server = jackdawchute_peer::bind(options).await.unwrap();
    let address = server.address;
    let owner: Arc<dyn PeerService> = Arc::new(LateOwner {
        minion,
        grants: AtomicU64::new(0),
    });
    (address, server.start(Services::from([("requests", owner)])))
}

/// Adds the rows of an incarnation at `peer_address` that owns the group.
fn add_owner(table: &MemoryTable, peer_address: SocketAddr) {
    let incarnation = IncarnationRow {
        counter: 1,
        head: 0,
        write_id: "owner/1".into(),
        configuration_version: 1,
        peer_address,
        failure_domain: "ala-1".into(),
        seen_version: 0,
        fenced_by: None,
        leaving: false,
    };
    let group = GroupRow {
        owner: Some(OWNER.into()),
        epoch: EPOCH,
        inherited: Vec::new(),
    };
    let write = |key: String, value: String| Write {
        key: key.into(),
        value: Some(value),
    };
    table.apply(Commit {
        writes: vec![
            write(
                incarnation_key(OWNER).to_string(),
                serde_json::to_string(&incarnation).unwrap(),
            ),
            write(
                format!("{GROUP_PREFIX}{GROUP}"),
                serde_json::to_string(&group).unwrap(),
            ),
        ],
        ..Commit::default()
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn late_grants_cost_a_request_no_retry_while_its_deadline_lasts() {
    let minion = spawn_minion(MinionOptions::new("m1", 8)).await.unwrap();
    let (address, _owner) = late_owner(minion.address).await;
    let table = configured_table().await;
    add_owner(&table, address);
    let membership = Arc::new(MemoryMembership::default());
    membership.set(vec![member(minion.address)]);
    let instance = instance("entry-1", table, membership).await;
    wait_until_ready(instance.addresses.operators).await;

    let quote = get(instance.addresses.callers, "/repair-desk/quotes").await;

    assert_eq!(quote, StatusCode::OK);
}
