//! Tasks that own the connections to minions and workers.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]
