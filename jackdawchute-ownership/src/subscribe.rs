//! Subscriptions: each subscriber first gets what holds now.

use std::sync::Arc;

use xtra::prelude::*;

use crate::{
    messages::{LeaseUntil, SubscribeLease},
    GroupEvent, OwnershipTask, SubscribeDirectory, SubscribeGroups, SubscribeStanding,
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
            let event = GroupEvent::Adopted {
                group: group.clone(),
                epoch: owned.epoch,
                entries: Arc::new(self.state.entries(group)),
                fenced: owned.fenced.clone(),
            };
            let _ = channel.send(event).detach().await;
        }
        self.groups.push((prefix, channel));
    }
}

impl Handler<SubscribeDirectory> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, subscription: SubscribeDirectory, _context: &mut Context<Self>) {
        let channel = subscription.subscriber;
        let _ = channel.send(Arc::clone(&self.directory)).detach().await;
        self.directories.add(channel);
    }
}

impl Handler<SubscribeStanding> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, subscription: SubscribeStanding, _context: &mut Context<Self>) {
        let channel = subscription.subscriber;
        let _ = channel.send(self.standing).detach().await;
        self.standings.add(channel);
    }
}

impl Handler<SubscribeLease> for OwnershipTask {
    type Return = ();

    async fn handle(&mut self, subscription: SubscribeLease, _context: &mut Context<Self>) {
        let channel = subscription.subscriber;
        if let Some(until) = self.lease {
            let _ = channel.send(LeaseUntil(until)).detach().await;
        }
        self.leases.add(channel);
    }
}
