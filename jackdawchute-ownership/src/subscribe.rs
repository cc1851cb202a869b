//! Subscriptions: each subscriber first gets the current value.

use std::sync::Arc;

use xtra::prelude::*;

use crate::{
    messages::{LeaseExpiry, SubscribeLeaseExpiry},
    GroupEvent, OwnershipTask, SubscribeDirectory, SubscribeGroups, SubscribeLeaseState,
};

impl Handler<SubscribeGroups> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, subscription: SubscribeGroups, _context: &mut Context<Self>) {
        let channel = subscription.subscriber;
        let prefix = subscription.prefix;
        let served = self
            .state
            .served()
            .filter(|(group, _)| group.starts_with(prefix.as_str()));
        for (group, owned) in served {
            let event = GroupEvent::Claimed {
                group: group.clone(),
                epoch: owned.epoch,
                entries: Arc::new(self.state.entries(group)),
                fenced_owner: owned.fenced_owner.clone(),
            };
            let _ = channel.send(event).detach().await;
        }
        self.group_subscribers.push((prefix, channel));
    }
}

impl Handler<SubscribeDirectory> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, subscription: SubscribeDirectory, _context: &mut Context<Self>) {
        let channel = subscription.subscriber;
        let _ = channel.send(Arc::clone(&self.directory)).detach().await;
        self.directory_subscribers.add(channel);
    }
}

impl Handler<SubscribeLeaseState> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, subscription: SubscribeLeaseState, _context: &mut Context<Self>) {
        let channel = subscription.subscriber;
        let _ = channel.send(self.lease_state).detach().await;
        self.lease_state_subscribers.add(channel);
    }
}

impl Handler<SubscribeLeaseExpiry> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, subscription: SubscribeLeaseExpiry, _context: &mut Context<Self>) {
        let channel = subscription.subscriber;
        if let Some(expires_at) = self.lease_expiry {
            let _ = channel.send(LeaseExpiry(expires_at)).detach().await;
        }
        self.lease_expiry_subscribers.add(channel);
    }
}
