/**
 * Remembers where chats went that could not go to their home. Everything else
 * follows from the hash, so only these exceptions cost memory, and only so many.
 */

/** Chats remembered; the least recently placed is forgotten first. */
const maxMovedChats = 4096;

/** Target by chat key, least recently placed first. */
export type MovedChats = Map<string, string>;

/** Remembers where a chat went, or forgets it when that is its home. */
export function recordPlacement(movedChats: MovedChats, chatKey: string, targetId: string, homeId: string | undefined): void {
	movedChats.delete(chatKey);
	if (targetId === homeId) {
		return;
	}

	movedChats.set(chatKey, targetId);
	if (movedChats.size > maxMovedChats) {
		movedChats.delete(movedChats.keys().next().value!);
	}
}
