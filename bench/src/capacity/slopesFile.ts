/** The recorded slopes; the path holds in `src` and in `dist`. */
export const slopesFile = new URL('../../capacity-slopes.json', import.meta.url);
