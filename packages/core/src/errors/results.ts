import tsResults from 'ts-results';

/**
 * The constructors of `Result`. `ts-results` is a CommonJS package whose named exports reach an
 * ES module only through its default export, so this module is the one place that imports it.
 */
export const { Ok, Err } = tsResults;
