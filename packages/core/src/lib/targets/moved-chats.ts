/**
 * Remembers the target of each chat that could not be placed at the target that
 * the hash ranks first. All other placements follow from the hash, so only these
 * exceptions take memory, up to a fixed number.
 */

/** Largest number of chats remembered; the least recently placed chat is evicted first. */
const maxMovedChats = 4096;

/** Target identifier by chat key, least recently placed first. */
export type MovedChats = Map<string, string>;

/** Records the target of a chat, or forgets the chat if this is its first-ranked target. */
export function recordPlacement(movedChats: MovedChats, chatKey: string, targetId: string, firstRankedId: string | undefined): void {
	movedChats.delete(chatKey);
	if (targetId === firstRankedId) {
		return;
	}

	movedChats.set(chatKey, targetId);
	if (movedChats.size > maxMovedChats) {
		movedChats.delete(movedChats.keys().next().value!);
	}
}
