//! Reads a request's body up to a maximum size.

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use jackdawchute_types::{Refusal, RefusalReason};

/// Reads the whole body into memory.
///
/// # Errors
/// Refused once the body has more than `bytes_max` bytes, or if the connection breaks.
pub(crate) async fn collect<S, B>(body: S, bytes_max: usize) -> Result<Bytes, Refusal>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    let mut body = std::pin::pin!(body);
    let mut whole = BytesMut::new();
    while let Some(part) = body.next().await {
        let mut part = part.map_err(|error| {
            Refusal::not_run(
                RefusalReason::Invalid,
                format!("the body broke off: {error}"),
            )
        })?;
        if whole.len() + part.remaining() > bytes_max {
            let detail = format!("the body has more than {bytes_max} bytes");
            return Err(Refusal::not_run(RefusalReason::TooLarge, detail));
        }
        whole.extend_from_slice(&part.copy_to_bytes(part.remaining()));
    }
    Ok(whole.freeze())
}
