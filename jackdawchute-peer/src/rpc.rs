//! The JSON-RPC method that carries every call.

use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde_json::Value;
use smol_str::SmolStr;

/// One method for all slices: their calls are typed on both ends.
#[rpc(server, client)]
pub(crate) trait PeerRpc {
    /// Carries a call of `slice`.
    #[method(name = "call")]
    async fn call(&self, token: SmolStr, slice: SmolStr, call: Value) -> RpcResult<Value>;
}
