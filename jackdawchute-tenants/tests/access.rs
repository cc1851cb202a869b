//! Whose a call is, by the key that it presents.

use jackdawchute_tenants::{access, Access, ApiKey, Caller, Tenant, TenantPolicy};
use jackdawchute_types::Resources;

/// Returns a tenant with these keys.
fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        policy: TenantPolicy {
            tenant: name.into(),
            weight: 1.0,
            cap: Resources::ZERO,
        },
        keys: keys.iter().copied().map(ApiKey::new).collect(),
    }
}

#[test]
fn each_key_of_a_tenant_names_it() {
    let tenants = [
        tenant("bakery", &["k-1", "k-2"]),
        tenant("hospital", &["k-3"]),
    ];

    let named =
        ["k-1", "k-2", "k-3"].map(|key| match access(false, Some(&tenants), 1, Some(key)) {
            Access::Granted(caller) => caller.tenant,
            Access::Denied => None,
        });

    assert_eq!(
        named,
        ["bakery", "bakery", "hospital"].map(|name| Some(name.into()))
    );
}

#[test]
fn an_unknown_key_and_a_missing_one_are_denied() {
    let tenants = [tenant("bakery", &["k-1"])];

    let denied = [Some("k"), Some("k-11"), Some("k-2"), Some("K-1"), None]
        .map(|key| access(false, Some(&tenants), 1, key));

    assert!(denied.iter().all(|access| *access == Access::Denied));
}

#[test]
fn a_public_queue_asks_for_no_key_and_its_jobs_have_no_owner() {
    let tenants = [tenant("bakery", &["k-1"])];

    let granted =
        [None, Some("k-1"), Some("other")].map(|key| access(true, Some(&tenants), 1, key));

    for access in granted {
        let Access::Granted(caller) = access else {
            panic!("a public queue denied a call");
        };
        assert_eq!(caller.owner(), None);
    }
}

/// Its jobs of before, when the queue was not public, stay known to it.
#[test]
fn a_key_names_its_tenant_at_a_public_queue_too() {
    let tenants = [tenant("bakery", &["k-1"])];

    let access = access(true, Some(&tenants), 1, Some("k-1"));

    let Access::Granted(caller) = access else {
        panic!("a public queue denied a call");
    };
    assert!(caller.may_see(Some(&"bakery".into()), true));
}

#[test]
fn a_tenant_sees_its_own_jobs_alone() {
    let bakery = Caller {
        tenant: Some("bakery".into()),
        ..Caller::default()
    };

    let seen = [Some("bakery".into()), Some("hospital".into()), None]
        .map(|owner| bakery.may_see(owner.as_ref(), true));

    assert_eq!(seen, [true, false, true]);
}

#[test]
fn a_caller_without_a_key_sees_no_job_of_a_tenant_while_there_are_any() {
    let caller = Caller::default();

    assert!(!caller.may_see(Some(&"bakery".into()), true));
    assert!(caller.may_see(Some(&"bakery".into()), false));
}

#[test]
fn the_text_of_a_key_is_not_printed() {
    let tenant = tenant("bakery", &["a-secret"]);

    let printed = format!("{tenant:?}");

    assert!(!printed.contains("a-secret"), "{printed}");
}
