/** The capacity page; the path holds in `src` and in `dist`. */
export const pageFile = new URL('../../../docs/CAPACITY.md', import.meta.url);
