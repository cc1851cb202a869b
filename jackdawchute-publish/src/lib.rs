//! Subscriber lists for messages between tasks.
//!
//! A publishing task has one list for each message type and sends a copy to each subscriber.
//! Subscribers that have ended are removed from the list.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

use xtra::{prelude::MessageChannel, refcount::Weak};

/// The tasks that are subscribed to messages of type `M`.
#[derive(Debug)]
pub struct Subscribers<M> {
    channels: Vec<MessageChannel<M, (), Weak>>,
}

impl<M> Default for Subscribers<M> {
    fn default() -> Self {
        Self {
            channels: Vec::new(),
        }
    }
}

impl<M: Clone + Send + 'static> Subscribers<M> {
    /// Adds a subscriber through a weak reference, which does not keep its task running.
    pub fn add(&mut self, channel: MessageChannel<M, (), Weak>) {
        self.channels.push(channel);
    }

    /// Sends a copy to each connected subscriber without waiting for its handler.
    pub async fn publish(&mut self, message: M) {
        self.channels.retain(|channel| channel.is_connected());
        for channel in &self.channels {
            let _ = channel.send(message.clone()).detach().await;
        }
    }
}
