/**
 * Divides the bytes of a connection into the parts that the HTTP parser gets one at a time. A part contains the end of at most one
 * head, chunked body or body with a length, so that the parser does not read a request ahead.
 *
 * A part that is no body with a length has a limited number of lines: the parser's work follows the number of fields and chunks, of which
 * thousands fit into one block that is read from a connection.
 */

/** Most lines of a part that is no body with a length. */
const maxLinesPerPart = 256;
const lineFeed = 10;
const carriageReturn = 13;

/** Finds the end of the part of `bytes` from `offset` on; `bodyBytesLeft` are the bytes that are left of a body with a length. */
export function findPartEnd(bytes: Uint8Array, offset: number, bodyBytesLeft: number | undefined): number {
	if (bodyBytesLeft !== undefined) {
		return Math.min(bytes.length, offset + bodyBytesLeft);
	}

	// An empty line may be divided between two parts.
	const firstLineEnd = findLineEndAt(bytes, offset);
	if (firstLineEnd !== undefined) {
		return firstLineEnd;
	}

	let end = offset;
	for (let lineCount = 0; lineCount < maxLinesPerPart; lineCount++) {
		const index = bytes.indexOf(lineFeed, end);
		if (index === -1) {
			return bytes.length;
		}

		end = index + 1;
		// The parser of some releases of Node.js 20 accepts a line feed alone as an empty line too.
		const emptyLineEnd = findLineEndAt(bytes, end);
		if (emptyLineEnd !== undefined) {
			return emptyLineEnd;
		}
	}

	return end;
}

/** Finds the end of the line end that begins at the offset; `undefined` if there is none. */
function findLineEndAt(bytes: Uint8Array, offset: number): number | undefined {
	if (bytes[offset] === lineFeed) {
		return offset + 1;
	}

	return bytes[offset] === carriageReturn && bytes[offset + 1] === lineFeed ? offset + 2 : undefined;
}
