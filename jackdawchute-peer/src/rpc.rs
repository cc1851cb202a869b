//! The JSON-RPC method that is used for every call.

use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde_json::Value;
use smol_str::SmolStr;

/// The JSON-RPC interface. All slices use one method, because both ends (de)serialize the typed
/// calls themselves.
#[rpc(server, client)]
pub(crate) trait PeerRpc {
    /// Passes a call to `slice` and returns its response.
    #[method(name = "call")]
    async fn call(&self, token: SmolStr, slice: SmolStr, call: Value) -> RpcResult<Value>;
}
