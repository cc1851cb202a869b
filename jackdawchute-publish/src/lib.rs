//! Subscriber lists for messages between tasks.
//!
//! A task that publishes keeps one list for each message type and sends every
//! subscriber a copy. Subscribers that have ended are dropped from the list.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

use xtra::{prelude::MessageChannel, refcount::Weak};

/// The tasks that want each message of type `M`.
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
    /// Adds a subscriber; it is held weakly, so it ends with its own last address.
    pub fn add(&mut self, channel: MessageChannel<M, (), Weak>) {
        self.channels.push(channel);
    }

    /// Sends a copy to each subscriber without waiting for its handler.
    pub async fn publish(&mut self, message: M) {
        self.channels.retain(|channel| channel.is_connected());
        for channel in &self.channels {
            let _ = channel.send(message.clone()).detach().await;
        }
    }
}
