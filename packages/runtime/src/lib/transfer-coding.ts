/**
 * Transfer codings of HTTP bodies: which of them state the end of a body.
 */

/**
 * Returns true if a body with this header `Transfer-Encoding` has chunks, the last of which states its end. A body
 * whose last coding is another one goes on until its connection ends.
 */
export function isInChunks(transferEncoding: string | readonly string[] | undefined): boolean {
	return transferEncoding !== undefined && String(transferEncoding).split(',').at(-1)!.trim().toLowerCase() === 'chunked';
}
