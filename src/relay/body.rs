//! Reads whole response bodies.

use bytes::Bytes;

use crate::engine::Chunks;
use crate::http_client::BodyBuffer;

/// Reads the whole body, up to `limit` bytes.
///
/// # Errors
///
/// The body is incomplete or too large, or it was given up for other responses.
pub(super) async fn read_to_end(
    chunks: &mut dyn Chunks,
    limit: usize,
) -> Result<BodyBuffer, &'static str> {
    let mut body = BodyBuffer::default();
    while let Some(chunk) = chunks.next().await {
        let chunk: Bytes = chunk.map_err(|e| e.reason())?;
        if body.len() + chunk.len() > limit {
            return Err("the response exceeds the size limit");
        }
        body.push(&chunk);
        chunks.hold(body.allocated()).map_err(|e| e.reason())?;
    }
    Ok(body)
}
